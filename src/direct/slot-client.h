// Asks an instance's agent, or the entry that counts for it, whether a request
// may be sent to the instance.
#pragma once

#include "deckpitch/instance-table.h"
#include "deckpitch/rate-limit.h"
#include "deckpitch/slot-ledger.h"
#include "direct/state-link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace deckpitch::direct {

/// Sends slot queries and matches the answers to them. All calls must
/// be on one event loop.
class SlotClient {
public:
  SlotClient(asio::io_context &Io, StateLink &Link) : m_Io(Io), m_Link(Link) {}

  /// Returns the answer of the agent or entry with that link address; nullopt
  /// if none arrived in time.
  asio::awaitable<std::optional<wire::PlaceAnswer>>
  ask(const std::string &Grantor, const SlotQuestion &Question);
  /// Handles an answer from an agent or an entry.
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
/// Times become ages, as processes do not share a clock.
void write(const RateLimitReport &From, TimePoint Now,
           wire::RateLimitState &To);
void write(const ColdStartLimit &From, wire::ColdStartState &To);
/// Returns nothing if a value is not a number of requests.
std::optional<ColdStartLimit> read(const wire::ColdStartState &From);
/// Returns nothing for a rate that is not a number of requests.
std::optional<RateLimitReport> read(const wire::RateLimitState &From,
                                    TimePoint Now);

} // namespace deckpitch::direct
