#include "direct/entry-rate-limits.h"

#include "direct/rate-limit-log.h"
#include "direct/slot-client.h"
#include "net/log.h"
#include "net/metrics.h"

#include <chrono>
#include <cstdint>
#include <utility>

namespace deckpitch::direct {

namespace {

std::int64_t msOf(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

net::Counter &grants(bool IsGranted) {
  return net::metrics().counter(
      "deckpitch_rate_grants_total",
      {{"outcome", IsGranted ? "granted" : "refused"}});
}

} // namespace

SlotReply EntryRateLimits::decide(const SlotQuestion &Question, TimePoint Now) {
  const InstanceId &Id = Question.m_Instance;
  SlotReply Out;
  // Its agent counts then, also for those that it does not reach at the moment.
  if (m_Instances.hasFreshReport(Id, Now))
    return Out;
  if (Question.m_RateLimit)
    m_Grants.note(*Question.m_RateLimit, Now);
  if (Question.m_ColdStart)
    m_Grants.noteColdStart(Id, *Question.m_ColdStart, Now);
  Out.m_IsGranted = m_Grants.grant(Id, Now);
  grants(Out.m_IsGranted).add();
  Out.m_RateLimit = m_Grants.report(Id, Now);
  if (Out.m_RateLimit)
    m_Instances.rateReported(*Out.m_RateLimit, Now);
  return Out;
}

wire::PlaceAnswer EntryRateLimits::answer(const wire::PlaceQuery &Query,
                                          TimePoint Now) {
  SlotQuestion Question;
  Question.m_Instance = {Query.instance()};
  Question.m_Grantor = SlotGrantor::Entry;
  if (Query.has_rate_limit())
    Question.m_RateLimit = read(Query.rate_limit(), Now);
  if (Query.has_cold())
    Question.m_ColdStart = read(Query.cold());
  const SlotReply Reply = decide(Question, Now);
  wire::PlaceAnswer Out;
  Out.set_id(Query.id());
  Out.set_is_granted(Reply.m_IsGranted);
  if (Reply.m_RateLimit)
    write(*Reply.m_RateLimit, Now, *Out.mutable_state()->mutable_rate_limit());
  return Out;
}

void EntryRateLimits::update(TimePoint Now) {
  for (const LimitedInstance &Each : m_Instances.takeReportedLimits())
    logRateLimit(Each.m_Id, Each.m_PerSecond, "report", Each.m_Age, "");
  m_Grants.removeIdle(Now);
  net::metrics()
      .gauge("deckpitch_rate_limited_instances")
      .set(static_cast<std::int64_t>(m_Instances.limitedInstances(Now).size()));
  net::metrics()
      .gauge("deckpitch_cold_instances")
      .set(static_cast<std::int64_t>(m_Instances.coldCount(Now)));
}

boost::json::array EntryRateLimits::dump(TimePoint Now) const {
  boost::json::array Out;
  for (const LimitedInstance &Each : m_Instances.limitedInstances(Now))
    Out.push_back({{"instance", Each.m_Id.m_Text},
                   {"perSecond", Each.m_PerSecond.value_or(0)},
                   {"ageMs", msOf(Each.m_Age)},
                   {"nextInMs", msOf(Each.m_NextIn)}});
  return Out;
}

} // namespace deckpitch::direct
