#include "simulation/spread-network.h"

#include <algorithm>
#include <cstdlib>
#include <string>
#include <tuple>
#include <utility>

namespace deckpitch::simulation {

using std::chrono::milliseconds;

namespace {

/// Interval at which an entry is polled for due batches.
constexpr Duration TickInterval = milliseconds(10);
/// Intervals of agents: between two inspections, and until an unchanged state
/// is reported again.
constexpr Duration InspectionInterval = milliseconds(50);
constexpr Duration RepeatReportInterval = milliseconds(240);
/// Interval of hellos to agents, and the time for which an agent reports after
/// one.
constexpr Duration HelloInterval = milliseconds(300);
constexpr Duration ReportingPeriod = std::chrono::seconds(1);
/// Time until a death is known in the own data centre and in others: some
/// hellos that did not arrive.
constexpr Duration LocalDeathDetection = milliseconds(1'200);
constexpr Duration RemoteDeathDetection = std::chrono::seconds(2);
/// Time until a returned process is known to be alive: the second hello from
/// then.
constexpr Duration ReturnDetection = milliseconds(600);
/// Bytes of a hello to an agent with a few models and sources.
constexpr std::size_t HelloBytes = 200;
/// A period that is no multiple of any other interval.
constexpr Duration SampleInterval = milliseconds(97);

/// Maximum change of a count between two inspections. It is large so that
/// counts seldom return to an earlier value: that would count as no change, and
/// the same state could be of any age.
constexpr int MaxCountChange = 20;

/// The one agent whose state is checked after each datagram; one is enough.
constexpr std::size_t WatchedAgent = 0;

void count(Traffic &In, std::size_t Bytes) {
  ++In.m_Datagrams;
  In.m_Bytes += Bytes;
}

} // namespace

Duration percentile(std::vector<Duration> Of, double InHundred) {
  if (Of.empty())
    return {};
  const auto Last = static_cast<double>(Of.size() - 1);
  const auto Nth =
      Of.begin() + static_cast<std::ptrdiff_t>(Last * InHundred / 100);
  std::nth_element(Of.begin(), Nth, Of.end());
  return *Nth;
}

SpreadNetwork::SpreadNetwork(SpreadOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed),
      m_Entries(Options.m_Entries), m_Agents(Options.m_Instances),
      m_Cuts(Options.m_DataCentres) {
  for (std::size_t I = 0; I < m_Agents.size(); ++I) {
    Agent &Each = m_Agents[I];
    Each.m_Now.m_Address = "10.0.0." + std::to_string(I) + ":9000";
    Each.m_Now.m_Order.m_Incarnation.m_Value = 1'000 + I;
    Each.m_Now.m_Report.m_Weights = {{"model", 1, true}};
    Each.m_Now.m_Report.m_Start = 1;
    Each.m_Listeners.resize(m_Entries.size());
  }
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    m_Entries[I].m_Spread = freshSpread(I);
    refreshView(I);
  }
  std::uniform_int_distribution<Duration::rep> Phase(
      0, InspectionInterval.count());
  for (std::size_t I = 0; I < m_Agents.size(); ++I)
    at(m_Now + Duration(Phase(m_Random)), [this, I] { inspect(I); });
  for (std::size_t I = 0; I < m_Entries.size(); ++I)
    at(m_Now + Duration(Phase(m_Random)), [this, I] { tickEntry(I); });
  resetCounts();
}

void SpreadNetwork::resetCounts() {
  m_Counts = {};
  m_Counts.m_AgentsSent.resize(m_Agents.size());
  m_Counts.m_EntriesReceived.resize(m_Entries.size());
  m_Counts.m_EntriesSent.resize(m_Entries.size());
}

DataCentreId SpreadNetwork::nameOf(std::size_t DataCentre) const {
  return {"dc-" + std::to_string(DataCentre)};
}

EntryCandidate SpreadNetwork::candidate(std::size_t Entry) const {
  return {{"entry-" + std::to_string(Entry)}, nameOf(dataCentreOf(Entry))};
}

std::unique_ptr<StateSpread>
SpreadNetwork::freshSpread(std::size_t Entry) const {
  std::vector<ListedAddress> Listed;
  for (std::size_t I = 0; I < m_Agents.size(); ++I)
    Listed.push_back({m_Agents[I].m_Now.m_Address, nameOf(dataCentreOf(I))});
  auto Out = std::make_unique<StateSpread>(candidate(Entry));
  Out->setInstances(Listed);
  return Out;
}

std::size_t SpreadNetwork::entryOf(const InstanceId &Id) const {
  return std::stoul(Id.m_Text.substr(Id.m_Text.find('-') + 1));
}

void SpreadNetwork::at(TimePoint When, Action Do) {
  m_Events.push({When, m_NextOrder++, std::move(Do)});
}

void SpreadNetwork::runTo(TimePoint When) {
  while (!m_Events.empty() && m_Events.top().m_At <= When) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Do();
  }
  m_Now = When;
}

void SpreadNetwork::runFor(Duration Length) { runTo(m_Now + Length); }

void SpreadNetwork::runFor(Duration Length, SpreadAges &Into) {
  const TimePoint End = m_Now + Length;
  while (m_Now + SampleInterval <= End) {
    runFor(SampleInterval);
    sample(Into);
  }
  runTo(End);
}

std::optional<Duration> SpreadNetwork::delay(std::size_t FromCentre,
                                             std::size_t ToCentre) {
  const bool IsRemote = FromCentre != ToCentre;
  const auto IsCut = [&](std::size_t Centre) {
    return m_Cuts[Centre].m_Since && !m_Cuts[Centre].m_Until;
  };
  std::bernoulli_distribution IsLost(m_Options.m_LossShare);
  if (IsLost(m_Random) || (IsRemote && (IsCut(FromCentre) || IsCut(ToCentre))))
    return std::nullopt;
  return IsRemote ? m_Options.m_RemoteDelay : m_Options.m_LocalDelay;
}

void SpreadNetwork::toEntry(std::size_t To, std::size_t FromCentre,
                            std::size_t Bytes,
                            std::function<void(Duration Late)> Read) {
  const auto Takes = delay(FromCentre, dataCentreOf(To));
  if (!Takes)
    return;
  at(m_Now + *Takes, [this, To, Bytes, Read = std::move(Read)] {
    Entry &At = m_Entries[To];
    if (!At.m_IsAlive)
      return;
    count(m_Counts.m_EntriesReceived[To], Bytes);
    if (At.m_IsPaused)
      At.m_Waiting.push_back({m_Now, Read});
    else
      readAt(To, Read, {});
  });
}

void SpreadNetwork::readAt(std::size_t To,
                           const std::function<void(Duration Late)> &Read,
                           Duration Late) {
  Read(Late);
  noteOrder(m_Entries[To]);
}

/// Checks from outside the entries' rule that no older state replaces a newer
/// one.
void SpreadNetwork::noteOrder(Entry &Of) {
  const auto Known =
      Of.m_Spread->find(m_Agents.at(WatchedAgent).m_Now.m_Address);
  if (!Known)
    return;
  m_OrderViolations += Known->m_Latest.m_Order < Of.m_Newest ? 1 : 0;
  Of.m_Newest = Known->m_Latest.m_Order;
}

void SpreadNetwork::tickEntry(std::size_t Which) {
  Entry &Each = m_Entries[Which];
  if (!Each.m_IsAlive || Each.m_IsPaused)
    return;
  const bool Wants = Each.m_Spread->wantsReports(m_Now);
  if (Wants && (!Each.m_WantedReports || m_Now >= Each.m_NextHello))
    hello(Which);
  Each.m_WantedReports = Wants;
  for (const StateSend &Send : Each.m_Spread->due(m_Now))
    sendBatch(Which, Send);
  at(m_Now + TickInterval, [this, Which] { tickEntry(Which); });
}

void SpreadNetwork::hello(std::size_t From) {
  m_Entries[From].m_NextHello = m_Now + HelloInterval;
  const std::size_t Centre = dataCentreOf(From);
  for (std::size_t To = Centre; To < m_Agents.size();
       To += m_Options.m_DataCentres) {
    count(m_Counts.m_Hellos, HelloBytes + HeaderBytes);
    if (const auto Takes = delay(Centre, Centre))
      at(m_Now + *Takes,
         [this, From, To] { m_Agents[To].m_Listeners[From] = m_Now; });
  }
}

void SpreadNetwork::sendBatch(std::size_t From, const StateSend &What) {
  const auto Batch = std::make_shared<const StateBatch>(What.m_Batch);
  const std::size_t Bytes = estimatedBytes(*Batch) + HeaderBytes;
  const InstanceId Sender = candidate(From).m_Id;
  for (const InstanceId &Id : What.m_To) {
    const std::size_t To = entryOf(Id);
    count(m_Counts.m_EntriesSent[From], Bytes);
    if (dataCentreOf(From) != dataCentreOf(To)) {
      count(m_Counts.m_AcrossBorders, Bytes);
      m_Counts.m_StatesAcrossBorders += Batch->m_States.size();
    }
    toEntry(To, dataCentreOf(From), Bytes,
            [this, To, Sender, Batch](Duration Late) {
              m_Entries[To].m_Spread->receiveBatch(Sender, *Batch, m_Now, Late);
            });
  }
}

void SpreadNetwork::step(InstanceReport &Of) {
  std::bernoulli_distribution Steps(m_Options.m_ChangeChance);
  std::uniform_int_distribution<int> By(-MaxCountChange, MaxCountChange);
  if (!Steps(m_Random))
    return;
  for (std::uint32_t *Count : {&Of.m_Running, &Of.m_Waiting})
    *Count = static_cast<std::uint32_t>(
        std::abs(static_cast<int>(*Count) + By(m_Random)));
}

void SpreadNetwork::inspect(std::size_t Which) {
  Agent &Each = m_Agents[Which];
  if (!Each.m_IsAlive)
    return;
  step(Each.m_Now.m_Report);
  const bool IsChanged = Each.m_Now.m_Report != Each.m_LastReported;
  m_Counts.m_Changes += IsChanged ? 1 : 0;
  if (IsChanged || m_Now - Each.m_LastReportedAt >= RepeatReportInterval)
    report(Which);
  at(m_Now + InspectionInterval, [this, Which] { inspect(Which); });
}

void SpreadNetwork::report(std::size_t From) {
  Agent &Each = m_Agents[From];
  Each.m_LastReported = Each.m_Now.m_Report;
  Each.m_LastReportedAt = m_Now;
  Each.m_Now.m_Order.m_Sequence = Each.m_ReportedAt.size();
  Each.m_ReportedAt.push_back(m_Now);
  const auto State = std::make_shared<const SpreadState>(Each.m_Now);
  const std::size_t Bytes = estimatedBytes(*State) + HeaderBytes;
  for (std::size_t To = 0; To < m_Entries.size(); ++To) {
    std::optional<TimePoint> &LastHello = Each.m_Listeners[To];
    if (LastHello && m_Now - *LastHello > ReportingPeriod)
      LastHello.reset();
    if (!LastHello)
      continue;
    count(m_Counts.m_AgentsSent[From], Bytes);
    toEntry(To, dataCentreOf(From), Bytes, [this, To, State](Duration Late) {
      m_Entries[To].m_Spread->receiveReport(*State, m_Now, Late);
    });
  }
}

bool SpreadNetwork::isConsideredAway(const Absence &Of,
                                     Duration Noticed) const {
  if (!Of.m_Since)
    return false;
  if (!Of.m_Until)
    return m_Now - *Of.m_Since >= Noticed;
  return *Of.m_Until - *Of.m_Since >= Noticed &&
         m_Now - *Of.m_Until < ReturnDetection;
}

bool SpreadNetwork::considersAlive(std::size_t Of, std::size_t Other) const {
  const std::size_t Here = dataCentreOf(Of);
  const std::size_t There = dataCentreOf(Other);
  if (Of == Other)
    return true;
  const Absence &Process = m_Entries[Other].m_Absence;
  if (Here == There)
    return !isConsideredAway(Process, LocalDeathDetection);
  return !isConsideredAway(Process, RemoteDeathDetection) &&
         !isConsideredAway(m_Cuts[Here], RemoteDeathDetection) &&
         !isConsideredAway(m_Cuts[There], RemoteDeathDetection);
}

void SpreadNetwork::refreshView(std::size_t Entry) {
  if (!m_Entries[Entry].m_IsAlive || m_Entries[Entry].m_IsPaused)
    return;
  std::vector<EntryCandidate> Live;
  for (std::size_t I = 0; I < m_Entries.size(); ++I)
    if (considersAlive(Entry, I))
      Live.push_back(candidate(I));
  m_Entries[Entry].m_Spread->setEntries(Live, m_Now);
}

void SpreadNetwork::refreshViewsSoon() {
  for (const Duration Later :
       {ReturnDetection, LocalDeathDetection, RemoteDeathDetection})
    at(m_Now + Later, [this] {
      for (std::size_t I = 0; I < m_Entries.size(); ++I)
        refreshView(I);
    });
}

} // namespace deckpitch::simulation
