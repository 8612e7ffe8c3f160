// Decides what follows an attempt that ended without a complete answer, and
// limits the number of retries.
#pragma once

#include "deckpitch/time.h"

#include <atomic>
#include <cstdint>

namespace deckpitch {

/// How one attempt at one upstream ended.
enum class AttemptEnd {
  Complete,    ///< the complete answer was received
  Refused,     ///< the upstream's agent confirms that the request did not run
  Unreachable, ///< the request cannot have reached the instance
  Lost,        ///< no complete answer, and the request may have run
};

/// The state of a request when an attempt ends.
struct CallState {
  bool m_Idempotent = true;
  bool m_Fenceable = false; ///< has a key by which its agent can prevent a run
  std::uint32_t m_Attempts = 1;
  bool m_OtherUpstream = false; ///< an untried upstream can take it
  bool m_BudgetAllows = false;
  bool m_TimeLeft = false;
};

enum class NextStep {
  Deliver,
  TryAnother,
  Fence,   ///< ask the agent to prevent a run, then answer
  NotRun,  ///< answer not-run immediately
  Unknown, ///< answer unknown immediately
};

inline constexpr std::uint32_t MaxAttempts = 4;

/// Whether a retry after that end is charged to the budget. Only an attempt
/// that may have cost an upstream work is.
constexpr bool needsBudget(AttemptEnd End) { return End == AttemptEnd::Lost; }

NextStep afterAttempt(AttemptEnd End, const CallState &State);

/// How long a stream may deliver nothing before it is resumed on another
/// upstream. Short while another upstream serves its weights, since a rollout
/// may soon replace them; long if there is none, or if so many streams stall
/// that moving them would add load.
std::chrono::milliseconds stallTimeout(bool OtherUpstream, bool BudgetIsLow);

/// Limits retries to a share of fresh requests, which prevents retry storms:
/// over any period, retries <= share * fresh + burst. Thread-safe.
class RetryBudget {
public:
  explicit RetryBudget(double Share = 0.1, std::uint32_t Burst = 10);

  /// Counts a fresh request.
  void deposit();
  /// Takes one retry from the budget; false if none is left.
  bool withdraw();
  /// Whether less than half of the budget is left, that is, many attempts are
  /// being lost.
  bool isLow() const;

private:
  static constexpr std::int64_t Unit = 1'000;
  std::int64_t m_Deposit;
  std::int64_t m_MaxLevel;
  std::atomic<std::int64_t> m_Level;
};

} // namespace deckpitch
