// What a process may rely on of the declaration that it applies.
#pragma once

#include "deckpitch/shared-reading.h"

namespace deckpitch {

struct DeclarationBelief {
  Duration m_Age{}; ///< since the store is known to have held no newer one
  /// One that is not known here may be in force by now: nothing is denied for
  /// good.
  bool m_MayBeOld = false;

  friend bool operator==(const DeclarationBelief &,
                         const DeclarationBelief &) = default;
};

/// Bound: the time within which a declaration is to be in force.
inline DeclarationBelief beliefOf(const SharedReading &Reading, Duration Bound,
                                  TimePoint Now) {
  const Duration Age = Now - Reading.asOf();
  return {Age, Age >= Bound};
}

} // namespace deckpitch
