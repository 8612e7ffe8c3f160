// Decides which of several processes reads a subject from the platform's store,
// and when: one reads and sends the result to the others, which read for
// themselves only if nothing has arrived for too long. There is no election:
// each process decides from the age of its cached view.
#pragma once

#include "deckpitch/time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace deckpitch {

struct ReadingPlan {
  Duration m_Interval{};    ///< between two reads of the first process
  Duration m_TakeOverAge{}; ///< age after which the next processes read
  Duration m_RankDelay{};   ///< additional delay for each process ranked before
  /// Ranks after this one add less, so that the last of many still reads within
  /// the bound, yet not all at once.
  std::size_t m_FullDelayRanks = 0;
  Duration m_LateRankDelay{}; ///< additional delay for each of these
  Duration m_StaleAge{}; ///< age after which the store counts as unavailable

  friend bool operator==(const ReadingPlan &, const ReadingPlan &) = default;
};

/// Rank of a process among those that may read. Each data centre takes over
/// from the first process independently, so that a read that crosses the link
/// between two regions is then passed on to the other processes near it.
struct ReadRank {
  std::size_t m_All = 0;  ///< processes ranked before it
  std::size_t m_Near = 0; ///< those of them in its own data centre

  friend bool operator==(const ReadRank &, const ReadRank &) = default;
};

/// What another process reported about its cached view, and how the report
/// arrived.
struct ReportedReading {
  Duration m_Age{};         ///< age of the view when sent
  Duration m_ExtraDelay{};  ///< how much longer than usual the report took
  bool m_IsLocal = false;   ///< sent from the own data centre
  bool m_IsRelayed = false; ///< the sender has it from another process

  friend bool operator==(const ReportedReading &,
                         const ReportedReading &) = default;
};

/// Added to the age of relayed reports, each time: more than the network delay
/// within a data centre. Otherwise two processes that report to each other
/// would make their views appear fresher with each message, though neither
/// reads the store.
inline constexpr Duration RelayMargin = std::chrono::milliseconds(25);

/// Returns when the store held the reported view, or nothing if that is not
/// certain: the delay between data centres may exceed RelayMargin.
inline std::optional<TimePoint> asOfReport(const ReportedReading &Reported,
                                           TimePoint Now) {
  const TimePoint AsOf = Now - Reported.m_Age - Reported.m_ExtraDelay;
  if (!Reported.m_IsRelayed)
    return AsOf;
  if (!Reported.m_IsLocal)
    return std::nullopt;
  return AsOf - RelayMargin;
}

/// The age of one process's cached view of one subject, whichever process read
/// it. Has no clock of its own.
class SharedReading {
public:
  explicit SharedReading(ReadingPlan Plan) : m_Plan(Plan) {}

  /// Sets the rank of this process; the first process reads as long as it can.
  void setRank(ReadRank Rank) { m_Rank = Rank; }
  bool isFirst() const { return m_Rank.m_All == 0; }

  /// Records that the store held the cached view at that time, as read by this
  /// process or reported by another. An older time changes nothing.
  void confirm(TimePoint AsOf, bool IsRelayed = false) {
    if (AsOf < m_AsOf)
      return;
    m_AsOf = AsOf;
    m_IsRelayed = IsRelayed;
    m_IsBehind = false;
  }
  /// Records that another process knows a newer version, to be read here after
  /// Wait.
  void noteBehind(TimePoint Now, Duration Wait) {
    if (!m_IsBehind)
      m_BehindSince = Now;
    m_ReadAt = m_IsBehind ? std::min(m_ReadAt, Now + Wait) : Now + Wait;
    m_IsBehind = true;
  }
  /// Records that another process reported its view at that time, which was at
  /// least as new as the one here.
  void noteReport(TimePoint At) {
    m_LastReportAt = std::max(m_LastReportAt, At);
  }
  /// Records that the newer version of the others has arrived here.
  void noteCaughtUp() { m_IsBehind = false; }

  TimePoint asOf() const { return m_AsOf; }
  /// Returns whether that time is known from another process only.
  bool isRelayed() const { return m_IsRelayed; }
  bool isBehind() const { return m_IsBehind; }
  TimePoint lastReportAt() const { return m_LastReportAt; }
  /// Returns how long a newer version has been known to exist.
  Duration behindFor(TimePoint Now) const {
    return m_IsBehind ? Now - m_BehindSince : Duration::zero();
  }
  /// Returns how long this process waits for those ranked before it in its data
  /// centre to read.
  Duration rankDelay() const {
    const std::size_t Full = std::min(m_Rank.m_Near, m_Plan.m_FullDelayRanks);
    const std::size_t Late = m_Rank.m_Near - Full;
    return m_Plan.m_RankDelay * static_cast<Duration::rep>(Full) +
           m_Plan.m_LateRankDelay * static_cast<Duration::rep>(Late);
  }
  /// Returns when this process must read; at once while nothing is known.
  TimePoint due() const {
    if (m_AsOf == TimePoint{})
      return TimePoint{};
    if (m_IsBehind)
      return m_ReadAt;
    if (isFirst())
      return m_AsOf + m_Plan.m_Interval;
    return m_AsOf + m_Plan.m_TakeOverAge + rankDelay();
  }
  /// Returns whether no process has confirmed the view for so long that the
  /// store must have been unavailable, at least to this process.
  bool isStale(TimePoint Now) const {
    return m_AsOf != TimePoint{} && Now - m_AsOf > m_Plan.m_StaleAge;
  }

private:
  ReadingPlan m_Plan;
  ReadRank m_Rank;
  TimePoint m_AsOf{};
  bool m_IsRelayed = false;
  bool m_IsBehind = false;
  TimePoint m_BehindSince{};
  TimePoint m_LastReportAt{};
  TimePoint m_ReadAt{};
};

} // namespace deckpitch
