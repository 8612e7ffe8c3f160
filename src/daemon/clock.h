// The real time that loops hand to decisions.
#pragma once

#include "deckpitch/time.h"
#include "net/boot-clock.h"

#include <chrono>
#include <cstdint>

namespace deckpitch::daemon {

/// The machine's monotonic clock as the decisions' time. Timers of Asio take
/// spans only: their clock leaves suspensions out.
inline TimePoint now() {
  return TimePoint(net::BootClock::now().time_since_epoch());
}

/// The time of day, which may be wrong and may jump: for what outlasts this
/// machine's monotonic clock. Unix milliseconds.
inline std::uint64_t unixMs() {
  const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
          .count());
}

} // namespace deckpitch::daemon
