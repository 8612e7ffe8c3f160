#include "deckpitch/rate-limit.h"

namespace deckpitch {

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

} // namespace deckpitch
