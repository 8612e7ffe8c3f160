// How long to wait before the platform is asked again after failures.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace deckpitch {

inline constexpr std::chrono::milliseconds FirstBackOff{250};
inline constexpr std::chrono::milliseconds MostBackOff{15'000};

/// Doubles with each failure, up to a limit.
inline Duration backOff(unsigned Failures) {
  constexpr unsigned MostDoublings = 6;
  const Duration Long =
      FirstBackOff * (1U << std::min(Failures, MostDoublings));
  return std::min<Duration>(Long, MostBackOff);
}

/// Between half and all of the value, so that those who failed together do not
/// come back together.
template <std::uniform_random_bit_generator Source>
Duration jittered(Duration Value, Source &Random) {
  std::uniform_real_distribution<double> Share(0.5, 1.0);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Value.count()) * Share(Random)));
}

} // namespace deckpitch
