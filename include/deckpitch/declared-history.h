// When each version of a model's weights was declared.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace deckpitch {

/// Records when each version was declared. Versions may be declared faster than
/// they can be distributed to the instances; each has its own deadline, counted
/// from its declaration, which a newer version does not extend.
class DeclaredHistory {
public:
  struct Declared {
    std::uint64_t m_Version = 0;
    TimePoint m_Since{};

    friend bool operator==(const Declared &, const Declared &) = default;
  };

  /// Adds a version; false if it is not newer than all others. Of several times
  /// for one version the earliest counts, since an update that arrives late
  /// must not pass for the declaration.
  bool add(std::uint64_t Version, TimePoint Since) {
    const bool IsNewest = Version > newest();
    const auto At = std::find_if(
        m_List.begin(), m_List.end(),
        [Version](const Declared &Each) { return Each.m_Version >= Version; });
    if (At != m_List.end() && At->m_Version == Version)
      At->m_Since = std::min(At->m_Since, Since);
    else
      m_List.insert(At, {Version, Since});
    if (m_List.size() > MaxKept)
      m_List.erase(m_List.begin());
    return IsNewest;
  }

  /// Returns the earliest known time of the version's declaration; nullopt if
  /// the version is unknown.
  std::optional<TimePoint> since(std::uint64_t Version) const {
    for (const Declared &Each : m_List)
      if (Each.m_Version == Version)
        return Each.m_Since;
    return std::nullopt;
  }

  /// The known versions, the oldest first.
  const std::vector<Declared> &list() const { return m_List; }
  std::uint64_t newest() const {
    return m_List.empty() ? 0 : m_List.back().m_Version;
  }

  /// Returns since when an instance with that version has been outdated;
  /// nullopt if it is not.
  std::optional<TimePoint> behindSince(std::uint64_t Current) const {
    std::optional<TimePoint> First;
    for (const Declared &Each : m_List)
      if (Each.m_Version > Current)
        First = std::min(First.value_or(Each.m_Since), Each.m_Since);
    return First;
  }

private:
  /// The deadlines of older versions are long past.
  static constexpr std::size_t MaxKept = 32;

  std::vector<Declared> m_List;
};

} // namespace deckpitch
