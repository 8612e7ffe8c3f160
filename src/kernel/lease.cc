#include "deckpitch/lease.h"

namespace deckpitch {

LeaseAction LeaseWatch::onRead(const LeaseState &Now, TimePoint At) {
  const bool Moved = Now != m_Seen || m_SeenAt == TimePoint{};
  if (Moved) {
    m_Seen = Now;
    m_SeenAt = At;
  }
  if (Now.m_Holder == m_Self)
    return LeaseAction::Renew;
  m_RenewedAt.reset();
  if (Now.m_Holder.empty())
    return LeaseAction::Take;
  return At - m_SeenAt >= m_Lifetime ? LeaseAction::Take : LeaseAction::Wait;
}

void LeaseWatch::onWritten(Revision Written, TimePoint At) {
  m_Seen = {Written, m_Self};
  m_SeenAt = At;
  m_RenewedAt = At;
}

bool LeaseWatch::held(TimePoint At) const {
  return m_RenewedAt && At - *m_RenewedAt < m_Lifetime / 2;
}

} // namespace deckpitch
