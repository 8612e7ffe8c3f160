// What a process may still do by what it knows of the platform's store.
#pragma once

#include "deckpitch/shared-reading.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>

namespace deckpitch {

/// Of one subject: the declaration, or the list of instances.
struct StoreBelief {
  Duration m_Age{}; ///< since the store is known to have held nothing newer
  /// Something newer may be in force by now: nothing is denied for good.
  bool m_MayBeOld = false;
  /// Something newer is known to exist and must be in force by now, or by the
  /// time at which a request arrives: nothing is done by what is known here. A
  /// key that is revoked would still be served, or a request be sent to an
  /// instance that is leaving.
  bool m_IsOutdated = false;
  /// Outdated since the process stood still: whether anything newer exists is
  /// not known yet.
  bool m_IsUnsure = false;

  friend bool operator==(const StoreBelief &, const StoreBelief &) = default;
};

/// Of the bound: time to get what is newer after it was heard of, from another
/// process and from the store if that fails.
inline constexpr int BehindPart = 2;
/// From the look at what is known to a request's arrival: three questions for a
/// place of 20 ms each, a connection of at most 250 ms, and the way.
inline constexpr Duration SendSpare = std::chrono::milliseconds(400);

/// Least gap between two turns of the loop that counts as a pause: several
/// times what a turn is late by on a loaded machine, 0.1 to 0.2 s. A shorter
/// one leaves what is known younger than the bound, unless a reader died just
/// before.
inline constexpr Duration LeastStandStill = std::chrono::milliseconds(500);
/// After a pause, until the store counts as away for all: a read of it that
/// times out takes 1.2 s, and other entries have said by then what they know.
inline constexpr Duration LongestUnsure = std::chrono::milliseconds(1'500);

/// Notices that the whole process stood still: the clock ran on, its loop did
/// not. It then has heard nothing because it did not listen, which says nothing
/// of the store.
class StandStill {
public:
  /// At each turn of the loop, and before anything is done by what is known:
  /// the first to run after a pause may be a request. Gives the length of the
  /// pause that has just ended.
  std::optional<Duration> running(TimePoint Now) {
    const TimePoint Before = std::exchange(m_Ran, Now);
    const Duration Gap = Now - Before;
    if (Before == TimePoint{} || Gap < LeastStandStill)
      return std::nullopt;
    // What was not sure before this pause is not sure by it.
    const bool IsNext = Before < m_UnsureUntil;
    m_Began = IsNext ? m_Began : Before;
    m_FirstResumed = IsNext ? m_FirstResumed : Now;
    m_UnsureUntil = IsNext ? m_UnsureUntil + Gap : Now + LongestUnsure;
    m_Resumed = Now;
    return Gap;
  }
  /// Whether a pause has ended since then: a time limit that ran meanwhile says
  /// nothing of whom it was set to.
  bool hasEndedSince(TimePoint Time) const { return m_Resumed > Time; }
  /// Whether nothing has been learnt of the subject since a pause ended, and
  /// what is newer may be in force by now. Usable: how old what is known may
  /// be. After some time without an answer the store is away for all.
  bool isUnsure(const SharedReading &Reading, Duration Usable,
                TimePoint Now) const {
    const TimePoint Learnt = std::max(Reading.asOf(), Reading.toldAt());
    // Pauses in a row without a word between share one time to listen.
    const bool HasLearntBetween = Learnt >= m_FirstResumed;
    const TimePoint Until =
        HasLearntBetween ? m_Resumed + LongestUnsure : m_UnsureUntil;
    return Learnt < m_Resumed && Now < Until &&
           Now - sureAt(Reading, Usable) >= Usable;
  }

private:
  /// The last moment at which the store held nothing newer, as far as could be
  /// known. Where it was away for all when the pause began, or another entry
  /// said later that it knows no more, that moment: a short pause in an outage
  /// changes nothing.
  TimePoint sureAt(const SharedReading &Reading, Duration Usable) const {
    const TimePoint Last = std::max(m_Began, Reading.toldAt());
    const bool WasAway = Last - Reading.asOf() >= Usable;
    return WasAway ? Last : Reading.asOf();
  }

  TimePoint m_Ran{};
  TimePoint m_Began{};        ///< of the first pause in a row
  TimePoint m_FirstResumed{}; ///< after that one
  TimePoint m_Resumed{};      ///< after the last one
  TimePoint m_UnsureUntil{};  ///< where nothing is learnt
};

/// Bound: the time within which a change is to be in force. What is newer was
/// not yet in the store at asOf(), so that nothing is late before that time and
/// the bound. Where nobody is known to have anything newer, the store is away,
/// and what was known last is the best there is.
inline StoreBelief beliefOf(const SharedReading &Reading, Duration Bound,
                            TimePoint Now, const StandStill &Still = {}) {
  const Duration Age = Now - Reading.asOf();
  const Duration Usable = Bound - SendSpare;
  const bool IsOld = Age >= Usable;
  const bool IsDue = IsOld || Reading.behindFor(Now) >= Bound / BehindPart;
  const bool IsUnsure = Still.isUnsure(Reading, Usable, Now);
  return {Age, Age >= Bound || Reading.isBehind(),
          (Reading.isBehind() && IsDue) || IsUnsure, IsUnsure};
}

/// Whether a read that now came shows that the store is back after it had been
/// away for all: it failed here, nothing was heard for so long that somebody
/// would have read it, and nobody is known to have. Entries that alone had been
/// turned away kept an instance for 4.2 s after it had left, where 3 s are
/// allowed.
inline bool showsReturn(const SharedReading &Reading, bool HasFailedHere,
                        TimePoint Now) {
  return HasFailedHere && Reading.isStale(Now) && !Reading.isBehind();
}

} // namespace deckpitch
