// How late a sender's messages come, without a clock that both share.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <cstdint>

namespace deckpitch {

/// Compares each message of one sender with the quickest of the last minutes:
/// what it took longer, it waited on the way. The quickest one's own time on
/// the way is not seen; it is some milliseconds.
class LinkDelay {
public:
  /// A message of the sender's process with that incarnation, sent at that
  /// moment of its own monotonic clock. Gives how much later than the quickest
  /// one it came.
  Duration note(std::uint64_t Incarnation, Duration SentAt,
                TimePoint Received) {
    const Duration Offset = Received.time_since_epoch() - SentAt;
    if (Incarnation != m_Incarnation) {
      m_Incarnation = Incarnation;
      m_Since = Received;
      m_Current = m_Former = Offset;
    }
    if (Received - m_Since >= Window) {
      m_Former = m_Current;
      m_Current = Offset;
      m_Since = Received;
    }
    m_Current = std::min(m_Current, Offset);
    return Offset - std::min(m_Current, m_Former);
  }

private:
  /// Two clocks drift apart by less than 0.1 ms/s, so by 12 ms in two windows.
  static constexpr Duration Window = std::chrono::minutes(1);

  std::uint64_t m_Incarnation = 0;
  TimePoint m_Since{};
  Duration m_Current{}; ///< least offset of this window
  Duration m_Former{};  ///< least offset of the one before
};

} // namespace deckpitch
