#include "deckpitch/stop-plan.h"

#include <algorithm>
#include <chrono>

namespace deckpitch {

namespace {

using std::chrono::milliseconds;

/// Callers that have just read the address of the entry use it for about this
/// long.
constexpr Duration MaxAcceptTime = milliseconds(2'500);
/// Share of the grace in which requests are accepted at most: the rest is left
/// for them to end.
constexpr int AcceptDivisor = 3;
/// Time that is left unused before the process is killed.
constexpr Duration MaxEndMargin = milliseconds(500);
/// Time to write the answers of the requests that are ended, also with a
/// quarter of a core.
constexpr Duration MaxAnswerMargin = milliseconds(300);
/// Share of the grace that each margin takes at most.
constexpr int MarginDivisor = 16;

} // namespace

StopPlan::StopPlan(TimePoint Begin, Duration Grace)
    : m_Begin(Begin),
      m_AcceptsUntil(Begin + std::min(MaxAcceptTime, Grace / AcceptDivisor)),
      m_End(Begin + Grace - std::min(MaxEndMargin, Grace / MarginDivisor)) {
  m_CutsAt = m_End - std::min(MaxAnswerMargin, Grace / MarginDivisor);
}

StopDecision StopPlan::onArrival(const StopSubject &Of, TimePoint Now) const {
  if (Now >= m_AcceptsUntil)
    return {};
  return onSend(Of, Now);
}

StopDecision StopPlan::onSend(const StopSubject &Of, TimePoint Now) const {
  if (Now >= m_CutsAt)
    return {};
  if (Of.m_Deadline <= m_CutsAt)
    return {StopAction::Serve, Of.m_Deadline};
  if (Of.m_IsRepeatable)
    return {StopAction::ServeWithin, m_CutsAt};
  return {};
}

} // namespace deckpitch
