// The clocks whose readings event loops pass to the decision logic.
#pragma once

#include "deckpitch/time.h"
#include "net/boot-clock.h"

#include <chrono>
#include <cstdint>

namespace deckpitch::daemon {

/// Returns the time of the instance's monotonic clock, which includes time
/// spent suspended. Give Asio timers durations, not these time points: their
/// clock does not include suspended time.
inline TimePoint now() {
  return TimePoint(net::BootClock::now().time_since_epoch());
}

/// Returns the time of day in Unix milliseconds, which may be wrong and may
/// jump. Use it only for what has to stay valid across a reboot of the
/// instance.
inline std::uint64_t unixMs() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count());
}

} // namespace deckpitch::daemon
