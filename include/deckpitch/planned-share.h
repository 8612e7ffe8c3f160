// How much of an objective admission plans with.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>

namespace deckpitch {

/// The load pattern it answers: more requests than the engines can take, for
/// long. What is admitted then comes at the edge of its objective, and what a
/// declared profile leaves out (a slow engine, a link that is shared) makes a
/// third of it late; late answers take the engine time of others that would
/// have come in time. The share follows the first tokens that are seen, until
/// one in ten is late.
class PlannedShare {
public:
  double value() const { return m_Value; }

  /// A first token came that long after its request was sent.
  void observe(Duration First, Duration Objective) {
    const double Change =
        First > Objective ? -Step * (1 - LateShare) : Step * LateShare;
    m_Value = std::clamp(m_Value + Change, Least, Most);
  }

private:
  /// Links and reports that are late take the rest where engines keep to their
  /// profile.
  static constexpr double Most = 0.85;
  /// A pass that is under way and a pass of its own take about half of the
  /// shortest objectives: with less, idle engines would refuse.
  static constexpr double Least = 0.5;
  static constexpr double LateShare = 0.1;
  /// From the most to the least within some five seconds of overload at an
  /// entry that passes on twenty requests a second.
  static constexpr double Step = 0.02;

  double m_Value = Most;
};

} // namespace deckpitch
