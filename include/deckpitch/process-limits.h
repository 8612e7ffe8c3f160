// What a machine allows one process, as its settings state it.
#pragma once

#include "deckpitch/json-reader.h"

#include <cstddef>
#include <cstdint>

namespace deckpitch {

/// Limits that end or cripple a process that exceeds them.
struct ProcessLimits {
  std::uint32_t m_MemoryMb = 256;      ///< resident memory, in 10^6 bytes
  std::uint32_t m_Descriptors = 4'096; ///< open files and sockets

  std::size_t memoryBytes() const {
    return std::size_t{m_MemoryMb} * 1'000'000;
  }

  friend bool operator==(const ProcessLimits &,
                         const ProcessLimits &) = default;
};

/// Reads "memoryMb" and "descriptors", both optional. Values with which a
/// process could not serve its clients are reported as problems.
void readProcessLimits(JsonObjectReader &Reader, ProcessLimits &Out);

} // namespace deckpitch
