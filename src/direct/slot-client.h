// Asks an instance's agent whether a request may be sent to the instance.
#pragma once

#include "deckpitch/slot-ledger.h"
#include "direct/state-link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace deckpitch::direct {

/// Sends slot queries to agents and matches the answers to them. All calls must
/// be on one event loop.
class SlotClient {
public:
  SlotClient(asio::io_context &Io, StateLink &Link) : m_Io(Io), m_Link(Link) {}

  /// Returns the agent's answer; nullopt if none arrived in time.
  asio::awaitable<std::optional<wire::PlaceAnswer>>
  ask(const std::string &Agent, const PlaceQuery &Query);
  /// Handles an answer from an agent.
  void answered(const wire::PlaceAnswer &Answer);

private:
  struct Waiting {
    asio::steady_timer m_Limit;
    std::optional<wire::PlaceAnswer> m_Answer;
  };

  asio::io_context &m_Io;
  StateLink &m_Link;
  std::uint64_t m_LastId = 0;
  std::map<std::uint64_t, Waiting> m_Waiting; ///< by the query's id
};

void write(const PlaceQuery &From, wire::PlaceQuery &To);
PlaceQuery read(const wire::PlaceQuery &From);

} // namespace deckpitch::direct
