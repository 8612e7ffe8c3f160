// What a process may still do by what it knows of the platform's store.
#pragma once

#include "deckpitch/shared-reading.h"

#include <chrono>

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

  friend bool operator==(const StoreBelief &, const StoreBelief &) = default;
};

/// Of the bound: time to get what is newer after it was heard of, from another
/// process and from the store if that fails.
inline constexpr int BehindPart = 2;
/// From the look at what is known to a request's arrival: three questions for a
/// place of 20 ms each, a connection of at most 250 ms, and the way.
inline constexpr Duration SendSpare = std::chrono::milliseconds(400);

/// Bound: the time within which a change is to be in force. What is newer was
/// not yet in the store at asOf(), so that nothing is late before that time and
/// the bound. Where nobody is known to have anything newer, the store is away,
/// and what was known last is the best there is.
inline StoreBelief beliefOf(const SharedReading &Reading, Duration Bound,
                            TimePoint Now) {
  const Duration Age = Now - Reading.asOf();
  const bool IsDue =
      Age >= Bound - SendSpare || Reading.behindFor(Now) >= Bound / BehindPart;
  return {Age, Age >= Bound || Reading.isBehind(), Reading.isBehind() && IsDue};
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
