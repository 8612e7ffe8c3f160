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
  /// False when the version is not newer than all before it. Of several times
  /// for one version the earliest holds: who hears of it late must not take
  /// that for its declaration.
  bool add(std::uint64_t Version, TimePoint Since) {
    for (Declared &Each : m_List)
      if (Each.m_Version == Version)
        Each.m_Since = std::min(Each.m_Since, Since);
    if (Version <= newest())
      return false;
    if (m_List.size() == MostKept)
      m_List.erase(m_List.begin());
    m_List.push_back({Version, Since});
    return true;
  }

  /// When that version was declared, at the earliest; nothing when it is not
  /// known.
  std::optional<TimePoint> since(std::uint64_t Version) const {
    for (const Declared &Each : m_List)
      if (Each.m_Version == Version)
        return Each.m_Since;
    return std::nullopt;
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
