// The time that decisions see: monotonic, handed in with each event.
#pragma once

#include <chrono>

namespace deckpitch {

/// Monotonic clock of the decisions. It has no now(): loops pass real time,
/// tests pass virtual time.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};

using Duration = Clock::duration;
using TimePoint = Clock::time_point;

} // namespace deckpitch
