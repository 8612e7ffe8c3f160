// The agent's link for weights: shaped, and shared by connections to peers.
#pragma once

#include "daemon/clock.h"
#include "daemon/pause.h"
#include "deckpitch/settings.h"
#include "deckpitch/token-bucket.h"
#include "net/bulk.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace deckpitch::daemon {

namespace asio = boost::asio;

/// One connection to a peer. Messages go out in order, before pieces.
class BulkConnection : public std::enable_shared_from_this<BulkConnection> {
public:
  explicit BulkConnection(asio::ip::tcp::socket Socket);

  /// Starts to write what is sent.
  void start();
  void send(wire::BulkFrame Message);
  /// Only when piecePending() is false.
  void sendPiece(wire::BulkFrame Header, std::string Bytes);
  bool piecePending() const { return m_Piece.has_value(); }
  bool closed() const { return m_Closed; }
  void close();
  void onPieceGone(std::function<void()> Call) { m_OnPieceGone = Call; }
  asio::ip::tcp::socket &socket() { return m_Socket; }

private:
  asio::awaitable<void> write();

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Wake;
  std::deque<wire::BulkFrame> m_Messages;
  std::optional<net::BulkMessage> m_Piece;
  std::function<void()> m_OnPieceGone;
  bool m_Closed = false;
};

/// Sends chunks one after the other at the link's rate. A later chunk moves
/// only while the receivers of the earlier ones cannot take more.
class Uplink : public std::enable_shared_from_this<Uplink> {
public:
  Uplink(asio::io_context &Io, std::shared_ptr<TokenBucket> Shaper);

  void start();
  void stop();
  /// OnDone is called once, whether the chunk went out or the link broke.
  void send(std::shared_ptr<BulkConnection> To, std::uint32_t Chunk,
            std::shared_ptr<const std::string> Bytes,
            std::function<void()> OnDone);
  void wake() { m_Wake.cancel(); }
  std::uint64_t bytesSent() const { return m_BytesSent; }

private:
  struct Upload {
    std::shared_ptr<BulkConnection> m_To;
    std::uint32_t m_Chunk;
    std::shared_ptr<const std::string> m_Bytes;
    std::size_t m_Offset = 0;
    std::function<void()> m_OnDone;
  };

  asio::awaitable<void> run();
  std::list<Upload>::iterator findReady();
  void sendPiece(Upload &Next, std::size_t Length);
  void dropClosed();

  asio::steady_timer m_Wake;
  std::shared_ptr<TokenBucket> m_Shaper;
  std::list<Upload> m_Uploads;
  std::uint64_t m_BytesSent = 0;
  bool m_Stopped = false;
};

/// Both directions of the link, as the settings shape it.
struct ShapedLink {
  std::shared_ptr<TokenBucket> m_Up;
  std::shared_ptr<TokenBucket> m_Down;
};

ShapedLink makeShapedLink(const WeightsSettings &Settings);

} // namespace deckpitch::daemon
