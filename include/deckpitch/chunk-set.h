// A set of chunk numbers, as a bitmap.
#pragma once

#include <bit>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch {

class ChunkSet {
public:
  explicit ChunkSet(std::uint32_t Size = 0)
      : m_Size(Size), m_Words((Size + 63) / 64) {}

  std::uint32_t size() const { return m_Size; }
  std::uint32_t count() const { return m_Count; }
  bool full() const { return m_Count == m_Size; }

  bool contains(std::uint32_t Index) const {
    return Index < m_Size && (m_Words[Index / 64] >> (Index % 64) & 1) != 0;
  }

  /// Returns false if the chunk was present already or is out of range.
  bool insert(std::uint32_t Index) {
    if (Index >= m_Size || contains(Index))
      return false;
    m_Words[Index / 64] |= std::uint64_t{1} << (Index % 64);
    ++m_Count;
    return true;
  }

  bool erase(std::uint32_t Index) {
    if (!contains(Index))
      return false;
    m_Words[Index / 64] &= ~(std::uint64_t{1} << (Index % 64));
    --m_Count;
    return true;
  }

  /// Calls back with each number of this set that is in neither A nor B.
  template <typename Function>
  void forEachNotIn(const ChunkSet &A, const ChunkSet &B,
                    Function &&Call) const {
    for (std::size_t Word = 0; Word < m_Words.size(); ++Word) {
      std::uint64_t Left = m_Words[Word] & ~A.m_Words[Word] & ~B.m_Words[Word];
      for (; Left != 0; Left &= Left - 1)
        Call(static_cast<std::uint32_t>(Word * 64 +
                                        std::uint32_t(std::countr_zero(Left))));
    }
  }

  template <typename Function> void forEach(Function &&Call) const {
    const ChunkSet None(m_Size);
    forEachNotIn(None, None, Call);
  }

  /// Serializes the set with one bit per chunk, lowest first.
  std::string toBytes() const;
  /// Parses the result of toBytes. Ignores bits beyond the size and treats
  /// missing bytes as zero.
  static ChunkSet fromBytes(std::uint32_t Size, std::string_view Bytes);

  friend bool operator==(const ChunkSet &, const ChunkSet &) = default;

private:
  std::uint32_t m_Size;
  std::uint32_t m_Count = 0;
  std::vector<std::uint64_t> m_Words;
};

} // namespace deckpitch
