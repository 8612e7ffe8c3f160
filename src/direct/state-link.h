// Datagrams between entries and agents: short-lived state, each message
// replacing what the same sender said before.
#pragma once

#include "deckpitch/error.h"
#include "proto/link.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace deckpitch::direct {

namespace asio = boost::asio;

/// Datagrams rather than queued messages: a peer that cannot be reached must
/// not be sent old state when it returns.
class StateLink {
public:
  using OnMessage = std::function<void(const wire::LinkMessage &Message,
                                       const std::string &From)>;

  StateLink(asio::io_context &Io, std::uint64_t Incarnation);

  /// Errors: InvalidInput, Unavailable.
  Result<void> listen(const std::string &Address, OnMessage Call);
  /// Dropped when it cannot be sent at once.
  void send(const std::string &To, wire::LinkMessage Message);
  void stop();

private:
  void receive();

  static constexpr std::size_t MostBytes = 8 * 1024;

  asio::ip::udp::socket m_Socket;
  asio::ip::udp::endpoint m_From;
  std::array<char, MostBytes> m_Buffer{};
  OnMessage m_OnMessage;
  std::uint64_t m_Incarnation;
  std::uint64_t m_Sequence = 0;
};

/// Tells late datagrams of one sender from new ones.
class LinkOrder {
public:
  /// Whether the message is newer than all before it.
  bool isNewer(const wire::LinkMessage &Message) {
    const bool IsNewer = Message.incarnation() > m_Incarnation ||
                         (Message.incarnation() == m_Incarnation &&
                          Message.sequence() > m_Sequence);
    if (IsNewer) {
      m_Incarnation = Message.incarnation();
      m_Sequence = Message.sequence();
    }
    return IsNewer;
  }

private:
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
};

} // namespace deckpitch::direct
