// Measures how late a sender's messages arrive, without a shared clock.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace deckpitch {

/// Compares each message of one sender with the fastest one of the last
/// minutes: the difference is time spent queued. The fastest message's own
/// network delay is not visible; it is some milliseconds. Each incarnation of
/// the sender is compared with itself, as the last messages of one may arrive
/// between the first ones of the next.
class LinkDelay {
public:
  /// Records a message that the sender's process with that incarnation sent at
  /// that time of its own monotonic clock. Returns how much later it arrived
  /// than the fastest one.
  template <typename Length>
  Duration note(std::uint64_t Incarnation, Length Sent, TimePoint Received) {
    const Duration SentAt = std::clamp<Length>(Sent, Length::zero(), MaxUptime);
    const Duration Offset = Received.time_since_epoch() - SentAt;
    OffsetHistory &Of = historyOf(Incarnation, Offset, Received);
    if (Received - Of.m_Since >= Window) {
      Of.m_Previous = Of.m_Current;
      Of.m_Current = Offset;
      Of.m_Since = Received;
    }
    Of.m_Current = std::min(Of.m_Current, Offset);
    return Offset - std::min(Of.m_Current, Of.m_Previous);
  }

private:
  struct OffsetHistory {
    std::uint64_t m_Incarnation = 0;
    TimePoint m_Since{};
    Duration m_Current{};  ///< smallest offset in this window
    Duration m_Previous{}; ///< smallest offset in the previous window
  };

  OffsetHistory &historyOf(std::uint64_t Incarnation, Duration Offset,
                           TimePoint Received) {
    for (OffsetHistory &Each : m_Histories)
      if (Each.m_Incarnation == Incarnation)
        return Each;
    m_Histories.back() = m_Histories.front();
    m_Histories.front() = {Incarnation, Received, Offset, Offset};
    return m_Histories.front();
  }

  /// Two clocks drift apart by less than 0.1 ms/s, hence by 12 ms in two
  /// windows.
  static constexpr Duration Window = std::chrono::minutes(1);
  /// No instance runs for longer: a time beyond it is invalid.
  static constexpr auto MaxUptime = std::chrono::hours(24 * 365 * 10);
  /// No datagram is so late that the sender was restarted twice meanwhile.
  static constexpr std::size_t HistoriesKept = 2;

  /// Latest new incarnation first.
  std::array<OffsetHistory, HistoriesKept> m_Histories{};
};

} // namespace deckpitch
