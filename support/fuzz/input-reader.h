// Takes an input apart, from its begin to its end.
#pragma once

#include "fuzz/targets.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace deckpitch::fuzz {

/// An input that has ended goes on with zeros.
class InputReader {
public:
  explicit InputReader(Bytes Input) : m_Left(Input) {}

  bool atEnd() const { return m_Left.empty(); }

  std::uint8_t byte() {
    if (atEnd())
      return 0;
    const std::uint8_t Value = m_Left.front();
    m_Left = m_Left.subspan(1);
    return Value;
  }

  /// So many bytes, or fewer where the input ends.
  std::string text(std::size_t Size) {
    const Bytes Taken = m_Left.first(std::min(Size, m_Left.size()));
    m_Left = m_Left.subspan(Taken.size());
    return {Taken.begin(), Taken.end()};
  }

  std::string rest() { return text(m_Left.size()); }

private:
  Bytes m_Left;
};

} // namespace deckpitch::fuzz
