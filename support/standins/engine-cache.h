// Prefix cache of the engine stand-in and the events that report its changes.
#pragma once

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <set>

namespace deckpitch::standins {

using SteadyClock = std::chrono::steady_clock;

struct CacheEvent {
  SteadyClock::time_point m_At;
  std::uint64_t m_Sequence = 0;
  bool m_Stored = true;
  std::uint64_t m_Prefix = 0;
};

/// Holds a bounded number of prefixes and evicts the one that was added first.
/// Keeps a bounded history of events, so that they can be reported with a
/// delay.
class PrefixCache {
public:
  /// Adds the prefix unless it is cached already.
  void use(std::uint64_t Prefix);
  /// Returns the events with a sequence number of at least Since that were
  /// published no later than Until.
  boost::json::object eventsSince(std::uint64_t Since,
                                  SteadyClock::time_point Until) const;
  /// Returns the fraction of the capacity that is occupied.
  double occupancy() const;

private:
  void publish(bool Stored, std::uint64_t Prefix);

  std::set<std::uint64_t> m_Prefixes;
  std::deque<std::uint64_t> m_InsertionOrder;
  std::deque<CacheEvent> m_Events;
  std::uint64_t m_Next = 1;
};

} // namespace deckpitch::standins
