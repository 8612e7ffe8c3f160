// Limits the rate of a link.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <cstdint>

namespace deckpitch {

/// A token bucket that returns how long to wait before a number of bytes may be
/// sent. Callers are served in the order of their calls. A rate of 0 is
/// unlimited.
///
///   TokenBucket Link(1'000'000, 64 * 1024);
///   wait(Link.take(Piece.size(), Now));
class TokenBucket {
public:
  /// Burst is the number of bytes that may be sent at once after an idle
  /// period.
  TokenBucket(std::uint64_t BytesPerSecond, std::uint64_t Burst)
      : m_Rate(BytesPerSecond), m_Burst(Burst) {}

  Duration take(std::uint64_t Bytes, TimePoint Now) {
    if (m_Rate == 0)
      return Duration::zero();
    m_BusyUntil =
        std::max(m_BusyUntil, Now - timeFor(m_Burst)) + timeFor(Bytes);
    return std::max(m_BusyUntil - Now, Duration::zero());
  }

private:
  Duration timeFor(std::uint64_t Bytes) const {
    return Duration(static_cast<Duration::rep>(
        1e9 * static_cast<double>(Bytes) / static_cast<double>(m_Rate)));
  }

  std::uint64_t m_Rate;
  std::uint64_t m_Burst;
  TimePoint m_BusyUntil{};
};

} // namespace deckpitch
