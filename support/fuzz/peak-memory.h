// How much more memory than ever before a piece of work took.
#pragma once

#include <sys/resource.h>

#include <cstddef>

namespace deckpitch::fuzz {

/// The most that this process has held at any moment.
inline std::size_t peakMemory() {
  constexpr std::size_t BytesPerUnit = 1'024;
  rusage Used{};
  getrusage(RUSAGE_SELF, &Used);
  return static_cast<std::size_t>(Used.ru_maxrss) * BytesPerUnit;
}

/// Bytes by which the work raised it: no more than the work held itself.
template <typename Work> std::size_t peakRaisedBy(Work &&Run) {
  const std::size_t Before = peakMemory();
  Run();
  return peakMemory() - Before;
}

} // namespace deckpitch::fuzz
