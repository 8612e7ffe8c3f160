#include "deckpitch/swarm.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace deckpitch {

namespace {

constexpr std::uint32_t FailuresUntilLongQuarantine = 2;
constexpr int HedgeDelayFactor = 3; ///< multiple of the average chunk time
constexpr Duration MinHedgeDelay = std::chrono::milliseconds(200);
/// Moving averages weigh a new value with 1/AverageDivisor.
constexpr int AverageDivisor = 8;
/// Initial limit, while nothing is known of the link: the full number of chunks
/// delayed inference requests by 3 s on a link of 1.2 Mbit/s.
constexpr double InitialRequestLimit = 2;
/// Growth per chunk that arrived in time: ten of them allow one more request.
constexpr double RequestLimitGrowth = 0.1;
/// Growth per chunk that arrived in 1/FastDivisor of the target time.
constexpr double FastRequestLimitGrowth = 1;
constexpr int FastDivisor = 4;

/// Hashes a number with a salt, so that each choice breaks ties differently.
std::uint32_t scatter(std::uint32_t Value, std::uint32_t Salt) {
  std::uint32_t Mixed = (Value ^ Salt) * 0x9e3779b1U;
  Mixed ^= Mixed >> 15;
  return Mixed * 0x85ebca77U;
}

} // namespace

Swarm::Swarm(InstanceId Self, DataCentreId DataCentre, std::uint32_t Chunks,
             SwarmOptions Options, std::uint64_t Seed)
    : m_Self(std::move(Self)), m_DataCentre(std::move(DataCentre)),
      m_Options(Options), m_Random(static_cast<std::uint32_t>(Seed | 1)),
      m_Here(Chunks), m_Unstaged(Chunks), m_Taken(Chunks), m_Seen(Chunks),
      m_Copies(Chunks), m_Rank(Chunks), m_SeenSince(Chunks), m_DueAt(Chunks),
      m_Unheld(Chunks), m_RequestLimit(Options.m_Expected) {
  if (Options.m_TargetChunkTime != Duration::zero())
    m_RequestLimit = std::min(m_RequestLimit, InitialRequestLimit);
}

Swarm::Peer *Swarm::find(PeerNumber Number) {
  const auto Found = m_Peers.find(Number);
  return Found == m_Peers.end() ? nullptr : &Found->second;
}

Swarm::Peer *Swarm::findAndTouch(PeerNumber Number, TimePoint Now) {
  Peer *From = find(Number);
  if (From)
    From->m_LastActivity = Now;
  return From;
}

bool Swarm::expects(PeerNumber Number, std::uint32_t Chunk) const {
  const auto Found = m_Peers.find(Number);
  if (Found == m_Peers.end())
    return false;
  const auto &List = Found->second.m_Expected;
  return std::any_of(List.begin(), List.end(), [&](const Transfer &Each) {
    return Each.m_Chunk == Chunk;
  });
}

bool Swarm::isQuarantined(const InstanceId &Id, TimePoint Now) const {
  const auto Found = m_Failures.find(Id);
  return Found != m_Failures.end() && Now < Found->second.m_Until;
}

SwarmActions Swarm::addStaged(std::uint32_t Chunk, TimePoint Now) {
  if (m_Here.contains(Chunk))
    return {};
  insertHere(Chunk, Now);
  // Peers that connected while staging was read have not been told of it.
  if (m_Peers.empty())
    return {};
  m_LastAnnounced = Now;
  return {SendHave{{Chunk}, std::exchange(m_UnannouncedSeen, {})}};
}

SwarmActions Swarm::onPeerJoined(PeerNumber Number, InstanceId Id,
                                 DataCentreId DataCentre, ChunkSet Has,
                                 const ChunkSet &Seen, TimePoint Now) {
  SwarmActions Out;
  if (isQuarantined(Id, Now)) {
    Out.push_back(DropPeer{Number, m_Failures.at(Id).m_Until});
    return Out;
  }
  forget(Number);
  Peer &Added = m_Peers[Number];
  Added.m_Id = std::move(Id);
  Added.m_IsLocal = DataCentre == m_DataCentre;
  Added.m_DataCentre = std::move(DataCentre);
  Added.m_LastActivity = Now;
  Added.m_Has = ChunkSet(m_Here.size());
  Added.m_Useful = m_Here.count();
  Has.forEach([&](std::uint32_t Chunk) { markHas(Added, Chunk, Now); });
  Seen.forEach([&](std::uint32_t Chunk) { markSeen(Chunk, Now); });
  grant(Out, Now);
  return Out;
}

void Swarm::forget(PeerNumber Number) {
  Peer *Gone = find(Number);
  if (!Gone)
    return;
  Gone->m_Has.forEach([&](std::uint32_t Chunk) {
    --m_Copies[Chunk];
    --m_CopiesIn[Gone->m_DataCentre][Chunk];
  });
  const std::vector<Transfer> Lost = std::move(Gone->m_Expected);
  m_Peers.erase(Number);
  for (const Transfer &Each : Lost)
    release(Each.m_Chunk);
}

void Swarm::drop(PeerNumber Number, TimePoint Until, SwarmActions &Out) {
  forget(Number);
  Out.push_back(DropPeer{Number, Until});
}

SwarmActions Swarm::onPeerGone(PeerNumber Number, TimePoint Now) {
  SwarmActions Out;
  forget(Number);
  grant(Out, Now);
  return Out;
}

void Swarm::onPeerRestarted(const InstanceId &Id) {
  const auto Found = m_Failures.find(Id);
  if (Found != m_Failures.end() && Found->second.m_Count == 0)
    m_Failures.erase(Found);
}

void Swarm::markHas(Peer &Holder, std::uint32_t Chunk, TimePoint Now) {
  markSeen(Chunk, Now);
  if (!Holder.m_Has.insert(Chunk))
    return;
  ++m_Copies[Chunk];
  auto &Copies = m_CopiesIn[Holder.m_DataCentre];
  Copies.resize(m_Here.size());
  ++Copies[Chunk];
  if (m_Here.contains(Chunk))
    --Holder.m_Useful;
}

void Swarm::markSeen(std::uint32_t Chunk, TimePoint Now) {
  if (!m_Seen.insert(Chunk))
    return;
  m_SeenSince[Chunk] = Now;
  m_UnannouncedSeen.push_back(Chunk);
  if (Chunk < m_DueCount) {
    const Duration Took = Now - m_DueAt[Chunk];
    m_SeenDelay += (Took - m_SeenDelay) / AverageDivisor;
  }
}

void Swarm::insertHere(std::uint32_t Chunk, TimePoint Now) {
  if (!m_Here.insert(Chunk))
    return;
  markSeen(Chunk, Now);
  for (auto &[Number, Each] : m_Peers)
    Each.m_Useful += !Each.m_Has.contains(Chunk);
}

SwarmActions Swarm::onHave(PeerNumber Number,
                           const std::vector<std::uint32_t> &Here,
                           const std::vector<std::uint32_t> &Seen,
                           TimePoint Now) {
  SwarmActions Out;
  Peer *From = findAndTouch(Number, Now);
  if (!From)
    return Out;
  for (std::uint32_t Chunk : Here)
    markHas(*From, Chunk, Now);
  for (std::uint32_t Chunk : Seen)
    markSeen(Chunk, Now);
  if (!Here.empty())
    From->m_NoGrantUntil = Now;
  grant(Out, Now);
  return Out;
}

std::uint32_t Swarm::uploads() const {
  std::uint32_t Count = 0;
  for (const auto &[Number, Each] : m_Peers)
    Count += static_cast<std::uint32_t>(Each.m_Sending.size()) +
             Each.m_Granted.has_value();
  return Count;
}

std::uint32_t Swarm::copiesIn(const DataCentreId &DataCentre,
                              std::uint32_t Chunk) const {
  const auto Found = m_CopiesIn.find(DataCentre);
  return Found == m_CopiesIn.end() ? 0 : Found->second[Chunk];
}

/// Whether the peer is likely to accept a chunk held here. A remote peer
/// declines chunks that it does not import, and a declined grant leaves the
/// link idle for a round trip.
bool Swarm::isUsefulTo(const Peer &To, TimePoint Now) const {
  if (To.m_Useful == 0 || To.m_IsLocal || m_Importers.empty())
    return To.m_Useful > 0;
  for (std::uint32_t Chunk = 0; Chunk < m_Here.size(); ++Chunk)
    if (m_Here.contains(Chunk) && !To.m_Has.contains(Chunk) &&
        copiesIn(To.m_DataCentre, Chunk) == 0 &&
        mayImport(To.m_Id, To.m_DataCentre, Chunk, Now))
      return true;
  return false;
}

Swarm::Peer *Swarm::selectGrantee(TimePoint Now, PeerNumber &Number) {
  Peer *Best = nullptr;
  std::pair<std::size_t, std::uint64_t> Least{};
  const auto Salt = static_cast<std::uint32_t>(m_Random());
  for (auto &[Candidate, Each] : m_Peers) {
    if (Each.m_Granted || Now < Each.m_NoGrantUntil || !isUsefulTo(Each, Now))
      continue;
    const std::uint64_t Order =
        std::uint64_t{Each.m_Has.count()} << 32 | scatter(Candidate, Salt);
    const std::pair Key{Each.m_Sending.size(), Order};
    if (Best && Key >= Least)
      continue;
    Best = &Each;
    Least = Key;
    Number = Candidate;
  }
  return Best;
}

void Swarm::grant(SwarmActions &Out, TimePoint Now) {
  for (std::uint32_t Busy = uploads(); Busy < m_Options.m_Uploads; ++Busy) {
    PeerNumber Number = 0;
    Peer *To = selectGrantee(Now, Number);
    if (!To)
      return;
    To->m_Granted = Now;
    Out.push_back(SendGrant{Number});
  }
}

bool Swarm::mayRequest() const {
  const std::uint32_t Unstaged = m_Unstaged.count();
  const auto Reading = static_cast<std::uint32_t>(m_Reading.size());
  const std::uint32_t Expected = m_Taken.count() - Unstaged - Reading;
  return Expected < static_cast<std::uint32_t>(m_RequestLimit) &&
         Unstaged < m_Options.m_Unstaged;
}

/// Shrinks the limit in proportion to the excess time and grows it slowly.
void Swarm::adaptRequestLimit(Duration ChunkTook) {
  const Duration Target = m_Options.m_TargetChunkTime;
  if (Target == Duration::zero())
    return;
  const double Most = m_Options.m_Expected;
  if (ChunkTook > Target)
    m_RequestLimit *= static_cast<double>(Target.count()) /
                      static_cast<double>(ChunkTook.count());
  else
    m_RequestLimit += ChunkTook < Target / FastDivisor ? FastRequestLimitGrowth
                                                       : RequestLimitGrowth;
  m_RequestLimit = std::clamp(m_RequestLimit, 1.0, Most);
}

LinkQuality Swarm::linkQuality() const {
  if (m_ChunkTime == Duration::zero())
    return LinkQuality::Unknown;
  if (m_RequestLimit * 2 >= m_Options.m_Expected)
    return LinkQuality::Sound;
  return m_RequestLimit < InitialRequestLimit ? LinkQuality::Slow
                                              : LinkQuality::Unknown;
}

std::optional<std::uint32_t> Swarm::choose(const Peer &From, TimePoint Now) {
  const bool AcceptsAny = From.m_IsLocal || starved(Now);
  const auto Salt = static_cast<std::uint32_t>(m_Random());
  std::uint64_t Least = std::numeric_limits<std::uint64_t>::max();
  std::optional<std::uint32_t> Best;
  From.m_Has.forEachNotIn(m_Here, m_Taken, [&](std::uint32_t Chunk) {
    if (!AcceptsAny && (copiesIn(m_DataCentre, Chunk) > 0 ||
                        !mayImport(m_Self, m_DataCentre, Chunk, Now)))
      return;
    const std::uint64_t Order =
        std::uint64_t{m_Copies[Chunk]} << 32 | scatter(Chunk, Salt);
    if (Order >= Least)
      return;
    Least = Order;
    Best = Chunk;
  });
  return Best;
}

/// Chooses a chunk that another peer is unusually slow to send.
std::optional<std::uint32_t> Swarm::chooseHedge(const Peer &From,
                                                TimePoint Now) const {
  const auto Budget = static_cast<std::uint64_t>(
      1 + m_Options.m_HedgeShare * static_cast<double>(m_Here.size()));
  if (m_Counters.m_Hedges >= Budget)
    return std::nullopt;
  const Duration Timeout =
      std::max(MinHedgeDelay, HedgeDelayFactor * m_ChunkTime);
  for (const auto &[Number, Each] : m_Peers)
    for (const Transfer &Delayed : Each.m_Expected)
      if (&Each != &From && From.m_Has.contains(Delayed.m_Chunk) &&
          wants(Delayed.m_Chunk) && Now - Delayed.m_Asked > Timeout)
        return Delayed.m_Chunk;
  return std::nullopt;
}

SwarmActions Swarm::onGrant(PeerNumber Number, TimePoint Now) {
  SwarmActions Out;
  Peer *From = findAndTouch(Number, Now);
  if (!From)
    return Out;
  std::optional<std::uint32_t> Chosen;
  if (mayRequest())
    Chosen = choose(*From, Now);
  if (!Chosen && mayRequest() && !complete()) {
    Chosen = chooseHedge(*From, Now);
    m_Counters.m_Hedges += Chosen.has_value();
  }
  if (!Chosen) {
    Out.push_back(SendDecline{Number});
    return Out;
  }
  From->m_Expected.push_back({*Chosen, Now, Now});
  m_Taken.insert(*Chosen);
  Out.push_back(SendRequest{Number, *Chosen});
  return Out;
}

SwarmActions Swarm::onDecline(PeerNumber Number, TimePoint Now) {
  SwarmActions Out;
  Peer *From = findAndTouch(Number, Now);
  if (!From)
    return Out;
  From->m_Granted.reset();
  From->m_NoGrantUntil = Now + m_Options.m_DeclineBackOff;
  grant(Out, Now);
  return Out;
}

SwarmActions Swarm::onRequest(PeerNumber Number, std::uint32_t Chunk,
                              TimePoint Now) {
  SwarmActions Out;
  Peer *From = findAndTouch(Number, Now);
  if (!From)
    return Out;
  const bool Granted = From->m_Granted.has_value();
  From->m_Granted.reset();
  if (!Granted || !m_Here.contains(Chunk)) {
    Out.push_back(SendRefusal{Number, Chunk});
    grant(Out, Now);
    return Out;
  }
  From->m_Sending.push_back(Chunk);
  markHas(*From, Chunk, Now);
  Out.push_back(SendChunk{Number, Chunk});
  return Out;
}

SwarmActions Swarm::onSent(PeerNumber Number, std::uint32_t Chunk,
                           TimePoint Now) {
  SwarmActions Out;
  if (Peer *To = find(Number))
    std::erase(To->m_Sending, Chunk);
  grant(Out, Now);
  return Out;
}

void Swarm::release(std::uint32_t Chunk) {
  if (m_Unstaged.contains(Chunk) || m_Reading.contains(Chunk))
    return;
  for (const auto &[Number, Each] : m_Peers)
    if (expects(Number, Chunk))
      return;
  m_Taken.erase(Chunk);
}

SwarmActions Swarm::onRefusal(PeerNumber Number, std::uint32_t Chunk,
                              TimePoint Now) {
  Peer *From = findAndTouch(Number, Now);
  if (!From)
    return {};
  std::erase_if(From->m_Expected,
                [&](const Transfer &Each) { return Each.m_Chunk == Chunk; });
  release(Chunk);
  return {};
}

void Swarm::onProgress(PeerNumber Number, std::uint32_t Chunk, TimePoint Now) {
  Peer *From = findAndTouch(Number, Now);
  if (!From)
    return;
  for (Transfer &Each : From->m_Expected)
    if (Each.m_Chunk == Chunk)
      Each.m_Progress = m_LastPeerProgress = Now;
}

SwarmActions Swarm::onArrived(PeerNumber Number, std::uint32_t Chunk,
                              bool Verified, TimePoint Now) {
  SwarmActions Out;
  Peer *From = findAndTouch(Number, Now);
  if (!From || Chunk >= m_Here.size())
    return Out;
  const bool IsLocal = From->m_IsLocal;
  for (const Transfer &Each : From->m_Expected)
    if (Each.m_Chunk == Chunk) {
      m_ChunkTime += (Now - Each.m_Asked - m_ChunkTime) / AverageDivisor;
      adaptRequestLimit(Now - Each.m_Asked);
    }
  std::erase_if(From->m_Expected,
                [&](const Transfer &Each) { return Each.m_Chunk == Chunk; });
  if (!Verified) {
    ++m_Counters.m_Corrupt;
    release(Chunk);
    drop(Number, quarantine(From->m_Id, Now), Out);
    return Out;
  }
  if (!wants(Chunk)) {
    ++m_Counters.m_Duplicates;
    release(Chunk);
    return Out;
  }
  m_Unstaged.insert(Chunk);
  m_Taken.insert(Chunk);
  ++m_Counters.m_FromPeers;
  m_Counters.m_Crossings += !IsLocal;
  m_LastChunkAt = m_LastPeerProgress = Now;
  return Out;
}

TimePoint Swarm::quarantine(const InstanceId &Id, TimePoint Now) {
  Failure &Record = m_Failures[Id];
  const bool Again = ++Record.m_Count >= FailuresUntilLongQuarantine;
  Record.m_Until =
      Now + (Again ? m_Options.m_LongQuarantine : m_Options.m_Quarantine);
  return Record.m_Until;
}

SwarmActions Swarm::onStaged(std::uint32_t Chunk, bool Stored, TimePoint Now) {
  SwarmActions Out;
  if (!m_Unstaged.erase(Chunk))
    return Out;
  release(Chunk);
  if (!Stored)
    return Out;
  insertHere(Chunk, Now);
  m_LastAnnounced = Now;
  Out.push_back(SendHave{{Chunk}, std::exchange(m_UnannouncedSeen, {})});
  grant(Out, Now);
  readOrigin(Out, Now);
  return Out;
}

void Swarm::expireGrants(TimePoint Now) {
  for (auto &[Number, Each] : m_Peers) {
    if (!Each.m_Granted || Now - *Each.m_Granted < m_Options.m_GrantLifetime)
      continue;
    Each.m_Granted.reset();
    Each.m_NoGrantUntil = Now + m_Options.m_GrantLifetime;
  }
}

/// A silent peer counts as stalled too: the copy would otherwise wait for
/// chunks that only this peer holds.
bool Swarm::stalled(const Peer &Each, TimePoint Now) const {
  return Now - Each.m_LastActivity > m_Options.m_SilenceTimeout ||
         std::any_of(Each.m_Expected.begin(), Each.m_Expected.end(),
                     [&](const Transfer &Open) {
                       return Now - Open.m_Progress > m_Options.m_StallTimeout;
                     });
}

void Swarm::dropStalled(SwarmActions &Out, TimePoint Now) {
  std::vector<PeerNumber> Stalled;
  for (const auto &[Number, Each] : m_Peers)
    if (stalled(Each, Now))
      Stalled.push_back(Number);
  for (PeerNumber Number : Stalled) {
    ++m_Counters.m_Stalls;
    m_Failures[m_Peers.at(Number).m_Id].m_Until = Now + m_Options.m_Quarantine;
    drop(Number, Now + m_Options.m_Quarantine, Out);
  }
}

void Swarm::announceToPeers(SwarmActions &Out, TimePoint Now) {
  const bool Due =
      !m_Peers.empty() && Now - m_LastAnnounced >= m_Options.m_KeepAlive;
  if (m_UnannouncedSeen.empty() && !Due)
    return;
  m_LastAnnounced = Now;
  Out.push_back(SendHave{{}, std::exchange(m_UnannouncedSeen, {})});
}

SwarmActions Swarm::onTick(TimePoint Now) {
  SwarmActions Out;
  expireGrants(Now);
  dropStalled(Out, Now);
  grant(Out, Now);
  readOrigin(Out, Now);
  announceToPeers(Out, Now);
  if (!m_Peers.empty() || m_LastPeerAt == TimePoint{})
    m_LastPeerAt = Now;
  const bool NeedsPeers = m_Peers.empty() || starved(Now);
  if (!complete() && NeedsPeers &&
      Now - m_AskedPeers >= m_Options.m_OriginStep) {
    m_AskedPeers = Now;
    Out.push_back(AskForPeers{});
  }
  return Out;
}

} // namespace deckpitch
