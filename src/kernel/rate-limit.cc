#include "deckpitch/rate-limit.h"

#include <algorithm>
#include <chrono>

namespace deckpitch {

namespace {

/// Requests are granted at this rate also where an instance accepts fewer: only
/// an answer of its own shows that it accepts more again.
constexpr double MinPerSecond = 0.25;
/// Time whose requests may be sent at once. Two processes that take turns at
/// counting for an instance, each with one burst, stay within one and a half
/// times its limit, plus five requests, in four seconds.
constexpr double BurstSeconds = 1;
/// Time after which an instance that nobody asks for is forgotten.
constexpr Duration IdleLifetime = std::chrono::minutes(1);

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

const RateObservation &newerOf(const RateObservation &One,
                               const RateObservation &Other) {
  const bool OneLimits = One.m_PerSecond.has_value();
  const bool OtherLimits = Other.m_PerSecond.has_value();
  if (OneLimits && !OtherLimits)
    return Other.m_Sent >= One.m_Answered ? Other : One;
  if (OtherLimits && !OneLimits)
    return One.m_Sent >= Other.m_Answered ? One : Other;
  return Other.m_Sent >= One.m_Sent ? Other : One;
}

bool ObservedRateLimit::note(const RateObservation &Answer) {
  const std::optional<double> Before = perSecond();
  m_Own = m_Own ? newerOf(*m_Own, Answer) : Answer;
  m_WasLimited = m_WasLimited || Answer.m_PerSecond.has_value();
  return perSecond() != Before;
}

bool ObservedRateLimit::reported(const RateObservation &Newest) {
  const std::optional<double> Before = perSecond();
  m_Reported = Newest;
  m_WasLimited = true;
  return perSecond() != Before;
}

bool ObservedRateLimit::isFirstHand() const {
  return m_Own && (!m_Reported || &newerOf(*m_Reported, *m_Own) == &*m_Own);
}

std::optional<RateObservation> ObservedRateLimit::newest() const {
  if (!m_WasLimited)
    return std::nullopt;
  return isFirstHand() ? m_Own : m_Reported;
}

std::optional<double> ObservedRateLimit::perSecond() const {
  const std::optional<RateObservation> Newest = newest();
  return Newest ? Newest->m_PerSecond : std::nullopt;
}

double RequestRateBucket::burst() const {
  return 1 + BurstSeconds * m_PerSecond;
}

void RequestRateBucket::fill(TimePoint Now) {
  m_Tokens += m_PerSecond * secondsOf(Now - m_FilledAt);
  m_Tokens = std::min(m_Tokens, burst());
  m_FilledAt = Now;
}

void RequestRateBucket::setLimit(double PerSecond, TimePoint Now) {
  fill(Now);
  m_PerSecond = std::max(PerSecond, MinPerSecond);
}

bool RequestRateBucket::canTake(double ReservedShare, TimePoint Now) {
  fill(Now);
  const double Reserved = std::clamp(ReservedShare, 0.0, 1.0) * (burst() - 1);
  return m_Tokens >= 1 + Reserved;
}

Duration RequestRateBucket::timeUntilNext(TimePoint Now) {
  fill(Now);
  const double Missing = std::max(0.0, 1 - m_Tokens);
  if (Missing == 0)
    return {};
  const double Seconds = Missing / std::max(m_PerSecond, MinPerSecond);
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
}

bool CountedRateLimit::note(const RateLimitReport &Known, TimePoint Now) {
  if (m_Newest && !Known.m_IsFirstHand)
    return false;
  const std::optional<double> Before = perSecond();
  m_Newest = m_Newest ? newerOf(*m_Newest, Known.m_Newest) : Known.m_Newest;
  if (perSecond() == Before)
    return false;
  if (m_Newest->m_PerSecond)
    m_Bucket.setLimit(*m_Newest->m_PerSecond, Now);
  return true;
}

std::optional<double> CountedRateLimit::perSecond() const {
  return m_Newest ? m_Newest->m_PerSecond : std::nullopt;
}

bool CountedRateLimit::canTake(double ReservedShare, TimePoint Now) {
  return !perSecond() || m_Bucket.canTake(ReservedShare, Now);
}

void CountedRateLimit::take() {
  if (perSecond())
    m_Bucket.take();
}

Duration CountedRateLimit::timeUntilNext(TimePoint Now) {
  return perSecond() ? m_Bucket.timeUntilNext(Now) : Duration::zero();
}

void RateGrants::note(const RateLimitReport &Known, TimePoint Now) {
  const auto At = m_Limits.try_emplace(Known.m_Instance, Now).first;
  At->second.m_Limit.note(Known, Now);
}

void RateGrants::noteColdStart(const InstanceId &Id,
                               const ColdStartLimit &Known, TimePoint Now) {
  const auto At = m_Limits.try_emplace(Id, Now).first;
  At->second.m_ColdStart.note(Known, Now);
}

bool RateGrants::grant(const InstanceId &Id, TimePoint Now) {
  const auto Found = m_Limits.find(Id);
  if (Found == m_Limits.end())
    return false;
  Found->second.m_LastAsked = Now;
  CountedRateLimit &Limit = Found->second.m_Limit;
  ColdStartGrants &ColdStart = Found->second.m_ColdStart;
  if (!Limit.canTake(0, Now) || !ColdStart.canTake(Now))
    return false;
  Limit.take();
  ColdStart.take();
  return true;
}

std::optional<RateLimitReport> RateGrants::report(const InstanceId &Id,
                                                  TimePoint Now) {
  const auto Found = m_Limits.find(Id);
  if (Found == m_Limits.end())
    return std::nullopt;
  CountedRateLimit &Limit = Found->second.m_Limit;
  if (!Limit.newest())
    return std::nullopt;
  return RateLimitReport{Id, *Limit.newest(), true, Limit.timeUntilNext(Now)};
}

void RateGrants::removeIdle(TimePoint Now) {
  std::erase_if(m_Limits, [Now](const auto &Each) {
    return Now - Each.second.m_LastAsked > IdleLifetime;
  });
}

} // namespace deckpitch
