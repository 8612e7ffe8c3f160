// Describes what a stuck copy waits for, for the log.
#include "deckpitch/swarm.h"

#include <algorithm>

namespace deckpitch {

CopyWait Swarm::waitsFor(TimePoint Now) const {
  CopyWait Out;
  Out.m_Missing = m_Here.size() - m_Here.count();
  while (m_Here.contains(Out.m_Chunk))
    ++Out.m_Chunk;
  Out.m_Reading = static_cast<std::uint32_t>(m_Reading.size());
  Out.m_OriginBackOff = std::max(m_OriginBackOffUntil - Now, Duration::zero());
  Out.m_SinceLastChunk = Now - m_LastChunkAt;
  for (const auto &[Number, Each] : m_Peers) {
    const bool IsHolder = Each.m_Has.contains(Out.m_Chunk);
    ++(Each.m_IsLocal ? Out.m_LocalPeers : Out.m_RemotePeers);
    (Each.m_IsLocal ? Out.m_LocalHolders : Out.m_RemoteHolders) += IsHolder;
    for (const Transfer &Open : Each.m_Expected) {
      ++Out.m_Asked;
      if (Now - Open.m_Asked < Out.m_OldestRequestAge)
        continue;
      Out.m_OldestRequestAge = Now - Open.m_Asked;
      Out.m_OldestRequestPeer = Each.m_Id;
    }
  }
  return Out;
}

} // namespace deckpitch
