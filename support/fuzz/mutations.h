// Simple mutations of an input, reproducible from the seed on every platform.
#pragma once

#include "fuzz/targets.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace deckpitch::fuzz {

using Input = std::vector<std::uint8_t>;

class Mutations {
public:
  explicit Mutations(std::uint32_t Seed) : m_Random(Seed) {}

  /// Returns From with one to MaxChanges random changes, some of which may
  /// insert bytes of Other.
  Input mutate(Input From, const Input &Other) {
    constexpr std::size_t MaxChanges = 4;
    const std::size_t Changes = 1 + below(MaxChanges);
    for (std::size_t I = 0; I < Changes; ++I)
      change(From, Other);
    return From;
  }

private:
  /// Not a distribution of the standard library: their results differ between
  /// implementations.
  std::size_t below(std::size_t End) { return End == 0 ? 0 : m_Random() % End; }

  void change(Input &Of, const Input &Other) {
    constexpr std::size_t Kinds = 6;
    switch (below(Kinds)) {
    case 0:
      return flipBit(Of);
    case 1:
      return setByte(Of);
    case 2:
      return insertByte(Of);
    case 3:
      return eraseRange(Of);
    case 4:
      return insertPartOf(Input(Of), Of);
    default:
      return insertPartOf(Other, Of);
    }
  }

  void flipBit(Input &Of) {
    constexpr std::size_t BitsPerByte = 8;
    if (!Of.empty())
      Of[below(Of.size())] ^=
          static_cast<std::uint8_t>(1 << below(BitsPerByte));
  }

  /// Returns a boundary value or a character with a meaning in JSON or text.
  std::uint8_t randomByte() {
    constexpr std::array<std::uint8_t, 16> InterestingBytes{
        0,   1,   0x7f, 0x80, 0xff, '"', '\\', '{',
        '}', '[', ']',  ',',  '-',  '9', '\n', '~'};
    return InterestingBytes[below(InterestingBytes.size())];
  }

  void setByte(Input &Of) {
    if (!Of.empty())
      Of[below(Of.size())] = randomByte();
  }

  void insertByte(Input &Of) {
    // Drawn in separate statements: the order in which arguments are evaluated
    // is unspecified and would make results differ between compilers.
    const std::size_t Index = below(Of.size());
    Of.insert(at(Of, Index), randomByte());
  }

  void eraseRange(Input &Of) {
    const std::size_t From = below(Of.size());
    const std::size_t Size = below(Of.size() - From + 1);
    Of.erase(at(Of, From), at(Of, From + Size));
  }

  void insertPartOf(const Input &Source, Input &Into) {
    const std::size_t From = below(Source.size());
    const std::size_t Size = below(Source.size() - From + 1);
    const Bytes Part = Bytes(Source).subspan(From, Size);
    Into.insert(at(Into, below(Into.size())), Part.begin(), Part.end());
  }

  static Input::iterator at(Input &Of, std::size_t Index) {
    return Of.begin() + static_cast<Input::difference_type>(Index);
  }

  std::mt19937 m_Random;
};

} // namespace deckpitch::fuzz
