#include "deckpitch/send-record.h"

#include <cassert>

namespace deckpitch {

void SendRecord::begin() {
  ++m_Sends;
  ++m_Runs;
}

void SendRecord::endUnsent() {
  assert(m_Runs > 0);
  --m_Sends;
  --m_Runs;
}

void SendRecord::endRejected() {
  assert(m_Runs > 0);
  --m_Runs;
}

std::optional<NotRunProof> SendRecord::proofOfNotRun() const {
  if (m_Runs > 0)
    return std::nullopt;
  return NotRunProof();
}

} // namespace deckpitch
