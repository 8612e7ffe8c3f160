// The part of a swarm that decides what is read from the origin, and by whom.
#include "deckpitch/swarm.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace deckpitch {

namespace {

constexpr std::uint32_t MaxRank = 8; ///< waits do not grow beyond it
constexpr int DelayPatience = 4;     ///< times the usual delay
constexpr int UnheldSteps = 6;       ///< until a chunk nobody known has is read
constexpr std::size_t MostImporters = 4; ///< of one chunk in a data centre
constexpr int MaxSteps = 4; ///< delays of faults must not stretch the waits
/// Of the origin's link that a window fills: longer than it takes until a pool
/// has heard which chunks have come.
constexpr double WindowMs = 600;
/// Of the time that a window takes at the origin: more for a chunk that is read
/// over a narrow link.
constexpr double StepWindows = 2;
constexpr double LeastStepMs = 1'200;
/// Enough to keep a link of some Mbit/s busy, where its rate is not known.
constexpr std::uint32_t MostWindow = 32;
constexpr std::uint32_t LeastWindow = 4;
/// Over a link that is declared to be next to nothing.
constexpr double LongestChunkMs = 60'000;
/// What that many chunks take over 15 Mbit/s.
constexpr Duration UnknownStep = std::chrono::milliseconds(800);

std::uint64_t hashOf(const InstanceId &Id) {
  return XXH3_64bits(Id.m_Text.data(), Id.m_Text.size());
}

/// An instance's place in a chunk's rendezvous order grows with this.
std::uint64_t score(std::uint64_t Instance, std::uint64_t Chunk) {
  std::uint64_t Mixed = Instance ^ (Chunk + 1) * 0x9e3779b97f4a7c15ULL;
  Mixed = (Mixed ^ Mixed >> 32) * 0xd6e8feb86659fd93ULL;
  return Mixed ^ Mixed >> 32;
}

/// The first instances of a chunk's rendezvous order.
std::vector<InstanceId> firstInOrder(const std::vector<InstanceId> &Of,
                                     std::uint32_t Chunk) {
  std::vector<std::pair<std::uint64_t, InstanceId>> Scored;
  Scored.reserve(Of.size());
  for (const InstanceId &Each : Of)
    Scored.emplace_back(score(hashOf(Each), Chunk), Each);
  const std::size_t Count = std::min(MostImporters, Scored.size());
  std::partial_sort(Scored.begin(),
                    Scored.begin() + static_cast<std::ptrdiff_t>(Count),
                    Scored.end(), std::greater<>());
  std::vector<InstanceId> Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(std::move(Scored[I].second));
  return Out;
}

} // namespace

OriginPacing originPacing(double Mbps, std::uint32_t ChunkBytes) {
  const bool IsKnown = Mbps > 0 && ChunkBytes > 0;
  if (!IsKnown)
    return {MostWindow, UnknownStep, Duration::zero()};
  constexpr double BytesPerMsOfMbps = 1'000.0 / 8;
  const double ChunkMs =
      std::min(ChunkBytes / (Mbps * BytesPerMsOfMbps), LongestChunkMs);
  const double Window =
      std::clamp<double>(WindowMs / ChunkMs, LeastWindow, MostWindow);
  const auto Length = [](double Ms) {
    return std::chrono::ceil<Duration>(
        std::chrono::duration<double, std::milli>(Ms));
  };
  const double StepMs = std::max(LeastStepMs, StepWindows * Window * ChunkMs);
  return {static_cast<std::uint32_t>(Window), Length(StepMs), Length(ChunkMs)};
}

void Swarm::setInstances(const std::vector<InstanceId> &Instances) {
  std::vector<std::uint64_t> Others;
  for (const InstanceId &Each : Instances)
    if (Each != m_Self)
      Others.push_back(hashOf(Each));
  m_Instances = static_cast<std::uint32_t>(Others.size()) + 1;
  const std::uint64_t Own = hashOf(m_Self);
  for (std::uint32_t Chunk = 0; Chunk < m_Here.size(); ++Chunk) {
    const std::uint64_t Mine = score(Own, Chunk);
    m_Rank[Chunk] = static_cast<std::uint16_t>(
        std::count_if(Others.begin(), Others.end(), [&](std::uint64_t Other) {
          return score(Other, Chunk) > Mine;
        }));
  }
}

void Swarm::setDataCentres(
    const std::map<DataCentreId, std::vector<InstanceId>> &Instances) {
  m_Importers.clear();
  for (const auto &[DataCentre, Ids] : Instances) {
    std::vector<std::vector<InstanceId>> &Importers = m_Importers[DataCentre];
    for (std::uint32_t Chunk = 0; Chunk < m_Here.size(); ++Chunk)
      Importers.push_back(firstInOrder(Ids, Chunk));
  }
}

std::set<InstanceId> Swarm::importSources() const {
  std::set<InstanceId> Out;
  const auto Own = m_Importers.find(m_DataCentre);
  if (Own == m_Importers.end())
    return Out;
  for (std::uint32_t Chunk = 0; Chunk < m_Here.size(); ++Chunk) {
    if (Own->second[Chunk].empty() || Own->second[Chunk].front() != m_Self)
      continue;
    std::vector<InstanceId> Firsts;
    for (const auto &[DataCentre, Importers] : m_Importers)
      if (!Importers[Chunk].empty())
        Firsts.push_back(Importers[Chunk].front());
    Out.insert(firstInOrder(Firsts, Chunk).front());
  }
  Out.erase(m_Self);
  return Out;
}

/// Whether an instance may take a chunk from another data centre now.
bool Swarm::mayImport(const InstanceId &Who, const DataCentreId &In,
                      std::uint32_t Chunk, TimePoint Now) const {
  const auto Found = m_Importers.find(In);
  if (Found == m_Importers.end())
    return true;
  const std::vector<InstanceId> &Order = Found->second[Chunk];
  const auto Place = std::find(Order.begin(), Order.end(), Who) - Order.begin();
  return Now - m_SeenSince[Chunk] >= Place * m_Options.m_ImportWait;
}

Duration Swarm::originStep() const {
  return std::clamp(DelayPatience * m_SeenDelay, m_Options.m_OriginStep,
                    MaxSteps * m_Options.m_OriginStep);
}

bool Swarm::starved(TimePoint Now) const {
  return !complete() && m_Taken.count() == 0 && Now - m_LastGain > originStep();
}

/// Chunks that have left the origin, as far as is known or reckoned.
std::uint32_t Swarm::goneFromOrigin(TimePoint Now) const {
  const std::uint32_t Seen = m_Seen.count();
  if (m_Options.m_OriginPace <= Duration::zero())
    return Seen;
  const auto Reckoned = static_cast<std::uint32_t>(std::min<Duration::rep>(
      (Now - m_BeganAt) / m_Options.m_OriginPace, m_Here.size()));
  return std::max(Seen, Reckoned);
}

void Swarm::openWindow(TimePoint Now) {
  if (m_LastGain == TimePoint{})
    m_LastGain = Now;
  if (m_PeersGaveAt == TimePoint{})
    m_PeersGaveAt = Now;
  if (m_BeganAt == TimePoint{})
    m_BeganAt = Now;
  const std::uint32_t End =
      std::min(m_Here.size(), goneFromOrigin(Now) + m_Options.m_OriginWindow);
  for (; m_Opened < End; ++m_Opened)
    m_Open[m_Opened] = Now;
}

/// A chunk may be told to be seen by one that lies, or be lost with its holder.
bool Swarm::unheldFor(std::uint32_t Chunk, Duration Length, TimePoint Now) {
  TimePoint &Since = m_Unheld[Chunk];
  if (m_Copies[Chunk] > 0)
    Since = {};
  else if (Since == TimePoint{})
    Since = Now;
  return m_Copies[Chunk] == 0 && Now - Since > Length;
}

bool Swarm::waitsForSoleHolder(std::uint32_t Chunk, TimePoint Now) const {
  const Duration Longest = m_Options.m_SoleHolderWait;
  if (Longest == Duration::zero() || !m_Seen.contains(Chunk) ||
      m_Copies[Chunk] > 1 || m_Reading.contains(Chunk))
    return false;
  const std::uint32_t Rank = std::min<std::uint32_t>(m_Rank[Chunk], MaxRank);
  return Now - m_SeenSince[Chunk] > Longest + Rank * Longest / 2;
}

bool Swarm::mayRead(std::uint32_t Chunk, TimePoint Now) {
  if (wants(Chunk) && !rests(Chunk, Now) && waitsForSoleHolder(Chunk, Now))
    return true;
  if (!wants(Chunk) || m_Taken.contains(Chunk) || rests(Chunk, Now))
    return false;
  const Duration Wait =
      std::min<std::uint32_t>(m_Rank[Chunk], MaxRank) * originStep();
  if (!m_Seen.contains(Chunk))
    return Now - m_Open[Chunk] >= Wait;
  // Without any peer it is of no use that others have it.
  if (m_Peers.empty() && Now - m_LonelySince > 2 * originStep() + Wait)
    return true;
  const Duration Patience = UnheldSteps * m_Options.m_OriginStep + Wait;
  if (unheldFor(Chunk, Patience, Now))
    return true;
  // Each holder may have its reason to offer nothing: that must not last.
  if (Now - m_PeersGaveAt > Patience)
    return true;
  // Everyone known that had it is gone.
  return m_Copies[Chunk] == 0 && starved(Now) &&
         Now - m_LastGain > originStep() + Wait / 2;
}

bool Swarm::rests(std::uint32_t Chunk, TimePoint Now) const {
  const auto Found = m_CorruptReads.find(Chunk);
  return Found != m_CorruptReads.end() && Now < Found->second.m_Until;
}

void Swarm::restChunk(std::uint32_t Chunk, TimePoint Now) {
  CorruptRead &Record = m_CorruptReads[Chunk];
  Record.m_Rest = std::clamp(2 * Record.m_Rest, m_Options.m_OriginRest,
                             m_Options.m_CorruptRestMost);
  Record.m_Until = Now + Record.m_Rest;
}

void Swarm::startRead(std::uint32_t Chunk, SwarmActions &Out) {
  m_Reading.insert(Chunk);
  m_Taken.insert(Chunk);
  Out.push_back(ReadOrigin{Chunk});
}

void Swarm::readOrigin(SwarmActions &Out, TimePoint Now) {
  if (complete())
    return;
  openWindow(Now);
  if (Now < m_OriginRestUntil || m_Unstaged.count() >= m_Options.m_Unstaged)
    return;
  for (std::uint32_t Chunk = 0; Chunk < m_Opened; ++Chunk) {
    if (m_Reading.size() >= m_Options.m_OriginReads)
      return;
    if (mayRead(Chunk, Now))
      startRead(Chunk, Out);
  }
  readForTime(Out, Now);
}

/// With nothing on the way, a pool that prefers time reads some chunks again.
void Swarm::readForTime(SwarmActions &Out, TimePoint Now) {
  if (m_Options.m_Preference != Preference::Time || m_Taken.count() > 0)
    return;
  const double Share = m_Options.m_ExtraCopies / m_Instances;
  const double Budget = Share * static_cast<double>(m_Here.size());
  if (m_ExtraReads >= Budget || m_Opened < m_Here.size())
    return;
  const auto Start = static_cast<std::uint32_t>(m_Random()) % m_Here.size();
  for (std::uint32_t I = 0; I < m_Here.size(); ++I) {
    const std::uint32_t Chunk = (Start + I) % m_Here.size();
    if (!wants(Chunk) || rests(Chunk, Now))
      continue;
    ++m_ExtraReads;
    m_LastGain = Now;
    return startRead(Chunk, Out);
  }
}

SwarmActions Swarm::onOriginReply(std::uint32_t Chunk, OriginOutcome How,
                                  TimePoint Now) {
  SwarmActions Out;
  if (m_Reading.erase(Chunk) == 0)
    return Out;
  if (How == OriginOutcome::Good && wants(Chunk)) {
    m_Unstaged.insert(Chunk);
    m_CorruptReads.erase(Chunk);
    m_OriginRests = {};
    ++m_Counters.m_FromOrigin;
    m_LastGain = Now;
    markSeen(Chunk, Now);
    readOrigin(Out, Now);
    return Out;
  }
  release(Chunk);
  if (How == OriginOutcome::Good) {
    ++m_Counters.m_Duplicates;
    return Out;
  }
  if (How == OriginOutcome::Corrupt) {
    // The others may be sound; only this one has to wait.
    ++m_Counters.m_Corrupt;
    restChunk(Chunk, Now);
    readOrigin(Out, Now);
    return Out;
  }
  m_OriginRests = std::clamp(2 * m_OriginRests, m_Options.m_OriginRest,
                             m_Options.m_OriginRestMost);
  m_OriginRestUntil = Now + m_OriginRests;
  return Out;
}

} // namespace deckpitch
