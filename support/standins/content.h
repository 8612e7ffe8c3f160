// Generates the content of weights as a pure function of seed and offset.
#pragma once

#include <cstdint>
#include <cstring>
#include <string>

namespace deckpitch::standins {

namespace detail {

/// Returns the word at an index of the SplitMix64 sequence of the seed.
inline std::uint64_t wordAt(std::uint64_t Seed, std::uint64_t Index) {
  std::uint64_t Z = Seed + (Index + 1) * 0x9E3779B97F4A7C15ULL;
  Z = (Z ^ (Z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Z = (Z ^ (Z >> 27)) * 0x94D049BB133111EBULL;
  return Z ^ (Z >> 31);
}

} // namespace detail

/// Returns the bytes [Offset, Offset + Length) of the content of the seed.
inline std::string contentBytes(std::uint64_t Seed, std::uint64_t Offset,
                                std::size_t Length) {
  constexpr std::size_t WordBytes = sizeof(std::uint64_t);
  const std::uint64_t First = Offset / WordBytes;
  const std::size_t Skipped = Offset % WordBytes;
  const std::size_t Words = (Skipped + Length + WordBytes - 1) / WordBytes;
  std::string Out(Words * WordBytes, '\0');
  for (std::size_t I = 0; I < Words; ++I) {
    const std::uint64_t Word = detail::wordAt(Seed, First + I);
    std::memcpy(Out.data() + I * WordBytes, &Word, WordBytes);
  }
  Out.erase(0, Skipped);
  Out.resize(Length);
  return Out;
}

} // namespace deckpitch::standins
