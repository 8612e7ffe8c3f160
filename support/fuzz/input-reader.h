// Sequential reader for the input of a fuzz target.
#pragma once

#include "fuzz/targets.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

namespace deckpitch::fuzz {

/// InputReader reads bytes and texts; past the end, byte() returns zeros.
class InputReader {
public:
  explicit InputReader(Bytes Input) : m_Remaining(Input) {}

  bool atEnd() const { return m_Remaining.empty(); }

  std::uint8_t byte() {
    if (atEnd())
      return 0;
    const std::uint8_t Value = m_Remaining.front();
    m_Remaining = m_Remaining.subspan(1);
    return Value;
  }

  /// Returns the next Size bytes, or fewer at the end of the input.
  std::string text(std::size_t Size) {
    const Bytes Prefix = m_Remaining.first(std::min(Size, m_Remaining.size()));
    m_Remaining = m_Remaining.subspan(Prefix.size());
    return {Prefix.begin(), Prefix.end()};
  }

  std::string remainder() { return text(m_Remaining.size()); }

private:
  Bytes m_Remaining;
};

} // namespace deckpitch::fuzz
