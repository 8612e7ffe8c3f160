// Fault injection of SpreadNetwork, and queries of what its entries know.
#include "simulation/spread-network.h"

#include <algorithm>
#include <utility>

namespace deckpitch::simulation {

std::vector<std::size_t>
SpreadNetwork::entriesIn(std::size_t DataCentre) const {
  std::vector<std::size_t> Out;
  for (std::size_t I = DataCentre; I < m_Entries.size();
       I += m_Options.m_DataCentres)
    if (m_Entries[I].m_IsAlive)
      Out.push_back(I);
  return Out;
}

std::vector<std::size_t> SpreadNetwork::relaysIn(std::size_t DataCentre) const {
  std::vector<EntryCandidate> Live;
  for (const std::size_t Each : entriesIn(DataCentre))
    Live.push_back(candidate(Each));
  std::vector<std::size_t> Out;
  for (const InstanceId &Each : chooseRelays(nameOf(DataCentre), Live))
    Out.push_back(entryOf(Each));
  return Out;
}

void SpreadNetwork::killEntry(std::size_t Entry) {
  m_Entries[Entry].m_IsAlive = false;
  m_Entries[Entry].m_Absence = {m_Now, std::nullopt};
  refreshViewsSoon();
}

void SpreadNetwork::startEntry(std::size_t Which) {
  Entry &Each = m_Entries[Which];
  const TimePoint Killed = Each.m_Absence.m_Since.value_or(m_Now);
  Each = {};
  Each.m_Spread = freshSpread(Which);
  Each.m_Absence = {Killed, m_Now};
  refreshView(Which);
  refreshViewsSoon();
  tickEntry(Which);
}

void SpreadNetwork::killAgent(std::size_t Agent) {
  m_Agents[Agent].m_IsAlive = false;
}

void SpreadNetwork::pauseEntry(std::size_t Entry) {
  m_Entries[Entry].m_IsPaused = true;
  m_Entries[Entry].m_Absence = {m_Now, std::nullopt};
  refreshViewsSoon();
}

/// Sends what was due before it reads, like a process that was paused between
/// its steps.
void SpreadNetwork::resumeEntry(std::size_t Which) {
  Entry &Each = m_Entries[Which];
  Each.m_IsPaused = false;
  Each.m_Absence.m_Until = m_Now;
  tickEntry(Which);
  std::vector<Waiting> Waited = std::exchange(Each.m_Waiting, {});
  for (const Waiting &Datagram : Waited)
    readAt(Which, Datagram.m_Read, m_Now - Datagram.m_Arrived);
  refreshView(Which);
  refreshViewsSoon();
}

void SpreadNetwork::cut(std::size_t DataCentre) {
  m_Cuts[DataCentre] = {m_Now, std::nullopt};
  refreshViewsSoon();
}

void SpreadNetwork::mend(std::size_t DataCentre) {
  m_Cuts[DataCentre].m_Until = m_Now;
  refreshViewsSoon();
}

void SpreadNetwork::restartAgent(std::size_t Which) {
  Agent &Each = m_Agents[Which];
  ++Each.m_Now.m_Order.m_Incarnation.m_Value;
  ++Each.m_Now.m_Report.m_Start;
  Each.m_ReportedAt.clear();
  std::fill(Each.m_Listeners.begin(), Each.m_Listeners.end(), std::nullopt);
}

void SpreadNetwork::closeInstance(std::size_t Agent) {
  m_Agents[Agent].m_Now.m_Report.m_TakesRequests = false;
}

std::size_t SpreadNetwork::liveEntries() const {
  return static_cast<std::size_t>(
      std::count_if(m_Entries.begin(), m_Entries.end(),
                    [](const Entry &Each) { return Each.m_IsAlive; }));
}

std::size_t SpreadNetwork::entriesThatKnow(std::size_t Which,
                                           Duration NoOlder) const {
  const Agent &Of = m_Agents[Which];
  const auto Knows = [&](const Entry &Each) {
    const auto Known = Each.m_Spread->find(Of.m_Now.m_Address);
    if (!Each.m_IsAlive || !Known)
      return false;
    const ReportOrder &Order = Known->m_Latest.m_Order;
    return Order.m_Incarnation == Of.m_Now.m_Order.m_Incarnation &&
           m_Now - Of.m_ReportedAt.at(Order.m_Sequence) <= NoOlder;
  };
  return static_cast<std::size_t>(
      std::count_if(m_Entries.begin(), m_Entries.end(), Knows));
}

std::size_t SpreadNetwork::entriesThatKnowClosed(std::size_t Agent) const {
  const auto Knows = [&](const Entry &Each) {
    const auto Known = Each.m_Spread->find(m_Agents[Agent].m_Now.m_Address);
    return Each.m_IsAlive && Known && !Known->m_Latest.m_Report.m_TakesRequests;
  };
  return static_cast<std::size_t>(
      std::count_if(m_Entries.begin(), m_Entries.end(), Knows));
}

std::optional<KnownState> SpreadNetwork::knownAt(std::size_t Entry,
                                                 std::size_t Agent) const {
  return m_Entries[Entry].m_Spread->find(m_Agents[Agent].m_Now.m_Address);
}

std::uint64_t SpreadNetwork::refusedStates() const {
  std::uint64_t Out = 0;
  for (const Entry &Each : m_Entries)
    Out += Each.m_Spread->refusedStates();
  return Out;
}

void SpreadNetwork::sample(SpreadAges &Into) const {
  for (std::size_t At = 0; At < m_Entries.size(); ++At) {
    for (std::size_t Of = 0; Of < m_Agents.size(); ++Of) {
      const Agent &State = m_Agents[Of];
      if (!m_Entries[At].m_IsAlive || m_Entries[At].m_IsPaused ||
          !State.m_IsAlive)
        continue;
      const auto Known = knownAt(At, Of);
      const bool IsPresent = Known && Known->m_Latest.m_Order.m_Incarnation ==
                                          State.m_Now.m_Order.m_Incarnation;
      Duration Age = m_Now - m_Start;
      if (IsPresent) {
        const TimePoint SaidAt =
            State.m_ReportedAt.at(Known->m_Latest.m_Order.m_Sequence);
        Age = m_Now - SaidAt;
        Into.m_MaxAgeError =
            std::max(Into.m_MaxAgeError, Known->m_AsOf - SaidAt);
      }
      const bool IsLocal = dataCentreOf(At) == dataCentreOf(Of);
      (IsLocal ? Into.m_Local : Into.m_Remote).push_back(Age);
    }
  }
}

} // namespace deckpitch::simulation
