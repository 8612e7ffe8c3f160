#include "deckpitch/slot-ledger.h"

#include <algorithm>

namespace deckpitch {

namespace {

/// Time from a grant until the request shows at the instance: the answer's
/// delay to another region and the request's way back, on a new connection.
constexpr Duration ReportDelay = std::chrono::milliseconds(12);

} // namespace

void SlotLedger::reported(std::uint32_t Held, TimePoint Now) {
  m_Reported = Held;
  while (!m_PendingGrants.empty() &&
         Now - m_PendingGrants.front() > ReportDelay)
    m_PendingGrants.pop_front();
  if (held() == 0)
    m_PassEnd = std::min(m_PassEnd, Now);
}

std::uint32_t SlotLedger::held() const {
  return m_Reported + static_cast<std::uint32_t>(m_PendingGrants.size());
}

/// Advances the state to the pass that is current at Now.
void SlotLedger::advance(Duration WriteTime, TimePoint Now) {
  if (m_PassEnd <= Now && m_NextReadTime > Duration::zero()) {
    m_PassEnd += WriteTime + m_NextReadTime;
    m_NextReadTime = {};
    m_NextDeadline = TimePoint::max();
  }
  if (m_PassEnd > Now)
    return;
  // The pass that the limit was for has ended, also if it had no prompt to
  // prefill: an outdated limit would refuse all later requests.
  m_NextDeadline = TimePoint::max();
  // Passes since then only decoded, or there were none.
  const bool IsIdle = held() == 0 || WriteTime <= Duration::zero();
  m_PassEnd = IsIdle ? Now : Now + WriteTime - (Now - m_PassEnd) % WriteTime;
}

bool SlotLedger::grant(const PlaceQuery &Query, TimePoint Now,
                       TimePoint Closes) {
  const double Slots = std::max(1U, Query.m_Slots);
  const double Queued = std::max(0.0, held() + 1 + Query.m_Reserve - Slots);
  if (Queued > MaxQueuedShare * Slots)
    return false;
  advance(Query.m_WriteTime, Now);
  const Duration ForSlot(static_cast<Duration::rep>(
      Queued * static_cast<double>(Query.m_CompletionInterval.count())));
  const TimePoint Begin = std::max(m_PassEnd, Now + ForSlot);
  const Duration Read = m_NextReadTime + Query.m_ReadTime;
  const TimePoint By =
      std::min({m_NextDeadline, Now + Query.m_FirstWithin, Closes});
  if (Begin + Query.m_WriteTime + Read > By)
    return false;
  m_PendingGrants.push_back(Now);
  m_NextReadTime = Read;
  m_NextDeadline = By;
  return true;
}

} // namespace deckpitch
