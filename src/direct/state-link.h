// Datagrams between entries and agents that carry short-lived state; each
// message replaces the sender's previous one.
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

/// Sends and receives datagrams. Messages are not queued: a peer that was
/// unreachable must not receive old state when it returns.
class StateLink {
public:
  using OnMessage = std::function<void(const wire::LinkMessage &Message,
                                       const std::string &From)>;

  StateLink(asio::io_context &Io, std::uint64_t Incarnation);

  /// Errors: InvalidInput, Unavailable.
  Result<void> listen(const std::string &Address, OnMessage Call);
  /// Sends a message, or drops it if that is not possible at once.
  void send(const std::string &To, wire::LinkMessage Message);
  void stop();

private:
  void receive();

  static constexpr std::size_t MaxDatagramBytes = 8 * 1024;

  asio::ip::udp::socket m_Socket;
  asio::ip::udp::endpoint m_From;
  std::array<char, MaxDatagramBytes> m_Buffer{};
  OnMessage m_OnMessage;
  std::uint64_t m_Incarnation;
  std::uint64_t m_Sequence = 0;
};

/// Another incarnation of a sender is accepted when its messages span this time
/// on its own clock with none of the known incarnation between. Longer than a
/// full link delays a datagram: what a dead process sent in its last two
/// seconds may arrive after the first message of the next one, but spans less.
/// Shorter than the interval of hellos to a silent entry, so that the second
/// one is accepted.
inline constexpr Duration LivenessProof = std::chrono::milliseconds(2'500);

/// Distinguishes late datagrams of one sender from new ones. An incarnation is
/// the time of its start by a clock that may have been set back or wrong
/// before: a larger one is accepted at once; a smaller one, or one that a
/// smaller one has replaced, only after its messages have spanned
/// LivenessProof.
class LinkOrder {
public:
  /// Whether the message is newer than all before it.
  bool isNewer(const wire::LinkMessage &Message);

private:
  /// An incarnation not known to be newer than the accepted one.
  struct Candidate {
    std::uint64_t m_Incarnation = 0;
    std::uint64_t m_FirstSentUs = 0; ///< by the sender's clock
  };

  bool isNewerIncarnation(const wire::LinkMessage &Message) const;
  bool hasProvedLive(const wire::LinkMessage &Message);

  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_Replaced = 0; ///< the last one that a smaller one replaced
  std::optional<Candidate> m_Candidate;
};

} // namespace deckpitch::direct
