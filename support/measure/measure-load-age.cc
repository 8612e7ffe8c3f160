// Measures what it costs that entries know the load of instances with a delay.
// Simulates the requests of many entries in virtual time, with the slot ledgers
// that agents use to grant or refuse them.
#include "deckpitch/engine-model.h"
#include "deckpitch/instance-table.h"
#include "deckpitch/slot-ledger.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

using namespace deckpitch;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t DataCentres = 5;
constexpr std::size_t Entries = 149;
constexpr std::size_t Instances = 204;
const std::string Model = "m";
const ServiceId Pool{"pool"};
/// Interval at which an agent polls the load of its instance.
constexpr milliseconds PollInterval{50};
/// Time from the choice of an instance until the request runs there: a query to
/// the agent and its reply, then the request itself.
constexpr Duration LocalDelay = milliseconds(2);
constexpr Duration RemoteDelay = milliseconds(4);
constexpr milliseconds Objective{500};
constexpr StreamSize Size{1'000, 90};
constexpr Duration WarmUp = std::chrono::seconds(5);
constexpr Duration MeasuredPeriod = std::chrono::seconds(15);
/// As entries do: agents queried before a request is refused, and requests by
/// which an instance may exceed its limit by the last report and still be
/// queried.
constexpr unsigned MaxQueries = 3;
constexpr double QueryBeyondLimit = 2;

/// Age of the load that an entry knows: that of the last multiple of the
/// interval that lies at least the delay in the past.
struct LoadAge {
  milliseconds m_Interval;
  milliseconds m_Delay;
};

struct UpdateScheme {
  const char *m_Name;
  LoadAge m_Local;
  LoadAge m_Remote;
};

constexpr UpdateScheme Schemes[] = {
    {"perfect",
     {milliseconds(1), milliseconds(0)},
     {milliseconds(1), milliseconds(0)}},
    {"direct, 50 and 200 ms",
     {milliseconds(50), milliseconds(1)},
     {milliseconds(200), milliseconds(2)}},
    {"relays, 50 and 100 ms",
     {milliseconds(50), milliseconds(14)},
     {milliseconds(100), milliseconds(40)}},
    {"relays, 100 and 200 ms",
     {milliseconds(100), milliseconds(26)},
     {milliseconds(200), milliseconds(78)}},
    {"relays, 100 and 500 ms",
     {milliseconds(100), milliseconds(26)},
     {milliseconds(500), milliseconds(78)}},
    {"relays, 200 and 500 ms",
     {milliseconds(200), milliseconds(26)},
     {milliseconds(500), milliseconds(78)}},
};

EngineProfile profile() {
  EngineProfile Out;
  Out.m_Slots = 8;
  Out.m_StepMs = 11.1;
  Out.m_PrefillTokensPerMs = 21.3;
  Out.m_StepsPerPass = 6;
  Out.m_UsualPromptTokens = Size.m_PromptTokens;
  Out.m_UsualAnswerTokens = Size.m_AnswerTokens;
  Out.m_Models = {Model};
  return Out;
}

/// An instance and its agent.
struct Upstream {
  InstanceId m_Id;
  std::string m_Address;
  std::size_t m_DataCentre = 0;
  SlotLedger m_SlotLedger;
  std::uint32_t m_Held = 0;
  /// The load found by each poll.
  std::vector<std::uint32_t> m_PolledLoads;
};

struct Counts {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Queries = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Remote = 0;
};

/// An entry and the last poll that it knows of each instance.
struct SimulatedEntry {
  explicit SimulatedEntry(std::size_t At)
      : m_DataCentre(At), m_Table(DataCentreId{std::to_string(At)}),
        m_KnownPolls(Instances, 0) {}

  std::size_t m_DataCentre;
  InstanceTable m_Table;
  std::vector<std::size_t> m_KnownPolls;
};

class LoadAgeRun {
public:
  LoadAgeRun(const UpdateScheme &Scheme, double LoadFactor, std::uint32_t Seed)
      : m_Scheme(Scheme), m_Random(Seed) {
    addUpstreams();
    addEntries();
    const auto TotalSlots = static_cast<double>(Instances * profile().m_Slots);
    const double Seconds =
        std::chrono::duration<double>(streamTime(profile(), Size)).count();
    m_BetweenArrivals = std::exponential_distribution<double>(
        LoadFactor * TotalSlots / Seconds);
  }

  Counts run() {
    const TimePoint End = m_Start + WarmUp + MeasuredPeriod;
    at(m_Start, [this] { poll(); });
    at(m_Start, [this] { arrive(); });
    while (!m_Events.empty() && m_Events.top().m_At < End) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Action();
    }
    return m_Counts;
  }

private:
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Number;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_At, Other.m_Number) < std::tie(m_At, m_Number);
    }
  };

  void at(TimePoint When, std::function<void()> Action) {
    m_Events.push({When, ++m_LastEvent, std::move(Action)});
  }

  void addUpstreams() {
    m_Upstreams.resize(Instances);
    for (std::size_t I = 0; I < Instances; ++I) {
      Upstream &Each = m_Upstreams[I];
      Each.m_Id = {"i" + std::to_string(I)};
      Each.m_Address = "10.0.0." + std::to_string(I) + ":80";
      Each.m_DataCentre = I % DataCentres;
      m_ById[Each.m_Id] = I;
    }
  }

  void addEntries() {
    ServiceDeclaration Service;
    Service.m_Id = Pool;
    Service.m_Engine = profile();
    std::vector<FleetInstance> Listed;
    for (const Upstream &Each : m_Upstreams) {
      FleetInstance One;
      One.m_Id = Each.m_Id;
      One.m_Service = Pool;
      One.m_Address = Each.m_Address;
      One.m_DataCentre = {std::to_string(Each.m_DataCentre)};
      One.m_Slots = profile().m_Slots;
      One.m_Weights = {{Model, 1, true}};
      Listed.push_back(One);
    }
    for (std::size_t I = 0; I < Entries; ++I) {
      auto Each = std::make_unique<SimulatedEntry>(I % DataCentres);
      Each->m_Table.setServices({Service});
      Each->m_Table.setInstances(Listed, m_Start);
      Each->m_Table.setWeights({{Model, 1}}, m_Start);
      Each->m_Table.setEntries(Entries);
      m_Entries.push_back(std::move(Each));
    }
  }

  void poll() {
    for (Upstream &Each : m_Upstreams) {
      Each.m_PolledLoads.push_back(Each.m_Held);
      Each.m_SlotLedger.reported(Each.m_Held, m_Now);
    }
    at(m_Now + PollInterval, [this] { poll(); });
  }

  /// Returns the index of the latest poll whose result has reached an entry.
  std::size_t latestKnownPoll(const LoadAge &Age) const {
    const Duration Since = m_Now - m_Start - Age.m_Delay;
    const Duration Reported = Since - Since % Duration(Age.m_Interval);
    return static_cast<std::size_t>(
        std::max<Duration::rep>(Reported / Duration(PollInterval), 0));
  }

  void applyReports(SimulatedEntry &Of) {
    for (std::size_t I = 0; I < Instances; ++I) {
      const Upstream &Each = m_Upstreams[I];
      const bool IsLocal = Each.m_DataCentre == Of.m_DataCentre;
      const std::size_t Poll = std::min(
          latestKnownPoll(IsLocal ? m_Scheme.m_Local : m_Scheme.m_Remote),
          Each.m_PolledLoads.size() - 1);
      InstanceReport Report;
      Report.m_Running = isPerfect() ? Each.m_Held : Each.m_PolledLoads[Poll];
      Report.m_Weights = {{Model, 1, true}};
      const bool IsNew = isPerfect() || Poll != Of.m_KnownPolls[I];
      if (IsNew || m_Now - m_Start < PollInterval)
        Of.m_Table.report(Each.m_Address, Report, m_Now);
      Of.m_KnownPolls[I] = Poll;
    }
  }
  bool isPerfect() const { return m_Scheme.m_Local.m_Delay == milliseconds(0); }

  void arrive() {
    const Duration Next = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_BetweenArrivals(m_Random)));
    at(m_Now + Next, [this] { arrive(); });
    std::uniform_int_distribution<std::size_t> AnyEntry(0, Entries - 1);
    SimulatedEntry &Entry = *m_Entries[AnyEntry(m_Random)];
    applyReports(Entry);
    const bool IsMeasured = m_Now - m_Start > WarmUp;
    m_Counts.m_Requests += IsMeasured;
    ChoiceQuery Query;
    Query.m_Service = Pool;
    Query.m_Model = Model;
    Query.m_Objective = Objective;
    Query.m_AskedBeyond = QueryBeyondLimit;
    Query.m_Size = Size;
    for (unsigned Queries = 0; Queries < MaxQueries; ++Queries) {
      const InstanceChoice Chosen = Entry.m_Table.choose(Query, m_Now);
      if (Chosen.m_Outcome != ChoiceOutcome::Chosen)
        break;
      Upstream &At = m_Upstreams[m_ById.at(Chosen.m_Instance)];
      m_Counts.m_Queries += IsMeasured;
      const bool IsLocal = At.m_DataCentre == Entry.m_DataCentre;
      if (grant(At, Query)) {
        m_Counts.m_Remote += IsMeasured && !IsLocal;
        return begin(Entry, At, IsLocal ? LocalDelay : RemoteDelay);
      }
      Query.m_Full.insert(Chosen.m_Instance);
    }
    m_Counts.m_Refused += IsMeasured;
  }

  bool grant(Upstream &At, const ChoiceQuery &Query) {
    return At.m_SlotLedger.grant(
        placeQueryFor(profile(), Size, Query.m_Objective, 0), m_Now);
  }

  void begin(SimulatedEntry &Entry, Upstream &At, Duration Delay) {
    Entry.m_Table.started(At.m_Id, m_Now);
    at(m_Now + Delay, [&At] { ++At.m_Held; });
    const Duration Takes = streamTime(profile(), Size);
    at(m_Now + Delay + Objective / 2,
       [&Entry, &At] { Entry.m_Table.answerStarted(At.m_Id); });
    at(m_Now + Delay + Takes, [this, &Entry, &At] {
      --At.m_Held;
      Entry.m_Table.ended(At.m_Id, InstanceTable::End::Good, true, m_Now);
    });
  }

  const UpdateScheme &m_Scheme;
  std::mt19937 m_Random;
  std::exponential_distribution<double> m_BetweenArrivals;
  const TimePoint m_Start{std::chrono::hours(1)};
  TimePoint m_Now = m_Start;
  std::vector<Upstream> m_Upstreams;
  std::map<InstanceId, std::size_t> m_ById;
  std::vector<std::unique_ptr<SimulatedEntry>> m_Entries;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_LastEvent = 0;
  Counts m_Counts;
};

double ratio(std::uint64_t Part, std::uint64_t All) {
  return All == 0 ? 0 : static_cast<double>(Part) / static_cast<double>(All);
}

void print(const UpdateScheme &Scheme, double LoadFactor) {
  constexpr std::uint32_t Seeds = 3;
  Counts All;
  for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    const Counts One = LoadAgeRun(Scheme, LoadFactor, Seed).run();
    All.m_Requests += One.m_Requests;
    All.m_Queries += One.m_Queries;
    All.m_Refused += One.m_Refused;
    All.m_Remote += One.m_Remote;
  }
  std::cout << "load " << LoadFactor << ", " << Scheme.m_Name
            << ": queries per request " << ratio(All.m_Queries, All.m_Requests)
            << ", refused " << ratio(All.m_Refused, All.m_Requests)
            << ", sent to a remote data centre "
            << ratio(All.m_Remote, All.m_Requests) << std::endl;
}

} // namespace

int main() {
  for (const double LoadFactor : {0.7, 0.9, 1.0, 1.1})
    for (const UpdateScheme &Scheme : Schemes)
      print(Scheme, LoadFactor);
}
