// What an instance accepts from all entries together: its rate limit, and less
// while it is cold.
#include "deckpitch/instance-table.h"

#include <algorithm>
#include <utility>

namespace deckpitch {

bool InstanceTable::rateObserved(const InstanceId &Id,
                                 const RateObservation &Answer) {
  const auto Found = m_Instances.find(Id);
  return Found != m_Instances.end() && Found->second.m_RateLimit.note(Answer);
}

void InstanceTable::rateReported(const RateLimitReport &Report, TimePoint Now) {
  const auto Found = m_Instances.find(Report.m_Instance);
  if (Found == m_Instances.end())
    return;
  Instance &Known = Found->second;
  Known.m_NextGrant = Now + Report.m_NextIn;
  if (Known.m_RateLimit.reported(Report.m_Newest))
    m_ReportedLimits.push_back({Report.m_Instance, Report.m_Newest.m_PerSecond,
                                Now - Report.m_Newest.m_Sent, Report.m_NextIn});
}

bool InstanceTable::isRateLimited(const InstanceId &Id, TimePoint Now) const {
  const auto Found = m_Instances.find(Id);
  return Found != m_Instances.end() && (Found->second.m_RateLimit.perSecond() ||
                                        coldStartOf(Found->second, Now));
}

std::optional<ColdStartLimit> InstanceTable::coldStartOf(const Instance &Each,
                                                         TimePoint Now) const {
  if (!m_ColdStartBound || Each.m_ColdUntil <= Now)
    return std::nullopt;
  const auto Service = m_Services.find(Each.m_Listed.m_Service);
  const double PerSecond =
      Service == m_Services.end() ? 0 : Service->second.m_ColdPerSecond;
  if (PerSecond <= 0)
    return std::nullopt;
  return limitFor(PerSecond, *m_ColdStartBound, Each.m_ColdUntil - Now);
}

std::size_t InstanceTable::coldCount(TimePoint Now) const {
  return static_cast<std::size_t>(std::count_if(
      m_Instances.begin(), m_Instances.end(), [&](const auto &Each) {
        return coldStartOf(Each.second, Now).has_value();
      }));
}

bool InstanceTable::awaitsGrant(const Instance &Each, TimePoint Now) {
  return Each.m_RateLimit.perSecond() && Each.m_NextGrant > Now;
}

bool InstanceTable::isAtRateLimit(const InstanceId &Id, TimePoint Now) const {
  const auto Found = m_Instances.find(Id);
  return Found != m_Instances.end() && awaitsGrant(Found->second, Now);
}

std::vector<LimitedInstance> InstanceTable::takeReportedLimits() {
  return std::exchange(m_ReportedLimits, {});
}

std::vector<LimitedInstance>
InstanceTable::limitedInstances(TimePoint Now) const {
  std::vector<LimitedInstance> Out;
  for (const auto &[Id, Each] : m_Instances) {
    const std::optional<RateObservation> Newest = Each.m_RateLimit.newest();
    if (Newest && Newest->m_PerSecond)
      Out.push_back({Id, Newest->m_PerSecond, Now - Newest->m_Sent,
                     std::max(Each.m_NextGrant - Now, Duration::zero())});
  }
  return Out;
}

} // namespace deckpitch
