// Retries of one entry, out of what all entries together may send.
#pragma once

#include "deckpitch/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace deckpitch {

/// What the retries of all entries may add up to in any window: a share of the
/// requests in it, and a slack beside them.
struct RetryShare {
  double m_Share = 0.2;
  double m_Slack = 100;
  std::chrono::milliseconds m_Window{10'000};

  friend bool operator==(const RetryShare &, const RetryShare &) = default;
};

/// What one entry has done in the last window, and what it may.
struct RetryUse {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Retries = 0;
  double m_Allowed = 0;
  std::size_t m_Entries = 0; ///< that share the slack; 0: not known
  Duration m_Age{};          ///< of this process

  friend bool operator==(const RetryUse &, const RetryUse &) = default;
};

/// Holds whatever starts, ends or is cut off meanwhile: each entry uses its
/// share of its own requests, and of the slack an equal part, by the most
/// entries that it knew in the window. What it did before a restart is not
/// known any more, so a process that is younger than a window uses no slack.
/// No clock of its own; times never decrease.
class RetryWindow {
public:
  RetryWindow(RetryShare All, TimePoint ProcessStart);

  /// Entries that there are, this one included, whether they are heard or not;
  /// 0 where that is not known, and then there is no slack either.
  void setEntries(std::size_t Count, TimePoint Now);
  /// Counts a request.
  void arrived(TimePoint Now);
  /// Counts a retry; false where it is not allowed.
  bool tryRetry(TimePoint Now);
  RetryUse use(TimePoint Now) const;

private:
  /// The window is forgotten in that many steps.
  static constexpr std::size_t Steps = 10;

  struct Step {
    std::int64_t m_Number = -1;
    std::uint64_t m_Requests = 0;
    std::uint64_t m_Retries = 0;
    std::size_t m_MostEntries = 0;
  };

  std::int64_t numberOf(TimePoint Now) const;
  Step &stepAt(TimePoint Now);

  RetryShare m_All;
  TimePoint m_Start;
  std::size_t m_Entries = 0;
  /// One more than the window has: the oldest is in it only in part.
  std::array<Step, Steps + 1> m_Steps{};
};

} // namespace deckpitch
