// How many requests an instance that has just started accepts from all entries
// together.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <chrono>

namespace deckpitch {

/// The operators' bound on the requests that one cold instance gets in a
/// second: its own rate times m_Factor, and m_Slack more.
struct ColdStartBound {
  double m_Factor = 1;
  double m_Slack = 0;

  friend bool operator==(const ColdStartBound &,
                         const ColdStartBound &) = default;
};

/// What one incarnation of an instance may be sent while it is cold.
struct ColdStartLimit {
  double m_PerSecond = 0;
  double m_Burst = 1; ///< requests at once after an idle period
  Duration m_Left{};  ///< how much longer it is cold

  friend bool operator==(const ColdStartLimit &,
                         const ColdStartLimit &) = default;
};

/// Returns the limit that keeps the bound in any second, also in one in which
/// the process that counts the requests is replaced by another.
inline ColdStartLimit limitFor(double AcceptedPerSecond,
                               const ColdStartBound &Bound, Duration Left) {
  constexpr double CountingProcesses = 2;
  const double PerSecond = AcceptedPerSecond * std::min(Bound.m_Factor, 1.0);
  const double Rest =
      AcceptedPerSecond * Bound.m_Factor + Bound.m_Slack - PerSecond;
  return {PerSecond, std::max(Rest / CountingProcesses - 1, 1.0), Left};
}

/// Grants the requests to one cold instance, in the process that counts them
/// for all entries.
class ColdStartGrants {
public:
  explicit ColdStartGrants(TimePoint Now) : m_FilledAt(Now) {}

  /// Applies what an entry knows. Entries know it from lists of different ages,
  /// so the longest time counts.
  void note(const ColdStartLimit &Known, TimePoint Now) {
    fill(Now);
    m_Limit = Known;
    m_Until = std::max(m_Until, Now + Known.m_Left);
  }
  bool isCold(TimePoint Now) const { return Now < m_Until; }
  /// Whether a request may be sent now; true if the instance is not cold.
  bool canTake(TimePoint Now) {
    fill(Now);
    return !isCold(Now) || m_Tokens >= 1;
  }
  /// Counts a request that canTake() allowed.
  void take() { m_Tokens = std::max(m_Tokens - 1, 0.0); }

private:
  void fill(TimePoint Now) {
    const double Seconds =
        std::chrono::duration<double>(Now - m_FilledAt).count();
    m_Tokens =
        std::min(m_Tokens + Seconds * m_Limit.m_PerSecond, m_Limit.m_Burst);
    m_FilledAt = Now;
  }

  ColdStartLimit m_Limit;
  double m_Tokens = 0;
  TimePoint m_FilledAt;
  TimePoint m_Until{};
};

} // namespace deckpitch
