// Measures by how much a piece of work raises the process's peak memory.
#pragma once

#include <sys/resource.h>

#include <cstddef>

namespace deckpitch::fuzz {

/// Returns the maximum resident set size of this process so far, in bytes.
inline std::size_t peakMemory() {
  constexpr std::size_t BytesPerUnit = 1'024;
  rusage Used{};
  getrusage(RUSAGE_SELF, &Used);
  return static_cast<std::size_t>(Used.ru_maxrss) * BytesPerUnit;
}

/// Returns by how many bytes Run raised the peak. It is a lower bound of what
/// Run held: earlier work may have reached a higher peak.
template <typename Work> std::size_t peakMemoryIncrease(Work &&Run) {
  const std::size_t Before = peakMemory();
  Run();
  return peakMemory() - Before;
}

} // namespace deckpitch::fuzz
