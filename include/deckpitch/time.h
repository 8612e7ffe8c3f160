// The time that decisions see: monotonic, handed in with each event.
#pragma once

#include <chrono>
#include <cstdint>

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

/// For log lines: whole milliseconds, 0 for what is past.
inline std::uint64_t msOf(Duration Value) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  return Count < 0 ? 0 : static_cast<std::uint64_t>(Count);
}

} // namespace deckpitch
