// What follows when an attempt at a request ends without a whole answer.
#pragma once

#include "deckpitch/time.h"

#include <atomic>
#include <cstdint>

namespace deckpitch {

/// How one attempt at one upstream ended.
enum class AttemptEnd {
  Whole,       ///< the whole answer came
  Refused,     ///< the upstream's agent says for certain that it did not run
  Unreachable, ///< the request cannot have reached the instance
  Lost,        ///< no whole answer, and it may have run
};

/// What is known of the request when an attempt ends.
struct CallState {
  bool m_Idempotent = true;
  bool m_Fenceable = false; ///< a key lets its agent rule out a run
  std::uint32_t m_Attempts = 1;
  bool m_OtherUpstream = false; ///< one that was not tried can take it
  bool m_BudgetAllows = false;
  bool m_TimeLeft = false;
};

enum class NextStep {
  Deliver,
  TryAnother,
  Fence,   ///< ask the agent to rule out a run, then answer
  NotRun,  ///< answer not-run at once
  Unknown, ///< answer unknown at once
};

inline constexpr std::uint32_t MaxAttempts = 4;

/// Whether retrying after that end takes from the budget: only an attempt
/// that may have cost an upstream work does.
constexpr bool needsBudget(AttemptEnd End) { return End == AttemptEnd::Lost; }

NextStep afterAttempt(AttemptEnd End, const CallState &State);

/// For how long a stream may give nothing before it is resumed elsewhere.
/// Short while another upstream holds its weights, which may soon change; long
/// when there is none, or when so many stall that moving them would add load.
std::chrono::milliseconds stallLimit(bool OtherUpstream, bool BudgetStrained);

/// Retries as a share of fresh requests, so that they cannot add up to a
/// storm: over any span, retries <= share * fresh + burst. Several threads
/// may use one budget.
class RetryBudget {
public:
  explicit RetryBudget(double Share = 0.1, std::uint32_t Burst = 10);

  /// Counts a fresh request.
  void deposit();
  /// Takes one retry out; false when there is none.
  bool withdraw();
  /// Less than half is left: many attempts are being lost.
  bool strained() const;

private:
  static constexpr std::int64_t Unit = 1'000;
  std::int64_t m_Deposit;
  std::int64_t m_Most;
  std::atomic<std::int64_t> m_Level;
};

} // namespace deckpitch
