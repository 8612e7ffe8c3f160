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

bool ObservedRateLimit::note(const RateObservation &Answer) {
  const bool EndsLimit = m_Newest.m_PerSecond && !Answer.m_PerSecond;
  const TimePoint NotBefore = EndsLimit ? m_Newest.m_Answered : m_Newest.m_Sent;
  if (Answer.m_Sent < NotBefore)
    return false;
  const bool IsChange = Answer.m_PerSecond != m_Newest.m_PerSecond;
  m_Newest = Answer;
  m_WasLimited = m_WasLimited || Answer.m_PerSecond.has_value();
  return IsChange;
}

std::optional<RateObservation> ObservedRateLimit::newest() const {
  return m_WasLimited ? std::optional(m_Newest) : std::nullopt;
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

bool RateGrants::grant(const InstanceId &Id, double PerSecond, TimePoint Now) {
  const auto [At, IsNew] =
      m_Buckets.try_emplace(Id, Counted{RequestRateBucket(Now), Now});
  Counted &Known = At->second;
  Known.m_LastAsked = Now;
  Known.m_Bucket.setLimit(PerSecond, Now);
  if (!Known.m_Bucket.canTake(0, Now))
    return false;
  Known.m_Bucket.take();
  return true;
}

Duration RateGrants::timeUntilNext(const InstanceId &Id, TimePoint Now) {
  const auto Found = m_Buckets.find(Id);
  return Found == m_Buckets.end() ? Duration::zero()
                                  : Found->second.m_Bucket.timeUntilNext(Now);
}

void RateGrants::removeIdle(TimePoint Now) {
  std::erase_if(m_Buckets, [Now](const auto &Each) {
    return Now - Each.second.m_LastAsked > IdleLifetime;
  });
}

} // namespace deckpitch
