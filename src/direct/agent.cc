// The agent of one instance: supplies it with the declared weights and reports
// its state to the entries.
#include "daemon/clock.h"
#include "deckpitch/growing-wait.h"
#include "deckpitch/instance-grants.h"
#include "direct/adapter.h"
#include "direct/fleet-follower.h"
#include "direct/rate-limit-log.h"
#include "direct/role.h"
#include "direct/slot-client.h"
#include "direct/state-link.h"
#include "direct/store-updates.h"
#include "direct/weights-supply.h"
#include "net/adapters.h"
#include "net/address.h"
#include "net/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using daemon::sleepFor;
using std::chrono::milliseconds;

namespace {

/// Between two reads of the instance's report while entries subscribe: a
/// fraction of the time between two ends of requests at a full engine.
constexpr Duration ReportInterval = milliseconds(50);
/// The same without subscribed entries, or if the instance does not answer.
constexpr Duration IdleReportInterval = milliseconds(400);
/// An unchanged state is sent again at this interval.
constexpr Duration RepeatInterval = milliseconds(240);
/// Least time between states to an entry of another data centre. Such entries
/// send here only what their own data centre cannot serve and need no fresher
/// counts.
constexpr Duration RemoteInterval = milliseconds(200);
/// An entry without a hello for this long is dropped.
constexpr Duration SubscriptionLifetime = std::chrono::seconds(4);
constexpr Duration StepInterval = milliseconds(50);
/// How long an agent waits for an entry to announce the source of weights
/// before it reads the declaration itself. A declaration of many routes, read
/// by all agents at once after a power loss, kept the link between two regions
/// full for five seconds.
constexpr Duration DeclarationTimeout = milliseconds(3'000);
constexpr Duration PeersInterval = milliseconds(1'000);
/// Longest wait between reads of the store in place of an entry: many agents
/// without an entry read it at the same time.
constexpr Duration MaxStoreInterval = std::chrono::seconds(24);
/// Between two lines about an instance that serves no weights.
constexpr Duration PendingLogInterval = std::chrono::seconds(2);
/// Share of the instance's link for weights; the rest is for requests, whose
/// tokens must not queue behind chunks.
constexpr double LinkShare = 0.95;

std::string ipOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

std::uint32_t msOf(Duration Value) {
  const auto Ms = std::chrono::duration_cast<milliseconds>(Value).count();
  return static_cast<std::uint32_t>(std::max<milliseconds::rep>(Ms, 0));
}

/// The settings that WeightsCopy uses.
Settings copySettings(const DirectSettings &From) {
  constexpr double BytesPerSecond = 1e6 / 8;
  Settings Out;
  Out.m_Role = Role::Agent;
  // Peers know each other from the platform's list, which has addresses only.
  Out.m_Instance.m_Text = ipOf(From.m_Listen.m_Bulk);
  Out.m_DataCentre = From.m_DataCentre;
  Out.m_Weights.m_UploadBytesPerSecond =
      static_cast<std::uint64_t>(LinkShare * From.m_LinkMbps * BytesPerSecond);
  return Out;
}

SupplyOptions supplyOptions(DirectContext &Context) {
  const DirectSettings &From = Context.m_Settings;
  SupplyOptions Out;
  Out.m_Copy = copySettings(From);
  Out.m_Listen = From.m_Listen.m_Bulk;
  Out.m_PeerPort = ":" + std::to_string(From.m_AgentBulkPort);
  Out.m_Service = From.m_Service;
  Out.m_Bound = From.m_Bounds.m_Version;
  Out.m_Incarnation = {Context.m_Incarnation};
  Out.m_Clients = Context.clients();
  return Out;
}

/// An entry that receives the instance's state.
struct Subscriber {
  TimePoint m_LastHello{}; ///< when its last hello arrived
  bool m_IsLocal = true;   ///< whether it is in the same data centre
  TimePoint m_SentAt{};    ///< when the state was last sent to it
  bool m_IsBehind = true;  ///< whether the state has changed since
};

class Agent final : public DirectRole {
public:
  explicit Agent(DirectContext &Context);

  Result<void> start() override;
  void apply(const DirectSettings &) override {}
  void drain(std::function<void()> OnDone) override;
  void stop() override;
  boost::json::object dump() const override;

private:
  asio::awaitable<void> reportLoop();
  asio::awaitable<void> stepLoop();
  asio::awaitable<void> storeLoop();
  asio::awaitable<void> readReport();
  void logPending(TimePoint Now);
  asio::awaitable<bool> fetchPeers();
  asio::awaitable<bool> listPeers();
  std::optional<std::string> someLocalEntry();
  void onLink(const wire::LinkMessage &Message, const std::string &From);
  wire::InstanceState state();
  bool takesRequests() const {
    return m_Report.m_TakesRequests && !m_Weights.isLoadPending();
  }
  /// When the instance will refuse requests that have not begun, in order to
  /// load new weights; the maximum if that is not known.
  TimePoint closesAt() const;
  void answerPlace(const wire::PlaceQuery &Query, const std::string &From);
  void noteRateLimit(const wire::RateLimitState &Known, TimePoint Now);
  void sendState(TimePoint Now);
  void onDeclaration(const FleetDeclaration &Declaration);
  void setSource(const WeightsSource &Source);

  DirectContext &m_Context;
  asio::io_context &m_Io;
  const FleetAdapter &m_Adapter;
  net::HttpClient m_Http;
  std::unique_ptr<net::Platform> m_Store;
  std::string m_InstanceAddress;
  std::unique_ptr<net::Engine> m_Engine;
  StateLink m_Link;
  FleetFollower m_Follower;
  WeightsSupply m_Weights;

  InstanceReport m_Report;
  bool m_HasReport = false;
  InstanceGrants m_Grants{now()};
  /// The state last sent to any entry, without times.
  wire::InstanceState m_LastSent;
  std::map<std::string, Subscriber> m_Entries; ///< by link address
  std::minstd_rand m_Random{std::random_device{}()};

  TimePoint m_ServedAt = now(); ///< when the instance last served weights
  TimePoint m_NextPendingLog{};
  bool m_Stopped = false;
};

Agent::Agent(DirectContext &Context)
    : m_Context(Context), m_Io(Context.m_Threads.control()),
      m_Adapter(*fleetAdapter()), m_Store(net::Adapters<net::Platform>::make(
                                      m_Http, Context.m_Settings.m_Store)),
      m_InstanceAddress(
          net::parsePortAddress(Context.m_Settings.m_Upstream).m_Location),
      m_Engine(net::Adapters<net::Engine>::make(m_Http,
                                                Context.m_Settings.m_Upstream)),
      m_Link(m_Io, Context.m_Incarnation),
      m_Follower(m_Io, m_Http, *m_Store, m_Adapter, {.m_KeepsExpired = false},
                 {[this](const FleetDeclaration &Declaration) {
                    onDeclaration(Declaration);
                  },
                  [this](const std::vector<FleetInstance> &Listed) {
                    m_Weights.setPool(Listed);
                  },
                  [this](const std::vector<DatedWeights> &Declared) {
                    for (const DatedWeights &Each : Declared)
                      m_Weights.onDeclared(Each);
                  },
                  nullptr},
                 nullptr),
      m_Weights(m_Io, m_Http, *m_Engine, supplyOptions(Context),
                {[this] { return listPeers(); },
                 // Entries choose other instances from now on.
                 [this] { sendState(now()); }}) {}

Result<void> Agent::start() {
  BOOST_LEAF_CHECK(m_Weights.start());
  BOOST_LEAF_CHECK(m_Link.listen(
      m_Context.m_Settings.m_Listen.m_Link,
      [this](const wire::LinkMessage &Message, const std::string &From) {
        onLink(Message, From);
      }));
  asio::co_spawn(m_Io, reportLoop(), asio::detached);
  asio::co_spawn(m_Io, storeLoop(), asio::detached);
  asio::co_spawn(m_Io, stepLoop(), asio::detached);
  return {};
}

void Agent::drain(std::function<void()> OnDone) { OnDone(); }

void Agent::stop() {
  m_Stopped = true;
  m_Follower.stop();
  m_Link.stop();
  m_Weights.stop();
}

void Agent::onDeclaration(const FleetDeclaration &Declaration) {
  for (const WeightsSource &Each : sourcesOf(Declaration))
    setSource(Each);
}

void Agent::setSource(const WeightsSource &Source) {
  if (Source.m_Service.m_Text == m_Context.m_Settings.m_Service)
    m_Weights.setSource(Source);
}

/// Reads the declaration if no entry announces the source of weights, and the
/// list of peers during a copy.
asio::awaitable<void> Agent::storeLoop() {
  GrowingWait DeclarationWait(2 * DeclarationTimeout, MaxStoreInterval);
  GrowingWait ListWait(2 * PeersInterval, MaxStoreInterval);
  TimePoint NextPeers{};
  DeclarationWait.begin(now(), m_Random);
  while (!m_Stopped) {
    if (!m_Weights.hasSource() && DeclarationWait.isOver(now())) {
      DeclarationWait.begin(now(), m_Random);
      co_await m_Follower.readDeclarations();
    }
    if (m_Weights.isCopying() && now() >= NextPeers) {
      NextPeers = now() + PeersInterval;
      const bool Succeeded = co_await fetchPeers();
      if (Succeeded) {
        ListWait.reset();
      } else if (ListWait.isOver(now())) {
        ListWait.begin(now(), m_Random);
        // A stale list is enough: peers that have left are detected by their
        // connections.
        co_await m_Follower.listOldInstances();
      }
    }
    co_await sleepFor(StepInterval);
  }
}

std::optional<std::string> Agent::someLocalEntry() {
  std::vector<std::string> Local;
  for (const auto &[Link, Each] : m_Entries)
    if (Each.m_IsLocal)
      Local.push_back(Link);
  if (Local.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Any(0, Local.size() - 1);
  return Local[Any(m_Random)];
}

/// Fetches the list of peers from a local entry, so that agents that copy at
/// the same time do not fill the link between regions with lists.
asio::awaitable<bool> Agent::fetchPeers() {
  const std::optional<std::string> Entry = someLocalEntry();
  bool Succeeded = false;
  if (Entry)
    Succeeded = co_await m_Follower.fetchInstancesFrom(*Entry);
  co_return Succeeded;
}

asio::awaitable<bool> Agent::listPeers() {
  bool Succeeded = co_await fetchPeers();
  if (!Succeeded)
    Succeeded = co_await m_Follower.listInstances();
  co_return Succeeded;
}

TimePoint Agent::closesAt() const {
  const auto TimeUntilSwap = m_Weights.timeUntilSwap(m_Report, now());
  return TimeUntilSwap ? now() + *TimeUntilSwap : TimePoint::max();
}

/// Records what an entry knows of the instance's rate limit.
void Agent::noteRateLimit(const wire::RateLimitState &Known, TimePoint Now) {
  const auto Limit = read(Known, Now);
  if (!Limit)
    return;
  const RateObservation &Newest = Limit->m_Newest;
  if (m_Grants.noteRateLimit(*Limit, Now))
    logRateLimit(Limit->m_Instance, Newest.m_PerSecond, "entry",
                 Now - Newest.m_Sent, "");
}

void Agent::answerPlace(const wire::PlaceQuery &Query,
                        const std::string &From) {
  const TimePoint Now = now();
  if (Query.has_rate_limit())
    noteRateLimit(Query.rate_limit(), Now);
  const auto ColdStart = Query.has_cold() ? read(Query.cold()) : std::nullopt;
  if (ColdStart)
    m_Grants.noteColdStart({Query.instance()}, *ColdStart, Now);
  wire::LinkMessage Message;
  wire::PlaceAnswer &Answer = *Message.mutable_place_answer();
  Answer.set_id(Query.id());
  Answer.set_is_granted(
      m_HasReport && takesRequests() &&
      m_Grants.grant(read(Query), {Query.instance()}, Now, closesAt()));
  *Answer.mutable_state() = state();
  m_Link.send(From, std::move(Message));
}

void Agent::onLink(const wire::LinkMessage &Message, const std::string &From) {
  if (Message.has_place_query())
    answerPlace(Message.place_query(), From);
  if (!Message.has_hello())
    return;
  const TimePoint Now = now();
  Subscriber &Entry = m_Entries[From];
  Entry.m_LastHello = Now;
  Entry.m_IsLocal =
      Message.hello().data_centre() == m_Context.m_Settings.m_DataCentre.m_Text;
  for (const wire::WeightsSourceState &Each : Message.hello().sources())
    setSource(read(Each));
  for (const wire::DeclaredWeightsState &Each : Message.hello().declared())
    m_Weights.onDeclared(read(Each, Now));
}

asio::awaitable<void> Agent::readReport() {
  const auto Read = co_await m_Adapter.readReport(m_Http, m_InstanceAddress);
  if (!Read && m_HasReport)
    net::log(Event::ReportUnavailable, {{"address", m_InstanceAddress},
                                        {"error", Read.error().m_Message}});
  m_HasReport = Read.has_value();
  if (!Read)
    co_return;
  if (m_Report.m_Start != 0 && Read->m_Start != m_Report.m_Start)
    net::log(Event::InstanceRestarted, {{"address", m_InstanceAddress},
                                        {"startMs", Read->m_Start},
                                        {"formerStartMs", m_Report.m_Start}});
  if (Read->m_Weights != m_Report.m_Weights)
    for (const HeldWeights &Each : Read->m_Weights)
      net::log(Event::WeightsActivated,
               {{"model", Each.m_Model},
                {"version", Each.m_Version},
                {"complete", std::uint64_t{Each.m_IsComplete}}});
  m_Report = *Read;
  m_Grants.reported(Read->m_Running + Read->m_Waiting, now());
}

/// Logs what an instance without weights waits for.
void Agent::logPending(TimePoint Now) {
  const auto &Held = m_Report.m_Weights;
  const bool Serves = m_HasReport && std::any_of(Held.begin(), Held.end(),
                                                 [](const auto &Each) {
                                                   return Each.m_IsComplete;
                                                 });
  if (Serves)
    m_ServedAt = Now;
  const bool IsDue = Now - m_ServedAt >= PendingLogInterval;
  if (!IsDue || Now < m_NextPendingLog)
    return;
  m_NextPendingLog = Now + PendingLogInterval;
  net::log(Event::WeightsPending,
           {{"lacks", m_HasReport ? m_Weights.missingStep() : "report"},
            {"forMs", deckpitch::msOf(Now - m_ServedAt)},
            {"entries", std::uint64_t{m_Entries.size()}}});
}

asio::awaitable<void> Agent::reportLoop() {
  while (!m_Stopped) {
    co_await readReport();
    const TimePoint Now = now();
    logPending(Now);
    std::erase_if(m_Entries, [Now](const auto &Each) {
      return Now - Each.second.m_LastHello > SubscriptionLifetime;
    });
    if (m_HasReport)
      sendState(Now);
    const bool IsUseful = m_HasReport && !m_Entries.empty();
    co_await sleepFor(IsUseful ? ReportInterval : IdleReportInterval);
  }
}

wire::InstanceState Agent::state() {
  wire::InstanceState Out;
  Out.set_address(m_InstanceAddress);
  Out.set_start_ms(m_Report.m_Start);
  Out.set_loading(m_Weights.pendingVersion());
  Out.set_running(m_Report.m_Running);
  // Including requests that were granted a slot and have not arrived yet.
  Out.set_waiting(std::max(m_Grants.held(), m_Report.m_Running) -
                  m_Report.m_Running);
  Out.set_takes_requests(takesRequests());
  Out.set_has_sound_link(m_Weights.hasSoundLink());
  if (const auto TimeUntilSwap = m_Weights.timeUntilSwap(m_Report, now()))
    Out.set_swap_in_ms(msOf(*TimeUntilSwap));
  for (const HeldWeights &Each : m_Report.m_Weights)
    write(Each, *Out.add_weights());
  const TimePoint Now = now();
  if (const auto Limit = m_Grants.rateLimit(Now))
    write(*Limit, Now, *Out.mutable_rate_limit());
  return Out;
}

/// The state without what changes by itself as time passes.
wire::InstanceState withoutTimes(wire::InstanceState State) {
  if (!State.has_rate_limit())
    return State;
  State.mutable_rate_limit()->clear_sent_age_us();
  State.mutable_rate_limit()->clear_answered_age_us();
  State.mutable_rate_limit()->clear_next_in_us();
  return State;
}

/// Whether the change affects which requests entries may send here, rather than
/// only the counts of requests.
bool isUrgent(const wire::InstanceState &Now,
              const wire::InstanceState &LastSent) {
  wire::InstanceState Before = LastSent;
  Before.set_running(Now.running());
  Before.set_waiting(Now.waiting());
  // Receivers count this down themselves.
  if (Before.has_swap_in_ms() && Now.has_swap_in_ms())
    Before.set_swap_in_ms(Now.swap_in_ms());
  return Before.SerializeAsString() != Now.SerializeAsString();
}

void Agent::sendState(TimePoint Now) {
  wire::LinkMessage Message;
  *Message.mutable_state() = state();
  const wire::InstanceState Compared = withoutTimes(Message.state());
  const bool IsChanged =
      Compared.SerializeAsString() != m_LastSent.SerializeAsString();
  const bool IsUrgent = isUrgent(Compared, m_LastSent);
  m_LastSent = Compared;
  for (auto &[To, Each] : m_Entries) {
    Each.m_IsBehind = Each.m_IsBehind || IsChanged;
    const Duration Since = Now - Each.m_SentAt;
    const Duration MinInterval =
        Each.m_IsLocal || IsUrgent ? Duration::zero() : RemoteInterval;
    const bool IsDue =
        Since >= RepeatInterval || (Each.m_IsBehind && Since >= MinInterval);
    if (!IsDue)
      continue;
    m_Link.send(To, Message);
    Each.m_SentAt = Now;
    Each.m_IsBehind = false;
  }
}

asio::awaitable<void> Agent::stepLoop() {
  while (!m_Stopped) {
    // Only once the instance answers: chunks that it has staged need not be
    // fetched.
    if (m_HasReport)
      co_await m_Weights.step(m_Report);
    co_await sleepFor(StepInterval);
  }
}

boost::json::object Agent::dump() const {
  return {{"instance", m_InstanceAddress},
          {"entries", m_Entries.size()},
          {"rateLimit", rateText(m_Grants.perSecond())},
          {"storeCalls", m_Store->calls()},
          {"weights", m_Weights.dump()}};
}

} // namespace

std::unique_ptr<DirectRole> makeAgent(DirectContext &Context) {
  return std::make_unique<Agent>(Context);
}

} // namespace deckpitch::direct
