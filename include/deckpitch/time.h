// The clock of all decisions: monotonic, with the time passed in.
#pragma once

#include <chrono>
#include <cstdint>

namespace deckpitch {

/// A monotonic clock without now(): event loops pass in real time, tests pass
/// in virtual time.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};

using Duration = Clock::duration;
using TimePoint = Clock::time_point;

/// Converts to whole milliseconds for log lines; negative values give 0.
inline std::uint64_t msOf(Duration Value) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  return Count < 0 ? 0 : static_cast<std::uint64_t>(Count);
}

} // namespace deckpitch
