// Decides which chunks an instance of a swarm reads from the origin and imports
// from other data centres.
#include "deckpitch/swarm.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace deckpitch {

namespace {

/// Higher ranks wait no longer than this one.
constexpr std::uint32_t MaxRank = 8;
constexpr int DelayFactor = 4; ///< multiple of the average delay
constexpr int UnheldSteps = 6; ///< before a chunk without known holder is read
/// Ranked importers of a chunk in a data centre.
constexpr std::size_t MaxImporters = 4;
/// Bounds the delay while faults inflate the average.
constexpr int MaxSteps = 4;
/// Transfer time of a window over the origin's link: longer than announcements
/// take to reach the whole pool.
constexpr double WindowMs = 600;
/// Step as a multiple of the window's transfer time, with a margin for readers
/// on slow links.
constexpr double StepWindows = 2;
constexpr double MinStepMs = 1'200;
/// Enough to saturate a link of some Mbit/s whose bandwidth is unknown.
constexpr std::uint32_t MaxWindow = 32;
constexpr std::uint32_t MinWindow = 4;
/// Upper bound for links that are declared with almost no bandwidth.
constexpr double MaxChunkMs = 60'000;
/// Transfer time of MaxWindow chunks over 15 Mbit/s.
constexpr Duration DefaultStep = std::chrono::milliseconds(800);

std::uint64_t hashOf(const InstanceId &Id) {
  return XXH3_64bits(Id.m_Text.data(), Id.m_Text.size());
}

/// Rendezvous hash: the instance with the highest score is first for the chunk.
std::uint64_t score(std::uint64_t Instance, std::uint64_t Chunk) {
  std::uint64_t Mixed = Instance ^ (Chunk + 1) * 0x9e3779b97f4a7c15ULL;
  Mixed = (Mixed ^ Mixed >> 32) * 0xd6e8feb86659fd93ULL;
  return Mixed ^ Mixed >> 32;
}

/// The first instances in a chunk's rendezvous order.
std::vector<InstanceId> firstInOrder(const std::vector<InstanceId> &List,
                                     std::uint32_t Chunk) {
  std::vector<std::pair<std::uint64_t, InstanceId>> Scored;
  Scored.reserve(List.size());
  for (const InstanceId &Each : List)
    Scored.emplace_back(score(hashOf(Each), Chunk), Each);
  const std::size_t Count = std::min(MaxImporters, Scored.size());
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
    return {MaxWindow, DefaultStep, Duration::zero()};
  constexpr double BytesPerMsOfMbps = 1'000.0 / 8;
  const double ChunkMs =
      std::min(ChunkBytes / (Mbps * BytesPerMsOfMbps), MaxChunkMs);
  const double Window =
      std::clamp<double>(WindowMs / ChunkMs, MinWindow, MaxWindow);
  const auto Length = [](double Ms) {
    return std::chrono::ceil<Duration>(
        std::chrono::duration<double, std::milli>(Ms));
  };
  const double StepMs = std::max(MinStepMs, StepWindows * Window * ChunkMs);
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
bool Swarm::mayImport(const InstanceId &Who, const DataCentreId &DataCentre,
                      std::uint32_t Chunk, TimePoint Now) const {
  const auto Found = m_Importers.find(DataCentre);
  if (Found == m_Importers.end())
    return true;
  const std::vector<InstanceId> &Order = Found->second[Chunk];
  const auto Place = std::find(Order.begin(), Order.end(), Who) - Order.begin();
  return Now - m_SeenSince[Chunk] >= Place * m_Options.m_ImportWait;
}

Duration Swarm::originStep() const {
  return std::clamp(DelayFactor * m_SeenDelay, m_Options.m_OriginStep,
                    MaxSteps * m_Options.m_OriginStep);
}

bool Swarm::starved(TimePoint Now) const {
  return !complete() && m_Taken.count() == 0 &&
         Now - m_LastChunkAt > originStep();
}

/// Number of chunks that have been read from the origin: those seen or, if
/// more, those that its link can have carried since the start.
std::uint32_t Swarm::countReadFromOrigin(TimePoint Now) const {
  const std::uint32_t Seen = m_Seen.count();
  if (m_Options.m_OriginPace <= Duration::zero())
    return Seen;
  const auto Estimated = static_cast<std::uint32_t>(std::min<Duration::rep>(
      (Now - m_StartedAt) / m_Options.m_OriginPace, m_Here.size()));
  return std::max(Seen, Estimated);
}

void Swarm::advanceWindow(TimePoint Now) {
  if (m_LastChunkAt == TimePoint{})
    m_LastChunkAt = Now;
  if (m_LastPeerProgress == TimePoint{})
    m_LastPeerProgress = Now;
  if (m_StartedAt == TimePoint{})
    m_StartedAt = Now;
  const std::uint32_t End = std::min(
      m_Here.size(), countReadFromOrigin(Now) + m_Options.m_OriginWindow);
  for (; m_DueCount < End; ++m_DueCount)
    m_DueAt[m_DueCount] = Now;
}

/// Whether no known peer has held the chunk for longer than Length. A chunk may
/// have been announced as seen in error, or been lost with its holder.
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
  if (wants(Chunk) && !isBackingOff(Chunk, Now) &&
      waitsForSoleHolder(Chunk, Now))
    return true;
  if (!wants(Chunk) || m_Taken.contains(Chunk) || isBackingOff(Chunk, Now))
    return false;
  const Duration Wait =
      std::min<std::uint32_t>(m_Rank[Chunk], MaxRank) * originStep();
  if (!m_Seen.contains(Chunk))
    return Now - m_DueAt[Chunk] >= Wait;
  // Without a connected peer the copies of others cannot be reached.
  if (m_Peers.empty() && Now - m_LastPeerAt > 2 * originStep() + Wait)
    return true;
  const Duration Timeout = UnheldSteps * m_Options.m_OriginStep + Wait;
  if (unheldFor(Chunk, Timeout, Now))
    return true;
  // Holders may decline to offer the chunk for reasons of their own; bound the
  // wait.
  if (Now - m_LastPeerProgress > Timeout)
    return true;
  // All known holders are gone.
  return m_Copies[Chunk] == 0 && starved(Now) &&
         Now - m_LastChunkAt > originStep() + Wait / 2;
}

bool Swarm::isBackingOff(std::uint32_t Chunk, TimePoint Now) const {
  const auto Found = m_CorruptReads.find(Chunk);
  return Found != m_CorruptReads.end() && Now < Found->second.m_Until;
}

void Swarm::backOffChunk(std::uint32_t Chunk, TimePoint Now) {
  CorruptRead &Record = m_CorruptReads[Chunk];
  Record.m_BackOff = std::clamp(2 * Record.m_BackOff, m_Options.m_OriginBackOff,
                                m_Options.m_MaxCorruptBackOff);
  Record.m_Until = Now + Record.m_BackOff;
}

void Swarm::startRead(std::uint32_t Chunk, SwarmActions &Out) {
  m_Reading.insert(Chunk);
  m_Taken.insert(Chunk);
  Out.push_back(ReadOrigin{Chunk});
}

void Swarm::readOrigin(SwarmActions &Out, TimePoint Now) {
  if (complete())
    return;
  advanceWindow(Now);
  if (Now < m_OriginBackOffUntil || m_Unstaged.count() >= m_Options.m_Unstaged)
    return;
  for (std::uint32_t Chunk = 0; Chunk < m_DueCount; ++Chunk) {
    if (m_Reading.size() >= m_Options.m_OriginReads)
      return;
    if (mayRead(Chunk, Now))
      startRead(Chunk, Out);
  }
  readExtraCopy(Out, Now);
}

/// Reads a chunk that others hold already if nothing is in flight and the pool
/// prefers time over origin bytes.
void Swarm::readExtraCopy(SwarmActions &Out, TimePoint Now) {
  if (m_Options.m_Preference != Preference::Time || m_Taken.count() > 0)
    return;
  const double Share = m_Options.m_ExtraCopies / m_Instances;
  const double Budget = Share * static_cast<double>(m_Here.size());
  if (m_ExtraReads >= Budget || m_DueCount < m_Here.size())
    return;
  const auto Start = static_cast<std::uint32_t>(m_Random()) % m_Here.size();
  for (std::uint32_t I = 0; I < m_Here.size(); ++I) {
    const std::uint32_t Chunk = (Start + I) % m_Here.size();
    if (!wants(Chunk) || isBackingOff(Chunk, Now))
      continue;
    ++m_ExtraReads;
    m_LastChunkAt = Now;
    return startRead(Chunk, Out);
  }
}

SwarmActions Swarm::onOriginReply(std::uint32_t Chunk, OriginOutcome Outcome,
                                  TimePoint Now) {
  SwarmActions Out;
  if (m_Reading.erase(Chunk) == 0)
    return Out;
  if (Outcome == OriginOutcome::Good && wants(Chunk)) {
    m_Unstaged.insert(Chunk);
    m_CorruptReads.erase(Chunk);
    m_CurrentOriginBackOff = {};
    ++m_Counters.m_FromOrigin;
    m_LastChunkAt = Now;
    markSeen(Chunk, Now);
    readOrigin(Out, Now);
    return Out;
  }
  release(Chunk);
  if (Outcome == OriginOutcome::Good) {
    ++m_Counters.m_Duplicates;
    return Out;
  }
  if (Outcome == OriginOutcome::Corrupt) {
    // Other chunks may be intact, so only this one backs off.
    ++m_Counters.m_Corrupt;
    backOffChunk(Chunk, Now);
    readOrigin(Out, Now);
    return Out;
  }
  m_CurrentOriginBackOff =
      std::clamp(2 * m_CurrentOriginBackOff, m_Options.m_OriginBackOff,
                 m_Options.m_MaxOriginBackOff);
  m_OriginBackOffUntil = Now + m_CurrentOriginBackOff;
  return Out;
}

} // namespace deckpitch
