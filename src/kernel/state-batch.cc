#include "deckpitch/state-batch.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace deckpitch {

namespace {

/// Bytes of a batch without states: format, data centre's tag and length.
constexpr std::size_t BatchBytes = 8;
/// Bytes of a state's tags and lengths, and of its numbers at their usual size:
/// order 18, counts 8, flags 4, time to other weights 5, version 4, start 7,
/// age 3, and the state's own tag and length 3.
constexpr std::size_t StateBytes = 56;
/// Bytes of an item of weights besides the model's name: tags, length, version,
/// flag.
constexpr std::size_t WeightsBytes = 12;

/// Largest correction of the time at which other weights are loaded that is not
/// sent: less than the interval between an agent's two inspections.
constexpr Duration SwapTolerance = std::chrono::milliseconds(50);

bool isSwapMoved(const DatedReport &Before, const DatedReport &Now) {
  if (!Before.m_Report.m_SwapIn || !Now.m_Report.m_SwapIn)
    return Before.m_Report.m_SwapIn != Now.m_Report.m_SwapIn;
  const TimePoint Former = Before.m_AsOf + *Before.m_Report.m_SwapIn;
  const TimePoint Latter = Now.m_AsOf + *Now.m_Report.m_SwapIn;
  return std::max(Former, Latter) - std::min(Former, Latter) > SwapTolerance;
}

bool isUrgent(const InstanceReport &Before, const InstanceReport &Now) {
  return Before.m_TakesRequests != Now.m_TakesRequests ||
         Before.m_Weights != Now.m_Weights ||
         Before.m_Loading != Now.m_Loading || Before.m_Start != Now.m_Start ||
         Before.m_SwapIn.has_value() != Now.m_SwapIn.has_value();
}

} // namespace

std::size_t estimatedBytes(const SpreadState &State) {
  std::size_t Bytes = StateBytes + State.m_Address.size();
  for (const HeldWeights &Each : State.m_Report.m_Weights)
    Bytes += WeightsBytes + Each.m_Model.size();
  return Bytes;
}

std::size_t estimatedBytes(const StateBatch &Batch) {
  std::size_t Bytes = BatchBytes + Batch.m_Of.m_Text.size();
  for (const AgedState &Each : Batch.m_States)
    Bytes += estimatedBytes(Each.m_State);
  return Bytes;
}

bool isValid(const StateBatch &Batch) {
  const bool Fits =
      Batch.m_States.size() <= 1 || estimatedBytes(Batch) <= MaxBatchBytes;
  return Batch.m_Format == StateBatchFormat && Fits;
}

std::vector<StateBatch> inBatches(const DataCentreId &DataCentre,
                                  std::vector<AgedState> States) {
  std::vector<StateBatch> Out;
  std::size_t Bytes = MaxBatchBytes;
  for (AgedState &Each : States) {
    const std::size_t More = estimatedBytes(Each.m_State);
    if (Bytes + More > MaxBatchBytes) {
      Out.push_back({StateBatchFormat, DataCentre, {}});
      Bytes = estimatedBytes(Out.back());
    }
    Bytes += More;
    Out.back().m_States.push_back(std::move(Each));
  }
  return Out;
}

ReportChange changeOf(const DatedReport &Before, const DatedReport &Now) {
  if (isUrgent(Before.m_Report, Now.m_Report))
    return ReportChange::Urgent;
  const auto RestOf = [](const InstanceReport &Report) {
    return std::tuple(Report.m_Running, Report.m_Waiting,
                      Report.m_HasSoundLink);
  };
  const bool IsChanged = RestOf(Before.m_Report) != RestOf(Now.m_Report) ||
                         isSwapMoved(Before, Now);
  return IsChanged ? ReportChange::Plain : ReportChange::None;
}

} // namespace deckpitch
