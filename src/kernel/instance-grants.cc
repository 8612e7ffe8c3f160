#include "deckpitch/instance-grants.h"

#include <algorithm>

namespace deckpitch {

bool InstanceGrants::noteRateLimit(const InstanceId &Incarnation,
                                   const RateObservation &Newest,
                                   TimePoint Now) {
  if (Incarnation != m_Limited) {
    const std::optional<RateObservation> Known = m_Limit.newest();
    // An entry whose list is older may still ask for the former incarnation.
    if (Known && Newest.m_Sent < Known->m_Sent)
      return false;
    m_Limited = Incarnation;
    m_Limit = {};
    m_Rate = RequestRateBucket(Now);
  }
  const bool IsChange = m_Limit.note(Newest);
  if (IsChange && Newest.m_PerSecond)
    m_Rate.setLimit(*Newest.m_PerSecond, Now);
  return IsChange;
}

bool InstanceGrants::grant(const PlaceQuery &Query,
                           const InstanceId &Incarnation, TimePoint Now,
                           TimePoint Closes) {
  const bool IsLimited = m_Limit.perSecond() && Incarnation == m_Limited;
  // The share of the slots that is to be left to others is also left to them of
  // what the limit allows at once.
  const double ReservedShare = Query.m_Reserve / std::max(1U, Query.m_Slots);
  if (IsLimited && !m_Rate.canTake(ReservedShare, Now))
    return false;
  if (!m_Slots.grant(Query, Now, Closes))
    return false;
  if (IsLimited)
    m_Rate.take();
  return true;
}

std::optional<RateLimitReport> InstanceGrants::rateLimit(TimePoint Now) {
  const std::optional<RateObservation> Newest = m_Limit.newest();
  if (!Newest)
    return std::nullopt;
  return RateLimitReport{m_Limited, *Newest, m_Rate.timeUntilNext(Now)};
}

} // namespace deckpitch
