// Which other processes have something newer than this one, and which of them
// is asked for it next.
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

/// What another process says that it has.
struct Holder {
  std::string m_Link;    ///< address at which it is asked
  Revision m_Has{};      ///< of the store
  bool m_IsNear = false; ///< in the own data centre
  TimePoint m_ToldAt{};

  friend bool operator==(const Holder &, const Holder &) = default;
};

/// One of them may have died, or be cut off, after it told: they are asked in
/// turn. No clock of its own.
class Holders {
public:
  void note(const Holder &Told) {
    Known &Each = m_ByLink[Told.m_Link];
    Each.m_Told = Told;
  }
  /// It was asked and did not give what it had told of.
  void noteFailure(const std::string &Link) {
    const auto Found = m_ByLink.find(Link);
    if (Found != m_ByLink.end())
      Found->second.m_LastFailure = ++m_Failures;
  }

  /// One that has not failed, of these a near one, and the newest; else the one
  /// whose failure is longest ago.
  std::optional<Holder> next() const {
    const auto IsEarlier = [](const auto &One, const auto &Other) {
      return orderOf(One.second) < orderOf(Other.second);
    };
    const auto First =
        std::min_element(m_ByLink.begin(), m_ByLink.end(), IsEarlier);
    if (First == m_ByLink.end())
      return std::nullopt;
    return First->second.m_Told;
  }
  bool empty() const { return m_ByLink.empty(); }

  /// This process has that revision: who has no newer one is no help.
  void forgetUpTo(Revision Has) {
    std::erase_if(m_ByLink, [&](const auto &Each) {
      return Each.second.m_Told.m_Has <= Has;
    });
  }
  /// The store was asked at that moment and holds nothing newer than this
  /// process: what was told before does not exist.
  void forgetToldBefore(TimePoint Asked) {
    std::erase_if(m_ByLink, [&](const auto &Each) {
      return Each.second.m_Told.m_ToldAt < Asked;
    });
  }

private:
  struct Known {
    Holder m_Told;
    std::uint64_t m_LastFailure = 0; ///< its number among all; 0: none
  };

  /// When it failed, whether it is far, and its revision: the least is asked.
  using Order = std::tuple<std::uint64_t, bool, std::int64_t>;
  static Order orderOf(const Known &Of) {
    return Order(Of.m_LastFailure, !Of.m_Told.m_IsNear,
                 -static_cast<std::int64_t>(Of.m_Told.m_Has.m_Value));
  }

  std::map<std::string, Known> m_ByLink;
  std::uint64_t m_Failures = 0; ///< of all
};

} // namespace deckpitch
