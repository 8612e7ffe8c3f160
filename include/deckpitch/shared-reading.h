// Which of several processes reads a subject from the platform's store, and
// when: one reads and tells the others, who read themselves only when it has
// not told them anything for too long. No election: each process decides for
// itself from the age of what it knows.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <cstddef>

namespace deckpitch {

struct ReadingPlan {
  Duration m_Every{};    ///< between two reads of the first process
  Duration m_TakeOver{}; ///< age after which the second one reads
  Duration m_TurnStep{}; ///< that much later for each further process
  Duration m_LastTurn{}; ///< at most that much after the second one

  friend bool operator==(const ReadingPlan &, const ReadingPlan &) = default;
};

/// What one process knows of one subject was true at a moment in the past,
/// whoever read it. No clock of its own.
class SharedReading {
public:
  explicit SharedReading(ReadingPlan Plan) : m_Plan(Plan) {}

  /// 0 is the first process: it reads as long as it can.
  void setTurn(std::size_t Turn) { m_Turn = Turn; }
  bool isFirst() const { return m_Turn == 0; }

  /// The store held what is known at that moment. Older news changes nothing.
  void confirm(TimePoint AsOf) {
    if (AsOf < m_AsOf)
      return;
    m_AsOf = AsOf;
    m_IsBehind = false;
  }
  /// Another process knows something newer: read at once.
  void noteBehind() { m_IsBehind = true; }

  TimePoint asOf() const { return m_AsOf; }
  bool isBehind() const { return m_IsBehind; }
  /// When this process is to read; at once while nothing is known.
  TimePoint due() const {
    if (m_IsBehind || m_AsOf == TimePoint{})
      return TimePoint{};
    if (isFirst())
      return m_AsOf + m_Plan.m_Every;
    const auto Before = static_cast<Duration::rep>(m_Turn - 1);
    return m_AsOf + m_Plan.m_TakeOver +
           std::min(m_Plan.m_TurnStep * Before, m_Plan.m_LastTurn);
  }
  /// Nobody could confirm it for longer than all turns together take: the
  /// store was away, for this process at least.
  bool isStale(TimePoint Now) const {
    return m_AsOf != TimePoint{} &&
           Now - m_AsOf > m_Plan.m_TakeOver + 2 * m_Plan.m_LastTurn;
  }

private:
  ReadingPlan m_Plan;
  std::size_t m_Turn = 0;
  TimePoint m_AsOf{};
  bool m_IsBehind = false;
};

} // namespace deckpitch
