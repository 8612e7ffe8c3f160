// Whether an instance fails much of what it is sent, decided beside it.
#pragma once

#include "deckpitch/time.h"

#include <chrono>
#include <deque>
#include <optional>

namespace deckpitch {

/// The load pattern it answers: an instance ends requests with failures while
/// all its health checks are good. It fails them quickly, so it looks idle and
/// draws the requests of all entries, and each entry sees too few of them to
/// tell. The agent beside it is told of each, and knows how many were granted a
/// place there.
class FailureWatch {
public:
  /// A request was granted a place.
  void granted(TimePoint Now);
  /// A request failed there. For how long the instance counts as failing from
  /// now on, where this is the cause.
  std::optional<Duration> failed(TimePoint Now);
  bool isFailing(TimePoint Now) const { return Now < m_Until; }

private:
  void forgetOld(TimePoint Now);

  std::deque<TimePoint> m_Granted;
  std::deque<TimePoint> m_Failed;
  TimePoint m_Until{};
  Duration m_Span{}; ///< for which it counted as failing last
};

} // namespace deckpitch
