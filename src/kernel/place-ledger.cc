#include "deckpitch/place-ledger.h"

#include <algorithm>

namespace deckpitch {

namespace {

/// From a promise until the request shows at the instance: the answer's way to
/// another region and the request's way back, on a new connection.
constexpr Duration ShowsAfter = std::chrono::milliseconds(12);

} // namespace

void PlaceLedger::reported(std::uint32_t Held, TimePoint Now) {
  m_Reported = Held;
  while (!m_Promised.empty() && Now - m_Promised.front() > ShowsAfter)
    m_Promised.pop_front();
  if (held() == 0)
    m_PassEnd = std::min(m_PassEnd, Now);
}

std::uint32_t PlaceLedger::held() const {
  return m_Reported + static_cast<std::uint32_t>(m_Promised.size());
}

/// Goes on to the pass that is under way now.
void PlaceLedger::advance(Duration WriteTime, TimePoint Now) {
  if (m_PassEnd <= Now && m_NextRead > Duration::zero()) {
    m_PassEnd += WriteTime + m_NextRead;
    m_NextRead = {};
    m_NextBy = TimePoint::max();
  }
  if (m_PassEnd > Now)
    return;
  // The pass it was kept for has ended, also where nothing was to be read in it
  // (no prompt): an old limit would refuse all later requests.
  m_NextBy = TimePoint::max();
  // Passes that only write, or none.
  const bool IsIdle = held() == 0 || WriteTime <= Duration::zero();
  m_PassEnd = IsIdle ? Now : Now + WriteTime - (Now - m_PassEnd) % WriteTime;
}

bool PlaceLedger::grant(const PlaceQuery &Query, TimePoint Now,
                        TimePoint Closes) {
  const double Slots = std::max(1U, Query.m_Slots);
  const double Queued = std::max(0.0, held() + 1 + Query.m_Reserve - Slots);
  if (Queued > MostQueuedShare * Slots)
    return false;
  advance(Query.m_WriteTime, Now);
  const Duration ForSlot(static_cast<Duration::rep>(
      Queued * static_cast<double>(Query.m_BetweenEnds.count())));
  const TimePoint Begin = std::max(m_PassEnd, Now + ForSlot);
  const Duration Read = m_NextRead + Query.m_ReadTime;
  const TimePoint By = std::min({m_NextBy, Now + Query.m_FirstWithin, Closes});
  if (Begin + Query.m_WriteTime + Read > By)
    return false;
  m_Promised.push_back(Now);
  m_NextRead = Read;
  m_NextBy = By;
  return true;
}

} // namespace deckpitch
