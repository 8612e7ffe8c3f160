// Exponential back-off for repeated calls to the platform.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace deckpitch {

inline constexpr std::chrono::milliseconds InitialBackOff{250};
inline constexpr std::chrono::milliseconds MaxBackOff{15'000};

/// The delay after a number of consecutive failures: doubles with each one, up
/// to MaxBackOff.
inline Duration backOff(unsigned Failures) {
  constexpr unsigned MaxDoublings = 6;
  const Duration Unlimited =
      InitialBackOff * (1U << std::min(Failures, MaxDoublings));
  return std::min<Duration>(Unlimited, MaxBackOff);
}

/// Returns a random duration between half and all of the value, so that callers
/// that failed together do not retry together.
template <std::uniform_random_bit_generator Source>
Duration jittered(Duration Value, Source &Random) {
  std::uniform_real_distribution<double> Share(0.5, 1.0);
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(Value.count()) * Share(Random)));
}

} // namespace deckpitch
