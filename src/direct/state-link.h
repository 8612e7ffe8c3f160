// Datagrams between entries and agents: short-lived state, each message
// replacing what the same sender said before.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/time.h"
#include "proto/link.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
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

/// For so long, by its own clock, another life of the sender must have spoken
/// with no word of the known one between. Longer than a full link delays a
/// datagram: what a dead process sent in its last two seconds may come after
/// the first word of the next one, and spans less. Shorter than the time
/// between two hellos to an entry that is not heard, so that the second one
/// counts.
inline constexpr Duration LifeProof = std::chrono::milliseconds(2'500);

/// Tells late datagrams of one sender from new ones. Lives are told apart by
/// their incarnation, which is the time of a clock that may be set back before
/// a start, or have been wrong before: a larger one is a newer life at once, a
/// smaller one, or one that another has followed, when it has proved to live.
class LinkOrder {
public:
  /// Whether the message is newer than all before it.
  bool isNewer(const wire::LinkMessage &Message);

private:
  /// A life that is not known to be newer than the one in force.
  struct Other {
    std::uint64_t m_Incarnation = 0;
    std::uint64_t m_FirstSentUs = 0; ///< by that life's clock
  };

  bool isNext(const wire::LinkMessage &Message) const;
  bool hasProvedToLive(const wire::LinkMessage &Message);

  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Former = 0; ///< the last one that a smaller one followed
  std::optional<Other> m_Other;
};

} // namespace deckpitch::direct
