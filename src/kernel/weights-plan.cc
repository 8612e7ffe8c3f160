#include "deckpitch/weights-plan.h"

#include <algorithm>

namespace deckpitch {

namespace {

/// From the order until the instance takes requests again: those that run end
/// first, most within a second, and then it loads.
constexpr Duration SwapTime = std::chrono::milliseconds(600);
/// Of a copy's chunks: what is missing then comes sooner than all of the next.
constexpr double WorthFinishing = 0.25;
/// Several times what one chunk takes: no more are coming.
constexpr Duration CopyStalled = std::chrono::milliseconds(1'500);

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

TimePoint swapTime(const WeightsState &State) {
  const double Place =
      static_cast<double>(State.m_Rank) /
      static_cast<double>(std::max<std::size_t>(State.m_PoolSize, 1));
  const TimePoint Last =
      State.m_DeclaredAt + State.m_Bound - State.m_Spare - SwapTime;
  const Duration Left = std::max(Last - State.m_CopiedAt, Duration::zero());
  return State.m_CopiedAt + Duration(static_cast<Duration::rep>(
                                Place * static_cast<double>(Left.count())));
}

bool isWorthFinishing(const CopyProgress &Of) {
  return Of.m_Held >= WorthFinishing * Of.m_All && Of.m_SinceGain < CopyStalled;
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
  const bool IsEarly = servesOlder(State) && Now < swapTime(State);
  return IsEarly ? WeightsStep::Wait : WeightsStep::Load;
}

} // namespace deckpitch
