// Simple changes of an input, the same for the same seed on every machine.
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

  /// With some changes; the other input's bytes may come in.
  Input of(Input From, const Input &Other) {
    constexpr std::size_t MostChanges = 4;
    const std::size_t Changes = 1 + below(MostChanges);
    for (std::size_t I = 0; I < Changes; ++I)
      change(From, Other);
    return From;
  }

private:
  /// The standard's distributions differ between libraries.
  std::size_t below(std::size_t End) { return End == 0 ? 0 : m_Random() % End; }

  void change(Input &Of, const Input &Other) {
    constexpr std::size_t Ways = 6;
    switch (below(Ways)) {
    case 0:
      return flipBit(Of);
    case 1:
      return setByte(Of);
    case 2:
      return insertByte(Of);
    case 3:
      return cutOut(Of);
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

  /// Bytes at the ends of ranges, and those that JSON and texts are made of.
  std::uint8_t someByte() {
    constexpr std::array<std::uint8_t, 16> Telling{
        0,   1,   0x7f, 0x80, 0xff, '"', '\\', '{',
        '}', '[', ']',  ',',  '-',  '9', '\n', '~'};
    return Telling[below(Telling.size())];
  }

  void setByte(Input &Of) {
    if (!Of.empty())
      Of[below(Of.size())] = someByte();
  }

  void insertByte(Input &Of) {
    // One after the other: compilers differ in the order of arguments.
    const std::size_t Index = below(Of.size());
    Of.insert(at(Of, Index), someByte());
  }

  void cutOut(Input &Of) {
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
