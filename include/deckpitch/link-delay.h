// How late a sender's messages come, without a clock that both share.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace deckpitch {

/// Compares each message of one sender with the quickest of the last minutes:
/// what it took longer, it waited on the way. The quickest one's own time on
/// the way is not seen; it is some milliseconds. What the sender's former life
/// sent last is compared with its own: it may come between the first words of
/// the next one.
class LinkDelay {
public:
  /// A message of the sender's process with that incarnation, sent at that
  /// moment of its own monotonic clock. Gives how much later than the quickest
  /// one it came.
  template <typename Length>
  Duration note(std::uint64_t Incarnation, Length Sent, TimePoint Received) {
    const Duration SentAt =
        std::clamp<Length>(Sent, Length::zero(), LongestRun);
    const Duration Offset = Received.time_since_epoch() - SentAt;
    Life &Of = lifeOf(Incarnation, Offset, Received);
    if (Received - Of.m_Since >= Window) {
      Of.m_Former = Of.m_Current;
      Of.m_Current = Offset;
      Of.m_Since = Received;
    }
    Of.m_Current = std::min(Of.m_Current, Offset);
    return Offset - std::min(Of.m_Current, Of.m_Former);
  }

private:
  struct Life {
    std::uint64_t m_Incarnation = 0;
    TimePoint m_Since{};
    Duration m_Current{}; ///< least offset of this window
    Duration m_Former{};  ///< least offset of the one before
  };

  Life &lifeOf(std::uint64_t Incarnation, Duration Offset, TimePoint Received) {
    for (Life &Each : m_Lives)
      if (Each.m_Incarnation == Incarnation)
        return Each;
    m_Lives.back() = m_Lives.front();
    m_Lives.front() = {Incarnation, Received, Offset, Offset};
    return m_Lives.front();
  }

  /// Two clocks drift apart by less than 0.1 ms/s, so by 12 ms in two windows.
  static constexpr Duration Window = std::chrono::minutes(1);
  /// No machine runs for longer: what is told beyond it is wrong.
  static constexpr auto LongestRun = std::chrono::hours(24 * 365 * 10);
  /// No datagram is so late that two starts lie between.
  static constexpr std::size_t LivesKept = 2;

  std::array<Life, LivesKept> m_Lives{}; ///< the one that was met last first
};

} // namespace deckpitch
