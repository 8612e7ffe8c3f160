// What it costs that entries know the load of instances late: requests of many
// entries, in virtual time, with the agents' own answers.
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
/// Between an agent's looks at its instance.
constexpr milliseconds LookSpan{50};
/// To an agent and back; to the instance.
constexpr Duration NearWay = milliseconds(2);
constexpr Duration FarWay = milliseconds(4);
constexpr milliseconds Objective{500};
constexpr StreamSize Size{1'000, 90};
constexpr Duration WarmUp = std::chrono::seconds(5);
constexpr Duration Length = std::chrono::seconds(15);
/// As entries do: questions before a refusal, and how far beyond a report.
constexpr unsigned MostAsked = 3;
constexpr double AskedBeyond = 2;

/// How late an entry knows: what an instance held at the last multiple of the
/// span before now and the delay.
struct Lateness {
  milliseconds m_Span;
  milliseconds m_Delay;
};

struct Knowledge {
  const char *m_Name;
  Lateness m_Near;
  Lateness m_Far;
};

constexpr Knowledge Ways[] = {
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

/// One instance with the agent beside it.
struct Upstream {
  InstanceId m_Id;
  std::string m_Address;
  std::size_t m_DataCentre = 0;
  SlotLedger m_Places;
  std::uint32_t m_Held = 0;
  /// What it held, by its looks.
  std::vector<std::uint32_t> m_Looks;
};

struct Counts {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Questions = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Far = 0;
};

/// An entry and which look of each instance it knows.
struct KnowingEntry {
  explicit KnowingEntry(std::size_t At)
      : m_DataCentre(At), m_Table(DataCentreId{std::to_string(At)}),
        m_Known(Instances, 0) {}

  std::size_t m_DataCentre;
  InstanceTable m_Table;
  std::vector<std::size_t> m_Known;
};

class LoadAgeRun {
public:
  LoadAgeRun(const Knowledge &Way, double Share, std::uint32_t Seed)
      : m_Way(Way), m_Random(Seed) {
    addUpstreams();
    addEntries();
    const auto Places = static_cast<double>(Instances * profile().m_Slots);
    const double Seconds =
        std::chrono::duration<double>(streamTime(profile(), Size)).count();
    m_BetweenArrivals =
        std::exponential_distribution<double>(Share * Places / Seconds);
  }

  Counts run() {
    const TimePoint End = m_Start + WarmUp + Length;
    at(m_Start, [this] { look(); });
    at(m_Start, [this] { arrive(); });
    while (!m_Events.empty() && m_Events.top().m_At < End) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_At;
      Next.m_Do();
    }
    return m_Counts;
  }

private:
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Number;
    std::function<void()> m_Do;
    bool operator<(const Event &Other) const {
      return std::tie(Other.m_At, Other.m_Number) < std::tie(m_At, m_Number);
    }
  };

  void at(TimePoint When, std::function<void()> Do) {
    m_Events.push({When, ++m_LastEvent, std::move(Do)});
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
      auto Each = std::make_unique<KnowingEntry>(I % DataCentres);
      Each->m_Table.setServices({Service});
      Each->m_Table.setInstances(Listed, m_Start);
      Each->m_Table.setWeights({{Model, 1}}, m_Start);
      Each->m_Table.setEntries(Entries);
      m_Entries.push_back(std::move(Each));
    }
  }

  void look() {
    for (Upstream &Each : m_Upstreams) {
      Each.m_Looks.push_back(Each.m_Held);
      Each.m_Places.reported(Each.m_Held, m_Now);
    }
    at(m_Now + LookSpan, [this] { look(); });
  }

  /// The number of the look that an entry knows by now.
  std::size_t knownLook(const Lateness &Late) const {
    const Duration Since = m_Now - m_Start - Late.m_Delay;
    const Duration Told = Since - Since % Duration(Late.m_Span);
    return static_cast<std::size_t>(
        std::max<Duration::rep>(Told / Duration(LookSpan), 0));
  }

  void learn(KnowingEntry &Of) {
    for (std::size_t I = 0; I < Instances; ++I) {
      const Upstream &Each = m_Upstreams[I];
      const bool IsNear = Each.m_DataCentre == Of.m_DataCentre;
      const std::size_t Look =
          std::min(knownLook(IsNear ? m_Way.m_Near : m_Way.m_Far),
                   Each.m_Looks.size() - 1);
      InstanceReport Report;
      Report.m_Running = isPerfect() ? Each.m_Held : Each.m_Looks[Look];
      Report.m_Weights = {{Model, 1, true}};
      const bool IsNew = isPerfect() || Look != Of.m_Known[I];
      if (IsNew || m_Now - m_Start < LookSpan)
        Of.m_Table.report(Each.m_Address, Report, m_Now);
      Of.m_Known[I] = Look;
    }
  }
  bool isPerfect() const { return m_Way.m_Near.m_Delay == milliseconds(0); }

  void arrive() {
    const Duration Next = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_BetweenArrivals(m_Random)));
    at(m_Now + Next, [this] { arrive(); });
    std::uniform_int_distribution<std::size_t> Any(0, Entries - 1);
    KnowingEntry &Entry = *m_Entries[Any(m_Random)];
    learn(Entry);
    const bool Counts = m_Now - m_Start > WarmUp;
    m_Counts.m_Requests += Counts;
    ChoiceQuery Query;
    Query.m_Service = Pool;
    Query.m_Model = Model;
    Query.m_Objective = Objective;
    Query.m_AskedBeyond = AskedBeyond;
    Query.m_Size = Size;
    for (unsigned Asked = 0; Asked < MostAsked; ++Asked) {
      const InstanceChoice Chosen = Entry.m_Table.choose(Query, m_Now);
      if (Chosen.m_Outcome != ChoiceOutcome::Chosen)
        break;
      Upstream &At = m_Upstreams[m_ById.at(Chosen.m_Instance)];
      m_Counts.m_Questions += Counts;
      const bool IsNear = At.m_DataCentre == Entry.m_DataCentre;
      if (grant(At, Query)) {
        m_Counts.m_Far += Counts && !IsNear;
        return begin(Entry, At, IsNear ? NearWay : FarWay);
      }
      Query.m_Full.insert(Chosen.m_Instance);
    }
    m_Counts.m_Refused += Counts;
  }

  bool grant(Upstream &At, const ChoiceQuery &Query) {
    return At.m_Places.grant(
        placeQueryFor(profile(), Size, Query.m_Objective, 0), m_Now);
  }

  void begin(KnowingEntry &Entry, Upstream &At, Duration Way) {
    Entry.m_Table.started(At.m_Id, m_Now);
    at(m_Now + Way, [&At] { ++At.m_Held; });
    const Duration Takes = streamTime(profile(), Size);
    at(m_Now + Way + Objective / 2,
       [&Entry, &At] { Entry.m_Table.answerStarted(At.m_Id); });
    at(m_Now + Way + Takes, [this, &Entry, &At] {
      --At.m_Held;
      Entry.m_Table.ended(At.m_Id, InstanceTable::End::Good, true, m_Now);
    });
  }

  const Knowledge &m_Way;
  std::mt19937 m_Random;
  std::exponential_distribution<double> m_BetweenArrivals;
  const TimePoint m_Start{std::chrono::hours(1)};
  TimePoint m_Now = m_Start;
  std::vector<Upstream> m_Upstreams;
  std::map<InstanceId, std::size_t> m_ById;
  std::vector<std::unique_ptr<KnowingEntry>> m_Entries;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_LastEvent = 0;
  Counts m_Counts;
};

double shareOf(std::uint64_t Part, std::uint64_t All) {
  return All == 0 ? 0 : static_cast<double>(Part) / static_cast<double>(All);
}

void print(const Knowledge &Way, double Share) {
  constexpr std::uint32_t Seeds = 3;
  Counts All;
  for (std::uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
    const Counts One = LoadAgeRun(Way, Share, Seed).run();
    All.m_Requests += One.m_Requests;
    All.m_Questions += One.m_Questions;
    All.m_Refused += One.m_Refused;
    All.m_Far += One.m_Far;
  }
  std::cout << "load " << Share << ", " << Way.m_Name
            << ": questions a request "
            << shareOf(All.m_Questions, All.m_Requests) << ", refused "
            << shareOf(All.m_Refused, All.m_Requests) << ", sent far "
            << shareOf(All.m_Far, All.m_Requests) << std::endl;
}

} // namespace

int main() {
  for (const double Share : {0.7, 0.9, 1.0, 1.1})
    for (const Knowledge &Way : Ways)
      print(Way, Share);
}
