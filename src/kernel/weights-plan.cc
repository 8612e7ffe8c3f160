#include "deckpitch/weights-plan.h"

#include <algorithm>
#include <map>

namespace deckpitch {

namespace {

/// Time for a due order to be sent and take effect.
constexpr Duration SwapDuration = std::chrono::milliseconds(200);
/// Maximum delay of a due order, for the check of the staged chunks. An order
/// that takes longer is held up, and the instance keeps serving meanwhile.
constexpr Duration MaxOrderDelay = std::chrono::milliseconds(1'000);
/// Minimum share of a copy's chunks: the missing ones then arrive sooner than
/// all chunks of the next version.
constexpr double WorthFinishingShare = 0.25;
/// A copy without a chunk for this long, several chunk times, is stalled.
constexpr Duration CopyStallTimeout = std::chrono::milliseconds(1'500);

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

std::size_t swapRank(std::vector<PoolMember> Pool, std::string_view Address) {
  struct Position {
    double m_InDataCentre = 0; ///< from 0 to 1
    const PoolMember *m_Member = nullptr;
  };
  std::sort(Pool.begin(), Pool.end(),
            [](const PoolMember &Left, const PoolMember &Right) {
              return Left.m_Address < Right.m_Address;
            });
  std::map<DataCentreId, std::vector<const PoolMember *>> ByDataCentre;
  for (const PoolMember &Each : Pool)
    ByDataCentre[Each.m_DataCentre].push_back(&Each);
  std::vector<Position> Order;
  for (const auto &[Id, Members] : ByDataCentre)
    for (std::size_t I = 0; I < Members.size(); ++I)
      Order.push_back(
          {static_cast<double>(I) / static_cast<double>(Members.size()),
           Members[I]});
  std::stable_sort(Order.begin(), Order.end(),
                   [](const Position &Left, const Position &Right) {
                     return Left.m_InDataCentre < Right.m_InDataCentre;
                   });
  const auto At =
      std::find_if(Order.begin(), Order.end(), [Address](const Position &Each) {
        return Each.m_Member->m_Address == Address;
      });
  return static_cast<std::size_t>(At - Order.begin());
}

TimePoint swapTime(const WeightsState &State) {
  const double Position =
      static_cast<double>(State.m_Rank) /
      static_cast<double>(std::max<std::size_t>(State.m_PoolSize, 1));
  const TimePoint Last =
      State.m_DeclaredAt + State.m_Bound - State.m_Margin - SwapDuration;
  const Duration Left = std::max(Last - State.m_CopiedAt, Duration::zero());
  return State.m_CopiedAt + Duration(static_cast<Duration::rep>(
                                Position * static_cast<double>(Left.count())));
}

bool isWorthFinishing(const CopyProgress &Progress) {
  return Progress.m_Held >= WorthFinishingShare * Progress.m_All &&
         Progress.m_SinceLastChunk < CopyStallTimeout;
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
  // An instance without weights serves no requests, so it need not wait.
  const bool IsEarly = servesOlder(State) && Now < swapTime(State);
  return IsEarly ? WeightsStep::Wait : WeightsStep::Load;
}

std::optional<Duration> timeToSwap(const WeightsState &State, TimePoint Now) {
  const WeightsStep Next = nextWeightsStep(State, Now);
  // Covers the check of the staged chunks before the order: without a time here
  // the instance seemed not to swap at all and drew the streams of all others.
  if (Next == WeightsStep::Load) {
    const bool IsHeldUp = Now - swapTime(State) > MaxOrderDelay;
    return IsHeldUp ? std::nullopt : std::optional(Duration::zero());
  }
  if (Next != WeightsStep::Wait || State.m_IsBusy)
    return std::nullopt;
  return swapTime(State) - Now;
}

} // namespace deckpitch
