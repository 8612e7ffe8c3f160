// The rate-limited link of an agent that all its peer connections share.
#pragma once

#include "daemon/clock.h"
#include "daemon/sleep.h"
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

/// A connection to a peer. Messages are sent in order and before a pending
/// piece.
class BulkConnection : public std::enable_shared_from_this<BulkConnection> {
public:
  explicit BulkConnection(asio::ip::tcp::socket Socket);

  /// Starts the loop that writes queued messages and pieces.
  void start();
  void send(wire::BulkFrame Message);
  /// Requires that piecePending() is false.
  void sendPiece(wire::BulkFrame Header, std::string Bytes);
  bool piecePending() const { return m_Piece.has_value(); }
  bool closed() const { return m_Closed; }
  void close();
  /// Sets the callback that runs once a piece is written or the connection is
  /// closed.
  void onPieceDone(std::function<void()> Call) { m_OnPieceDone = Call; }
  asio::ip::tcp::socket &socket() { return m_Socket; }

private:
  asio::awaitable<void> write();

  asio::ip::tcp::socket m_Socket;
  asio::steady_timer m_Wake;
  std::deque<wire::BulkFrame> m_Messages;
  std::optional<net::BulkMessage> m_Piece;
  std::function<void()> m_OnPieceDone;
  bool m_Closed = false;
};

/// Sends chunks in order at the link's rate. A later chunk proceeds only while
/// the connections of the earlier ones still have a piece to write.
class Uplink : public std::enable_shared_from_this<Uplink> {
public:
  Uplink(asio::io_context &Io, std::shared_ptr<TokenBucket> Shaper);

  void start();
  void stop();
  /// Queues a chunk. OnDone is called once, when the chunk was sent or the
  /// connection closed.
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

/// The rate limiters of both directions; one and the same if the link is
/// shared.
struct ShapedLink {
  std::shared_ptr<TokenBucket> m_Up;
  std::shared_ptr<TokenBucket> m_Down;
};

ShapedLink makeShapedLink(const WeightsSettings &Settings);

} // namespace deckpitch::daemon
