// The real time that loops hand to decisions.
#pragma once

#include "deckpitch/time.h"
#include "net/boot-clock.h"

namespace deckpitch::daemon {

/// The machine's monotonic clock as the decisions' time. Timers of Asio take
/// spans only: their clock leaves suspensions out.
inline TimePoint now() {
  return TimePoint(net::BootClock::now().time_since_epoch());
}

} // namespace deckpitch::daemon
