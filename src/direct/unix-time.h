// Times of the monotonic clock as times of day, which outlast a process.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace deckpitch::direct {

/// Older times cannot come from a correct clock: one that starts in 1970 is
/// wrong by decades.
inline constexpr std::chrono::milliseconds MaxUnixAge =
    std::chrono::hours(24 * 365);

/// Returns the Unix milliseconds of a past time; nothing if the clock shows
/// less than has passed since, as after it was set back to 1970.
inline std::optional<std::uint64_t> unixMsOf(TimePoint At, TimePoint Now,
                                             std::uint64_t UnixNow) {
  const auto Age = std::chrono::ceil<std::chrono::milliseconds>(Now - At);
  const auto AgeMs = static_cast<std::uint64_t>(
      std::max<std::chrono::milliseconds::rep>(Age.count(), 0));
  if (AgeMs >= UnixNow)
    return std::nullopt;
  return UnixNow - AgeMs;
}

/// Returns the age of a stored time; zero if it is in the future, since the
/// clock may have been set back, and nothing if it is beyond MaxUnixAge.
inline std::optional<std::chrono::milliseconds> unixAge(std::uint64_t UnixMs,
                                                        std::uint64_t UnixNow) {
  const std::uint64_t AgeMs = UnixNow - std::min(UnixMs, UnixNow);
  if (AgeMs > static_cast<std::uint64_t>(MaxUnixAge.count()))
    return std::nullopt;
  return std::chrono::milliseconds(AgeMs);
}

} // namespace deckpitch::direct
