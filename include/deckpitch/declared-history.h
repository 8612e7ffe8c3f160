// When each version of a model's weights was declared.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace deckpitch {

/// Versions may be declared faster than they can be brought to the instances;
/// each has a bound of its own from its declaration on, which a newer one does
/// not extend.
class DeclaredHistory {
public:
  /// False when the version is not newer than all before it.
  bool add(std::uint64_t Version, TimePoint Now) {
    if (Version <= newest())
      return false;
    if (m_List.size() == MostKept)
      m_List.erase(m_List.begin());
    m_List.push_back({Version, Now});
    return true;
  }

  std::uint64_t newest() const {
    return m_List.empty() ? 0 : m_List.back().m_Version;
  }

  /// Since when an instance with that version has been behind; nothing when it
  /// is not.
  std::optional<TimePoint> behindSince(std::uint64_t Held) const {
    const auto First = std::find_if(
        m_List.begin(), m_List.end(),
        [Held](const Declared &Each) { return Each.m_Version > Held; });
    if (First == m_List.end())
      return std::nullopt;
    return First->m_Since;
  }

private:
  struct Declared {
    std::uint64_t m_Version = 0;
    TimePoint m_Since{};
  };
  /// Older ones were due long before.
  static constexpr std::size_t MostKept = 32;

  std::vector<Declared> m_List;
};

} // namespace deckpitch
