#include "deckpitch/retry.h"

#include <algorithm>

namespace deckpitch {

namespace {

constexpr std::chrono::milliseconds LongStallTimeout{5'000};
constexpr std::chrono::milliseconds ShortStallTimeout{2'000};

bool mayTryAnother(AttemptEnd End, const CallState &State) {
  if (!State.m_TimeLeft || !State.m_OtherUpstream ||
      State.m_Attempts >= MaxAttempts)
    return false;
  if (End == AttemptEnd::Lost)
    return State.m_Idempotent && State.m_BudgetAllows;
  return true;
}

} // namespace

NextStep afterAttempt(AttemptEnd End, const CallState &State) {
  if (End == AttemptEnd::Complete)
    return NextStep::Deliver;
  if (mayTryAnother(End, State))
    return NextStep::TryAnother;
  if (End != AttemptEnd::Lost)
    return NextStep::NotRun;
  return State.m_Fenceable ? NextStep::Fence : NextStep::Unknown;
}

std::chrono::milliseconds stallTimeout(bool OtherUpstream, bool BudgetIsLow) {
  return OtherUpstream && !BudgetIsLow ? ShortStallTimeout : LongStallTimeout;
}

RetryBudget::RetryBudget(double Share, std::uint32_t Burst)
    : m_Deposit(static_cast<std::int64_t>(Share * Unit)),
      m_MaxLevel(Burst * Unit), m_Level(m_MaxLevel) {}

void RetryBudget::deposit() {
  std::int64_t Level = m_Level.load(std::memory_order_relaxed);
  while (Level < m_MaxLevel &&
         !m_Level.compare_exchange_weak(Level,
                                        std::min(m_MaxLevel, Level + m_Deposit),
                                        std::memory_order_relaxed)) {
  }
}

bool RetryBudget::withdraw() {
  std::int64_t Level = m_Level.load(std::memory_order_relaxed);
  while (Level >= Unit) {
    if (m_Level.compare_exchange_weak(Level, Level - Unit,
                                      std::memory_order_relaxed))
      return true;
  }
  return false;
}

bool RetryBudget::isLow() const {
  return m_Level.load(std::memory_order_relaxed) < m_MaxLevel / 2;
}

} // namespace deckpitch
