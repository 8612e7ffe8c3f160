// Asks the agent beside an instance whether a request may be sent there.
#pragma once

#include "deckpitch/place-ledger.h"
#include "direct/state-link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace deckpitch::direct {

/// All on one loop.
class PlaceClient {
public:
  PlaceClient(asio::io_context &Io, StateLink &Link) : m_Io(Io), m_Link(Link) {}

  /// The agent's answer; nothing when none came in time.
  asio::awaitable<std::optional<wire::PlaceAnswer>>
  ask(const std::string &Agent, const PlaceQuery &Query);
  void answered(const wire::PlaceAnswer &Answer);

private:
  struct Waiting {
    asio::steady_timer m_Limit;
    std::optional<wire::PlaceAnswer> m_Answer;
  };

  asio::io_context &m_Io;
  StateLink &m_Link;
  std::uint64_t m_Last = 0;
  std::map<std::uint64_t, Waiting> m_Waiting; ///< by the question's id
};

void write(const PlaceQuery &From, wire::PlaceQuery &To);
PlaceQuery read(const wire::PlaceQuery &From);

} // namespace deckpitch::direct
