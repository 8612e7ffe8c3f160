#include "deckpitch/process-limits.h"

namespace deckpitch {

namespace {

constexpr std::uint32_t MinMemoryMb = 64;
constexpr std::uint32_t MaxMemoryMb = 1'000'000;
constexpr std::uint32_t MinDescriptors = 256;
constexpr std::uint32_t MaxDescriptors = 10'000'000;

} // namespace

void readProcessLimits(JsonObjectReader &Reader, ProcessLimits &Out) {
  Reader.rounded("memoryMb", Out.m_MemoryMb, MinMemoryMb, MaxMemoryMb);
  Reader.rounded("descriptors", Out.m_Descriptors, MinDescriptors,
                 MaxDescriptors);
}

} // namespace deckpitch
