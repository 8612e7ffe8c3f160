// The monotonic clock of all that compares times.
#pragma once

#include <chrono>

namespace deckpitch::net {

/// Time since the machine was started, its suspensions included:
/// std::chrono::steady_clock leaves them out on Linux, and what is known would
/// seem as fresh after one as before it.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

} // namespace deckpitch::net
