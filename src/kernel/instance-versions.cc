// Which weights an instance serves, and until when requests may begin on them.
#include "deckpitch/instance-table.h"
#include "deckpitch/weights-plan.h"

#include <algorithm>

namespace deckpitch {

namespace {

/// Time by which a stream may run past the start of the swap to other weights.
/// The swap waits for it, and nothing else may begin there meanwhile.
constexpr Duration SwapOverrun = std::chrono::milliseconds(250);

} // namespace

/// Returns the estimated time until a request that is sent now begins there.
Duration InstanceTable::timeUntilBegin(const Instance &Each,
                                       TimePoint Now) const {
  const EngineProfile *Engine = engineOf(Each.m_Listed.m_Service);
  return Engine ? expectedStartDelay(*Engine, loadOf(Each, Now))
                : Duration::zero();
}

bool InstanceTable::serves(const Instance &Each, const ChoiceQuery &Query,
                           TimePoint Now) const {
  const std::string &Model = Query.m_Model;
  const auto Wanted = m_Wanted.find(Model);
  const bool IsFresh = isFresh(Each, Now);
  // The agent knows its own instance's link, but no process knows the link
  // between data centres, which weights may fill: requests arrived there 1.3 s
  // after they were sent.
  const bool IsSound = IsFresh && Each.m_HasSoundLink && isLocal(Each);
  const Duration Grace =
      m_VersionBound - versionMargin(IsSound) - timeUntilBegin(Each, Now);
  return std::any_of(
      Each.m_Weights.begin(), Each.m_Weights.end(),
      [&](const HeldWeights &Held) {
        if (Held.m_Model != Model || !Held.m_IsComplete)
          return false;
        if (Query.m_Version != 0 && Held.m_Version != Query.m_Version)
          return false;
        const auto Behind = Wanted == m_Wanted.end()
                                ? std::nullopt
                                : Wanted->second.behindSince(Held.m_Version);
        return !Behind || Now - *Behind < Grace;
      });
}

std::optional<TimePoint>
InstanceTable::latestBegin(const InstanceId &Id,
                           const std::string &Model) const {
  const auto Found = m_Instances.find(Id);
  const auto Wanted = m_Wanted.find(Model);
  if (Found == m_Instances.end() || Wanted == m_Wanted.end())
    return std::nullopt;
  const Instance &Each = Found->second;
  std::uint64_t Begins = Each.m_Loading;
  for (const HeldWeights &Held : Each.m_Weights)
    if (Held.m_Model == Model && Held.m_IsComplete)
      Begins = std::max(Begins, Held.m_Version);
  const auto Behind = Wanted->second.behindSince(Begins);
  if (!Behind)
    return std::nullopt;
  return *Behind + m_VersionBound;
}

/// Returns whether the request would end before the instance loads other
/// weights, or overrun by less than SwapOverrun.
bool InstanceTable::endsBeforeSwap(const Instance &Each,
                                   const ChoiceQuery &Query,
                                   TimePoint Now) const {
  const EngineProfile *Engine = engineOf(Each.m_Listed.m_Service);
  if (!Each.m_SwapAt || !Engine)
    return true;
  return Now + streamTime(*Engine, Query.m_Size) < *Each.m_SwapAt + SwapOverrun;
}

std::uint64_t InstanceTable::versionAt(const InstanceId &Id,
                                       const std::string &Model) const {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end())
    return 0;
  for (const HeldWeights &Each : Found->second.m_Weights)
    if (Each.m_Model == Model && Each.m_IsComplete)
      return Each.m_Version;
  return 0;
}

std::vector<InstanceId> InstanceTable::swappingFor(Duration Length,
                                                   TimePoint Now) const {
  std::vector<InstanceId> Out;
  for (const auto &[Id, Each] : m_Instances)
    if (Each.m_Own > 0 && !Each.m_TakesRequests &&
        Now - Each.m_ClosedAt > Length)
      Out.push_back(Id);
  return Out;
}

} // namespace deckpitch
