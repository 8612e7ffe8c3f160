#include "deckpitch/weights-plan.h"

#include <algorithm>

namespace deckpitch {

namespace {

/// Share of the bound that swaps may be spread over; the rest is for copying,
/// the requests that still run, and loading.
constexpr double SpreadShare = 0.3;

bool holds(const WeightsState &State) {
  return std::any_of(
      State.m_Held.begin(), State.m_Held.end(), [&](const HeldWeights &Each) {
        return Each.m_Model == State.m_Wanted.m_Model &&
               Each.m_Version >= State.m_Wanted.m_Version && Each.m_IsComplete;
      });
}

bool servesOlder(const WeightsState &State) {
  return std::any_of(
      State.m_Held.begin(), State.m_Held.end(), [&](const HeldWeights &Each) {
        return Each.m_Model == State.m_Wanted.m_Model && Each.m_IsComplete;
      });
}

} // namespace

Duration swapDelay(const WeightsState &State) {
  const double Place =
      static_cast<double>(State.m_Rank) /
      static_cast<double>(std::max<std::size_t>(State.m_PoolSize, 1));
  return Duration(static_cast<Duration::rep>(
      SpreadShare * Place * static_cast<double>(State.m_Bound.count())));
}

WeightsStep nextWeightsStep(const WeightsState &State, TimePoint Now) {
  if (State.m_Wanted.m_Version == 0)
    return WeightsStep::Idle;
  if (holds(State))
    return WeightsStep::Serve;
  if (!State.m_IsCopyComplete)
    return WeightsStep::Copy;
  if (State.m_IsBusy)
    return WeightsStep::Wait;
  // An empty instance serves nobody: it has nothing to wait for.
  const bool IsEarly =
      servesOlder(State) && Now < State.m_CopiedAt + swapDelay(State);
  // Late copies swap at once, whatever their place.
  const bool IsLate = Now - State.m_DeclaredAt > State.m_Bound * 6 / 10;
  return IsEarly && !IsLate ? WeightsStep::Wait : WeightsStep::Load;
}

} // namespace deckpitch
