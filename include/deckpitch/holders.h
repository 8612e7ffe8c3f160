// Tracks which processes hold a newer revision than this one and which of them
// to request it from next.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace deckpitch {

/// A process and the revision that it announced.
struct Holder {
  std::string m_Link;     ///< address for requests
  Revision m_Has{};       ///< store revision
  bool m_IsLocal = false; ///< in the same data centre
  TimePoint m_AnnouncedAt{};

  friend bool operator==(const Holder &, const Holder &) = default;
};

/// Selects holders round-robin, since any of them may have died or been cut off
/// after its announcement. Has no clock of its own.
class Holders {
public:
  void note(const Holder &Announced) {
    Known &Each = m_ByLink[Announced.m_Link];
    Each.m_Holder = Announced;
  }
  /// Records that a holder did not deliver the revision that it announced.
  void noteFailure(const std::string &Link) {
    const auto Found = m_ByLink.find(Link);
    if (Found != m_ByLink.end())
      Found->second.m_LastFailureNumber = ++m_Failures;
  }

  /// The holder to ask next. Prefers holders without a failure, then the one
  /// whose failure is the oldest; then local ones, then the newest revision.
  std::optional<Holder> next() const {
    const auto IsEarlier = [](const auto &One, const auto &Other) {
      return orderOf(One.second) < orderOf(Other.second);
    };
    const auto First =
        std::min_element(m_ByLink.begin(), m_ByLink.end(), IsEarlier);
    if (First == m_ByLink.end())
      return std::nullopt;
    return First->second.m_Holder;
  }
  bool empty() const { return m_ByLink.empty(); }

  /// Removes holders without a newer revision than Has, which this process has.
  void removeUpTo(Revision Has) {
    std::erase_if(m_ByLink, [&](const auto &Each) {
      return Each.second.m_Holder.m_Has <= Has;
    });
  }
  /// Removes holders that announced their revision before Asked: the store was
  /// queried then and held nothing newer, so these revisions do not exist.
  void removeAnnouncedBefore(TimePoint Asked) {
    std::erase_if(m_ByLink, [&](const auto &Each) {
      return Each.second.m_Holder.m_AnnouncedAt < Asked;
    });
  }

private:
  struct Known {
    Holder m_Holder;
    std::uint64_t m_LastFailureNumber = 0; ///< sequence number; 0: none
  };

  /// Last failure, remote, negated revision: the smallest is asked next.
  using Order = std::tuple<std::uint64_t, bool, std::int64_t>;
  static Order orderOf(const Known &Holder) {
    return Order(Holder.m_LastFailureNumber, !Holder.m_Holder.m_IsLocal,
                 -static_cast<std::int64_t>(Holder.m_Holder.m_Has.m_Value));
  }

  std::map<std::string, Known> m_ByLink;
  std::uint64_t m_Failures = 0; ///< of all holders
};

} // namespace deckpitch
