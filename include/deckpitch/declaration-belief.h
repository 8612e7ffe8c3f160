// What a process may rely on of the declaration that it applies.
#pragma once

#include "deckpitch/shared-reading.h"

namespace deckpitch {

struct DeclarationBelief {
  Duration m_Age{}; ///< since the store is known to have held no newer one
  /// One that is not known here may be in force by now: nothing is denied for
  /// good.
  bool m_MayBeOld = false;
  /// A newer one has been known for so long that it must be in force by now:
  /// nothing is served by this one. A key that it revokes would still be.
  bool m_IsReplaced = false;

  friend bool operator==(const DeclarationBelief &,
                         const DeclarationBelief &) = default;
};

/// Of the bound: time to get a newer declaration after it was heard of, from
/// another process and from the store if that fails. It was in the store for
/// up to the rest of the bound before.
inline constexpr int ReplacedPart = 2;

/// Bound: the time within which a declaration is to be in force.
inline DeclarationBelief beliefOf(const SharedReading &Reading, Duration Bound,
                                  TimePoint Now) {
  const Duration Age = Now - Reading.asOf();
  return {Age, Age >= Bound || Reading.isBehind(),
          Reading.behindFor(Now) >= Bound / ReplacedPart};
}

} // namespace deckpitch
