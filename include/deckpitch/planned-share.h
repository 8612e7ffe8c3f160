// The share of an objective that admission control plans with.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>

namespace deckpitch {

/// Adapts the share of the objective that admission plans with under lasting
/// overload. Admitted requests then finish just within their objective, and any
/// effect outside the declared profile (a slow engine, a shared link) makes a
/// third of them late; late answers waste engine time of requests that could
/// have met theirs. The share follows the observed first tokens until one in
/// ten is late.
class PlannedShare {
public:
  double value() const { return m_Value; }

  /// Records the time from sending a request to its first token.
  void observe(Duration FirstToken, Duration Objective) {
    const double Change = FirstToken > Objective ? -Step * (1 - TargetLateShare)
                                                 : Step * TargetLateShare;
    m_Value = std::clamp(m_Value + Change, MinShare, MaxShare);
  }

private:
  /// Leaves a margin for late links and reports where engines match their
  /// profile.
  static constexpr double MaxShare = 0.85;
  /// The pass in progress and the request's own pass take about half of the
  /// shortest objectives: with less, idle engines would refuse requests.
  static constexpr double MinShare = 0.5;
  static constexpr double TargetLateShare = 0.1;
  /// Falls from the maximum to the minimum in about five seconds of overload at
  /// an entry that forwards twenty requests per second.
  static constexpr double Step = 0.02;

  double m_Value = MaxShare;
};

} // namespace deckpitch
