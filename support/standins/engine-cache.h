// The prefixes in a model engine's cache, and what it tells of them.
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

/// Holds the prefixes used last; events about them may be asked for late.
class PrefixCache {
public:
  void use(std::uint64_t Prefix);
  /// Those not before Since that came until then.
  boost::json::object since(std::uint64_t Since,
                            SteadyClock::time_point Until) const;
  /// The share of the cache in use.
  double used() const;

private:
  void publish(bool Stored, std::uint64_t Prefix);

  std::set<std::uint64_t> m_Held;
  std::deque<std::uint64_t> m_Order;
  std::deque<CacheEvent> m_Events;
  std::uint64_t m_Next = 1;
};

} // namespace deckpitch::standins
