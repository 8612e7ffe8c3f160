// Which of several processes reads a subject from the platform's store, and
// when: one reads and tells the others, who read themselves only when it has
// not told them anything for too long. No election: each process decides for
// itself from the age of what it knows.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace deckpitch {

struct ReadingPlan {
  Duration m_Every{};    ///< between two reads of the first process
  Duration m_TakeOver{}; ///< age after which the next ones read
  Duration m_TurnStep{}; ///< that much later for each process before it
  Duration m_LastTurn{}; ///< at most that much later
  Duration m_Stale{};    ///< age after which the store counts as away

  friend bool operator==(const ReadingPlan &, const ReadingPlan &) = default;
};

/// Where a process stands among those that may read. They take over from the
/// first one in each data centre apart: a reading that crosses the link between
/// two regions is then told to the others beside it.
struct ReadingTurn {
  std::size_t m_All = 0;  ///< processes before it
  std::size_t m_Near = 0; ///< of these, in its own data centre

  friend bool operator==(const ReadingTurn &, const ReadingTurn &) = default;
};

/// What another process says that it knew, and how that came here.
struct ToldReading {
  Duration m_Age{};         ///< at its sending
  Duration m_Late{};        ///< how much longer than usual it took
  bool m_IsNear = false;    ///< from the own data centre
  bool m_IsRelayed = false; ///< that process has it from another one

  friend bool operator==(const ToldReading &, const ToldReading &) = default;
};

/// Taken off what is told at second hand, each time: more than the way within a
/// data centre takes. What two processes tell each other again and again would
/// else become fresher with each message, though nobody reads the store.
inline constexpr Duration RelayAllowance = std::chrono::milliseconds(25);

/// When the store held what is told; nothing where that is not certain: the way
/// between data centres may be longer than what is taken off.
inline std::optional<TimePoint> asOfTold(const ToldReading &Told,
                                         TimePoint Now) {
  const TimePoint AsOf = Now - Told.m_Age - Told.m_Late;
  if (!Told.m_IsRelayed)
    return AsOf;
  if (!Told.m_IsNear)
    return std::nullopt;
  return AsOf - RelayAllowance;
}

/// What one process knows of one subject was true at a moment in the past,
/// whoever read it. No clock of its own.
class SharedReading {
public:
  explicit SharedReading(ReadingPlan Plan) : m_Plan(Plan) {}

  /// The first process reads as long as it can.
  void setTurn(ReadingTurn Turn) { m_Turn = Turn; }
  bool isFirst() const { return m_Turn.m_All == 0; }

  /// The store held what is known at that moment, as this process has read or
  /// another has told it. Older news changes nothing.
  void confirm(TimePoint AsOf, bool IsRelayed = false) {
    if (AsOf < m_AsOf)
      return;
    m_AsOf = AsOf;
    m_IsRelayed = IsRelayed;
    m_IsBehind = false;
  }
  /// Another process knows something newer, to be read here after that time.
  void noteBehind(TimePoint Now, Duration Wait) {
    if (!m_IsBehind)
      m_BehindSince = Now;
    m_ReadAt = m_IsBehind ? std::min(m_ReadAt, Now + Wait) : Now + Wait;
    m_IsBehind = true;
  }
  /// Another process said at that moment what it knew, no less than this one.
  void noteTold(TimePoint At) { m_ToldAt = std::max(m_ToldAt, At); }
  /// What the others knew is known here too.
  void noteCaughtUp() { m_IsBehind = false; }

  TimePoint asOf() const { return m_AsOf; }
  /// Whether that moment is known from another process only.
  bool isRelayed() const { return m_IsRelayed; }
  bool isBehind() const { return m_IsBehind; }
  TimePoint toldAt() const { return m_ToldAt; }
  /// How long something newer has been known to exist.
  Duration behindFor(TimePoint Now) const {
    return m_IsBehind ? Now - m_BehindSince : Duration::zero();
  }
  /// How long this process leaves a reading to those beside it that come first.
  Duration turnWait() const {
    const auto Before = static_cast<Duration::rep>(m_Turn.m_Near);
    return std::min(m_Plan.m_TurnStep * Before, m_Plan.m_LastTurn);
  }
  /// When this process is to read; at once while nothing is known.
  TimePoint due() const {
    if (m_AsOf == TimePoint{})
      return TimePoint{};
    if (m_IsBehind)
      return m_ReadAt;
    if (isFirst())
      return m_AsOf + m_Plan.m_Every;
    return m_AsOf + m_Plan.m_TakeOver + turnWait();
  }
  /// Nobody could confirm it for so long: the store was away, for this process
  /// at least.
  bool isStale(TimePoint Now) const {
    return m_AsOf != TimePoint{} && Now - m_AsOf > m_Plan.m_Stale;
  }

private:
  ReadingPlan m_Plan;
  ReadingTurn m_Turn;
  TimePoint m_AsOf{};
  bool m_IsRelayed = false;
  bool m_IsBehind = false;
  TimePoint m_BehindSince{};
  TimePoint m_ToldAt{};
  TimePoint m_ReadAt{};
};

} // namespace deckpitch
