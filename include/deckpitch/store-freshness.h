// How far a process may rely on its cached view of the platform's store.
#pragma once

#include "deckpitch/shared-reading.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace deckpitch {

/// Freshness of the cached view of one subject: the declaration, or the list of
/// instances.
struct StoreFreshness {
  /// Time since the store is known to have held nothing newer.
  Duration m_Age{};
  /// A newer version may be in force by now, so nothing may be denied for good.
  bool m_MayBeStale = false;
  /// A newer version is known to exist and must be in force by now, or by the
  /// time at which a request arrives. The cached view must not be used: a
  /// revoked key would still be served, or a request be sent to an instance
  /// that is leaving.
  bool m_IsOutdated = false;
  /// Outdated because the process was paused: whether a newer version exists is
  /// not known yet.
  bool m_IsUnconfirmed = false;

  friend bool operator==(const StoreFreshness &,
                         const StoreFreshness &) = default;
};

/// Divisor of the bound that gives the time for fetching a newer version after
/// it was announced: from another process, and from the store if that fails.
inline constexpr int CatchUpDivisor = 2;
/// Time from checking the cached view to a request's arrival: three slot
/// queries of 20 ms each, a connection of at most 250 ms, and the network
/// delay.
inline constexpr Duration SendMargin = std::chrono::milliseconds(400);

/// Shortest gap between two iterations of the event loop that counts as a
/// pause: several times the lateness of an iteration on a loaded instance, 0.1
/// to 0.2 s. A shorter pause leaves the cached view younger than the bound,
/// unless the reading process died just before.
inline constexpr Duration MinPause = std::chrono::milliseconds(500);
/// Time after a pause until the store counts as unavailable to all processes: a
/// read that times out takes 1.2 s, and by then other entries have sent what
/// they know.
inline constexpr Duration ConfirmationTimeout =
    std::chrono::milliseconds(1'500);

/// Detects that the whole process was paused: the clock ran on, its event loop
/// did not. That nothing was received meanwhile says nothing about the store,
/// as the process was not listening.
class PauseDetector {
public:
  /// Called in each iteration of the event loop and before each use of the
  /// cached view, because a request may be the first thing to run after a
  /// pause. Returns the length of the pause that has just ended, if any.
  std::optional<Duration> noteIteration(TimePoint Now) {
    const TimePoint Before = std::exchange(m_LastIteration, Now);
    const Duration Gap = Now - Before;
    if (Before == TimePoint{} || Gap < MinPause)
      return std::nullopt;
    // A view that was unconfirmed before this pause is not confirmed by it.
    const bool IsSuccessive = Before < m_UnconfirmedUntil;
    m_Began = IsSuccessive ? m_Began : Before;
    m_FirstResumed = IsSuccessive ? m_FirstResumed : Now;
    m_UnconfirmedUntil =
        IsSuccessive ? m_UnconfirmedUntil + Gap : Now + ConfirmationTimeout;
    m_Resumed = Now;
    return Gap;
  }
  /// Returns whether a pause has ended since that time: a timeout that expired
  /// during a pause says nothing about the other side.
  bool hasPauseEndedSince(TimePoint Time) const { return m_Resumed > Time; }
  /// Returns whether nothing has been received about the subject since a pause
  /// ended, while a newer version may be in force by now. Usable is the age up
  /// to which the cached view may be used. If nothing arrives for some time,
  /// the store counts as unavailable to all.
  bool isUnconfirmed(const SharedReading &Reading, Duration Usable,
                     TimePoint Now) const {
    const TimePoint LastReceived =
        std::max(Reading.asOf(), Reading.lastReportAt());
    // Successive pauses with nothing received in between share one timeout.
    const bool HasReceivedBetween = LastReceived >= m_FirstResumed;
    const TimePoint Until = HasReceivedBetween ? m_Resumed + ConfirmationTimeout
                                               : m_UnconfirmedUntil;
    return LastReceived < m_Resumed && Now < Until &&
           Now - confirmedAt(Reading, Usable) >= Usable;
  }

private:
  /// Returns the last time at which the store held nothing newer, as far as
  /// could be known. If the store was unavailable to all when the pause began,
  /// or another entry reported later that it knows nothing newer, it is that
  /// time: a short pause during an outage changes nothing.
  TimePoint confirmedAt(const SharedReading &Reading, Duration Usable) const {
    const TimePoint Last = std::max(m_Began, Reading.lastReportAt());
    const bool WasAway = Last - Reading.asOf() >= Usable;
    return WasAway ? Last : Reading.asOf();
  }

  TimePoint m_LastIteration{};
  TimePoint m_Began{};            ///< start of the first of successive pauses
  TimePoint m_FirstResumed{};     ///< end of that pause
  TimePoint m_Resumed{};          ///< end of the last pause
  TimePoint m_UnconfirmedUntil{}; ///< if nothing is received
};

/// Returns the freshness of the cached view. Bound is the time within which a
/// change must be in force: a newer version was not in the store at asOf(), so
/// it is not due before that time plus the bound. If no process is known to
/// have a newer version, the store is unavailable, and the cached view remains
/// the best one.
inline StoreFreshness freshnessOf(const SharedReading &Reading, Duration Bound,
                                  TimePoint Now,
                                  const PauseDetector &Still = {}) {
  const Duration Age = Now - Reading.asOf();
  const Duration Usable = Bound - SendMargin;
  const bool IsOld = Age >= Usable;
  const bool IsDue = IsOld || Reading.behindFor(Now) >= Bound / CatchUpDivisor;
  const bool IsUnconfirmed = Still.isUnconfirmed(Reading, Usable, Now);
  return {Age, Age >= Bound || Reading.isBehind(),
          (Reading.isBehind() && IsDue) || IsUnconfirmed, IsUnconfirmed};
}

/// Returns whether a successful read shows that the store is back after an
/// outage that affected all processes: reads failed here, no update came for so
/// long that some process would have read the store, and no process is known to
/// have. Entries that took an outage of their own for one of all kept an
/// instance for 4.2 s after it had left, where 3 s are allowed.
inline bool showsStoreReturn(const SharedReading &Reading, bool HasFailedHere,
                             TimePoint Now) {
  return HasFailedHere && Reading.isStale(Now) && !Reading.isBehind();
}

} // namespace deckpitch
