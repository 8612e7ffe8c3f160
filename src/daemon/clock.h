// The real time that loops hand to decisions.
#pragma once

#include "deckpitch/time.h"

#include <chrono>

namespace deckpitch::daemon {

/// The machine's monotonic clock as the decisions' time.
inline TimePoint now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace deckpitch::daemon
