// Shapes a link: tells how long to wait before so many bytes may pass.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <cstdint>

namespace deckpitch {

/// Callers wait in the order in which they ask. A rate of 0 is unlimited.
///
///   TokenBucket Link(1'000'000, 64 * 1024);
///   wait(Link.take(Piece.size(), Now));
class TokenBucket {
public:
  /// Burst: bytes that may pass at once after a rest.
  TokenBucket(std::uint64_t BytesPerSecond, std::uint64_t Burst)
      : m_Rate(BytesPerSecond), m_Burst(Burst) {}

  Duration take(std::uint64_t Bytes, TimePoint Now) {
    if (m_Rate == 0)
      return Duration::zero();
    m_Paid = std::max(m_Paid, Now - timeFor(m_Burst)) + timeFor(Bytes);
    return std::max(m_Paid - Now, Duration::zero());
  }

private:
  Duration timeFor(std::uint64_t Bytes) const {
    return Duration(static_cast<Duration::rep>(
        1e9 * static_cast<double>(Bytes) / static_cast<double>(m_Rate)));
  }

  std::uint64_t m_Rate;
  std::uint64_t m_Burst;
  TimePoint m_Paid{};
};

} // namespace deckpitch
