// What the planned stop of an entry means for its requests.
#include "direct/entry-call.h"

#include "daemon/clock.h"

namespace deckpitch::direct {

using daemon::now;

/// Whether a request with this head is refused because of the stop, whenever it
/// has been received.
bool EntryRequests::isRefusedByStop(const StopSubject &Of,
                                    TimePoint Now) const {
  return m_Stop && m_Stop->onArrival(Of, Now).m_Action == StopAction::Refuse;
}

StopSubject EntryRequests::stopSubjectOf(const Call &C) {
  return {C.m_Deadline, C.isRepeatable()};
}

/// Applies the deadline of the decision. False if the request must not be sent.
bool EntryRequests::applyStop(Call &C, const StopDecision &Decision) {
  if (Decision.m_Action == StopAction::Refuse)
    return false;
  C.m_IsCutShort =
      C.m_IsCutShort || Decision.m_Action == StopAction::ServeWithin;
  C.m_Deadline = Decision.m_Deadline;
  return true;
}

/// Whether a request that has been received is served.
bool EntryRequests::admitDuringStop(Call &C) {
  if (!m_Stop)
    return true;
  const StopDecision Decision = m_Stop->onArrival(stopSubjectOf(C), now());
  switch (Decision.m_Action) {
  case StopAction::Serve:
    ++m_StopCounts.m_Served;
    break;
  case StopAction::ServeWithin:
    ++m_StopCounts.m_ServedWithin;
    break;
  case StopAction::Refuse:
    ++m_StopCounts.m_Refused;
    break;
  }
  return applyStop(C, Decision);
}

/// Whether a request may be sent now; it may have arrived before the stop.
bool EntryRequests::maySendDuringStop(Call &C) {
  if (!m_Stop || C.m_IsEnded)
    return !C.m_IsEnded;
  const bool MaySend = applyStop(C, m_Stop->onSend(stopSubjectOf(C), now()));
  if (!MaySend)
    ++m_StopCounts.m_Refused;
  return MaySend;
}

void EntryRequests::endAll() {
  for (const auto &[Number, Each] : m_InProgress->m_ById) {
    Each->m_IsEnded = true;
    Each->m_IsCutShort = true;
    if (Each->m_Handover)
      Each->m_Handover->m_Cancel.cancel();
    Each->abort();
  }
}

} // namespace deckpitch::direct
