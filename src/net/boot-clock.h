// The monotonic clock for all comparisons of times.
#pragma once

#include <chrono>

namespace deckpitch::net {

/// Time since boot, including the time that the instance was suspended.
/// std::chrono::steady_clock excludes it on Linux, so cached state would seem
/// as fresh after a suspension as before it.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

} // namespace deckpitch::net
