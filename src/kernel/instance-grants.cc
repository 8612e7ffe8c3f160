#include "deckpitch/instance-grants.h"

#include <algorithm>

namespace deckpitch {

bool InstanceGrants::noteRateLimit(const RateLimitReport &Known,
                                   TimePoint Now) {
  if (Known.m_Instance != m_Limited) {
    const std::optional<RateObservation> &Newest = m_Limit.newest();
    // An entry whose list is older may still ask for the former incarnation.
    if (Newest && Known.m_Newest.m_Sent < Newest->m_Sent)
      return false;
    m_Limited = Known.m_Instance;
    m_Limit = CountedRateLimit(Now);
  }
  return m_Limit.note(Known, Now);
}

void InstanceGrants::noteColdStart(const InstanceId &Incarnation,
                                   const ColdStartLimit &Known, TimePoint Now) {
  if (Incarnation != m_Cold) {
    m_Cold = Incarnation;
    m_ColdStart = ColdStartGrants(Now);
  }
  m_ColdStart.note(Known, Now);
}

bool InstanceGrants::grant(const PlaceQuery &Query,
                           const InstanceId &Incarnation, TimePoint Now,
                           TimePoint Closes) {
  const bool IsLimited = Incarnation == m_Limited;
  // The share of the slots that is to be left to others is also left to them of
  // what the limit allows at once.
  const double ReservedShare = Query.m_Reserve / std::max(1U, Query.m_Slots);
  if (IsLimited && !m_Limit.canTake(ReservedShare, Now))
    return false;
  const bool IsCold = Incarnation == m_Cold && m_ColdStart.isCold(Now);
  if (IsCold && !m_ColdStart.canTake(Now))
    return false;
  if (!m_Slots.grant(Query, Now, Closes))
    return false;
  if (IsCold)
    m_ColdStart.take();
  if (IsLimited)
    m_Limit.take();
  return true;
}

std::optional<RateLimitReport> InstanceGrants::rateLimit(TimePoint Now) {
  if (!m_Limit.newest())
    return std::nullopt;
  return RateLimitReport{m_Limited, *m_Limit.newest(), true,
                         m_Limit.timeUntilNext(Now)};
}

} // namespace deckpitch
