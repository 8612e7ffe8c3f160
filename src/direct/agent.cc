// The agent of a fleet, beside one instance: brings it the declared weights
// and tells the entries what it does.
#include "daemon/clock.h"
#include "deckpitch/place-ledger.h"
#include "direct/adapter.h"
#include "direct/fleet-follower.h"
#include "direct/place-client.h"
#include "direct/role.h"
#include "direct/state-link.h"
#include "direct/store-news.h"
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
using daemon::pauseFor;
using std::chrono::milliseconds;

namespace {

/// Between two looks at the instance while entries listen: a share of the time
/// in which one request ends at a full engine.
constexpr Duration ReportSpan = milliseconds(50);
/// Without entries that listen, or with an instance that does not answer.
constexpr Duration IdleReportSpan = milliseconds(400);
/// What has not changed is told again that often.
constexpr Duration RepeatSpan = milliseconds(240);
/// Entries of other data centres send here only what their own cannot take:
/// they need no fresher count, and all agents tell all entries.
constexpr Duration FarSpan = milliseconds(200);
/// An entry that said nothing for so long is not told any more.
constexpr Duration SubscriptionLifetime = std::chrono::seconds(4);
constexpr Duration StepSpan = milliseconds(50);
/// Entries tell where weights come from; a declaration of many routes, read by
/// every agent at once after a loss of power, kept the link between two regions
/// full for five seconds. Without entries each agent reads it after this time.
constexpr Duration DeclarationPatience = milliseconds(3'000);
constexpr Duration PeersSpan = milliseconds(1'000);
/// Share of the machine's link for weights; the rest is for requests, whose
/// tokens must not queue behind chunks.
constexpr double LinkShare = 0.95;

std::string ipOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

std::uint32_t msOf(Duration Value) {
  const auto Ms = std::chrono::duration_cast<milliseconds>(Value).count();
  return static_cast<std::uint32_t>(std::max<milliseconds::rep>(Ms, 0));
}

/// What the copying of weights takes of the settings.
Settings copySettings(const DirectSettings &From) {
  constexpr double BytesPerSecond = 1e6 / 8;
  Settings Out;
  Out.m_Role = Role::Agent;
  // Peers find each other by the platform's list, which has addresses only.
  Out.m_Instance.m_Text = ipOf(From.m_Listen.m_Bulk);
  Out.m_DataCentre = From.m_DataCentre;
  Out.m_Weights.m_UploadBytesPerSecond =
      static_cast<std::uint64_t>(LinkShare * From.m_LinkMbps * BytesPerSecond);
  return Out;
}

SupplyOptions supplyOptions(const DirectContext &Context) {
  const DirectSettings &From = Context.m_Settings;
  SupplyOptions Out;
  Out.m_Copy = copySettings(From);
  Out.m_Listen = From.m_Listen.m_Bulk;
  Out.m_PeerPort = ":" + std::to_string(From.m_AgentBulkPort);
  Out.m_Service = From.m_Service;
  Out.m_Bound = From.m_Bounds.m_Version;
  Out.m_Incarnation = {Context.m_Incarnation};
  return Out;
}

/// An entry that is told of the instance.
struct Listener {
  TimePoint m_Heard{};  ///< its last hello
  bool m_IsNear = true; ///< in the same data centre
  TimePoint m_ToldAt{};
  bool m_IsBehind = true; ///< something has changed since
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
  asio::awaitable<bool> fetchPeers();
  asio::awaitable<bool> listPeers();
  std::optional<std::string> someNearEntry();
  void onLink(const wire::LinkMessage &Message, const std::string &From);
  wire::InstanceState state() const;
  bool takesRequests() const {
    return m_Report.m_TakesRequests && !m_Weights.isLoadPending();
  }
  /// When the instance is to refuse what has not begun, as far as is known.
  TimePoint closes() const;
  void answerPlace(const wire::PlaceQuery &Query, const std::string &From);
  void tellEntries(TimePoint Now);
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
  PlaceLedger m_Places;
  wire::InstanceState m_Told;                ///< last, to any entry
  std::map<std::string, Listener> m_Entries; ///< by link address
  std::minstd_rand m_Random{std::random_device{}()};

  bool m_Stopped = false;
};

Agent::Agent(DirectContext &Context)
    : m_Context(Context), m_Io(Context.m_Threads.control()),
      m_Adapter(*fleetAdapter()), m_Store(net::Adapters<net::Platform>::make(
                                      m_Http, Context.m_Settings.m_Store)),
      m_InstanceAddress(
          net::parsePortAddress(Context.m_Settings.m_Upstream).m_Rest),
      m_Engine(net::Adapters<net::Engine>::make(m_Http,
                                                Context.m_Settings.m_Upstream)),
      m_Link(m_Io, Context.m_Incarnation),
      m_Follower(m_Io, m_Http, *m_Store, m_Adapter, {.m_KeepsLapsed = false},
                 {[this](const FleetDeclaration &Declaration) {
                    onDeclaration(Declaration);
                  },
                  [this](const std::vector<FleetInstance> &Listed) {
                    m_Weights.setPool(Listed);
                  },
                  [this](const std::vector<HeardWeights> &Declared) {
                    for (const HeardWeights &Each : Declared)
                      m_Weights.want(Each);
                  },
                  nullptr},
                 nullptr),
      m_Weights(m_Io, m_Http, *m_Engine, supplyOptions(Context),
                {[this] { return listPeers(); },
                 // Entries send elsewhere from now on.
                 [this] { tellEntries(now()); }}) {}

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

/// Reads the declaration where no entry tells of it, and the list of peers
/// while a copy is under way.
asio::awaitable<void> Agent::storeLoop() {
  TimePoint NextDeclaration = now() + DeclarationPatience;
  TimePoint NextPeers{};
  while (!m_Stopped) {
    if (!m_Weights.hasSource() && now() >= NextDeclaration) {
      NextDeclaration = now() + DeclarationPatience;
      co_await m_Follower.readDeclarations();
    }
    if (m_Weights.isCopying() && now() >= NextPeers) {
      NextPeers = now() + PeersSpan;
      // Peers that have gone are noticed by their connections.
      const bool Came = co_await fetchPeers();
      if (!Came)
        co_await m_Follower.listOldInstances();
    }
    co_await pauseFor(StepSpan);
  }
}

std::optional<std::string> Agent::someNearEntry() {
  std::vector<std::string> Near;
  for (const auto &[Link, Each] : m_Entries)
    if (Each.m_IsNear)
      Near.push_back(Link);
  if (Near.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Any(0, Near.size() - 1);
  return Near[Any(m_Random)];
}

/// From an entry of this data centre, so that agents that copy at the same time
/// do not fill the link between regions with lists.
asio::awaitable<bool> Agent::fetchPeers() {
  const std::optional<std::string> Entry = someNearEntry();
  bool Came = false;
  if (Entry)
    Came = co_await m_Follower.fetchInstancesFrom(*Entry);
  co_return Came;
}

asio::awaitable<bool> Agent::listPeers() {
  bool Came = co_await fetchPeers();
  if (!Came)
    Came = co_await m_Follower.listInstances();
  co_return Came;
}

TimePoint Agent::closes() const {
  const auto SwapIn = m_Weights.timeUntilSwap(m_Report, now());
  return SwapIn ? now() + *SwapIn : TimePoint::max();
}

void Agent::answerPlace(const wire::PlaceQuery &Query,
                        const std::string &From) {
  wire::LinkMessage Message;
  wire::PlaceAnswer &Answer = *Message.mutable_place_answer();
  Answer.set_id(Query.id());
  Answer.set_is_granted(m_HasReport && takesRequests() &&
                        m_Places.grant(read(Query), now(), closes()));
  *Answer.mutable_state() = state();
  m_Link.send(From, std::move(Message));
}

void Agent::onLink(const wire::LinkMessage &Message, const std::string &From) {
  if (Message.has_place_query())
    answerPlace(Message.place_query(), From);
  if (!Message.has_hello())
    return;
  const TimePoint Now = now();
  Listener &Entry = m_Entries[From];
  Entry.m_Heard = Now;
  Entry.m_IsNear =
      Message.hello().data_centre() == m_Context.m_Settings.m_DataCentre.m_Text;
  for (const wire::WeightsSourceState &Each : Message.hello().sources())
    setSource(read(Each));
  for (const wire::DeclaredWeightsState &Each : Message.hello().declared())
    m_Weights.want(read(Each, Now));
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
  m_Places.reported(Read->m_Running + Read->m_Waiting, now());
}

asio::awaitable<void> Agent::reportLoop() {
  while (!m_Stopped) {
    co_await readReport();
    const TimePoint Now = now();
    std::erase_if(m_Entries, [Now](const auto &Each) {
      return Now - Each.second.m_Heard > SubscriptionLifetime;
    });
    if (m_HasReport)
      tellEntries(Now);
    const bool IsUseful = m_HasReport && !m_Entries.empty();
    co_await pauseFor(IsUseful ? ReportSpan : IdleReportSpan);
  }
}

wire::InstanceState Agent::state() const {
  wire::InstanceState Out;
  Out.set_address(m_InstanceAddress);
  Out.set_start_ms(m_Report.m_Start);
  Out.set_loading(m_Weights.pendingVersion());
  Out.set_running(m_Report.m_Running);
  // With what was promised a place and is still on its way.
  Out.set_waiting(std::max(m_Places.held(), m_Report.m_Running) -
                  m_Report.m_Running);
  Out.set_takes_requests(takesRequests());
  Out.set_has_sound_link(m_Weights.hasSoundLink());
  if (const auto SwapIn = m_Weights.timeUntilSwap(m_Report, now()))
    Out.set_swap_in_ms(msOf(*SwapIn));
  for (const HeldWeights &Each : m_Report.m_Weights)
    write(Each, *Out.add_weights());
  return Out;
}

/// Whether entries may no longer send what they sent before, or may again.
bool isUrgent(const wire::InstanceState &Now, const wire::InstanceState &Told) {
  wire::InstanceState Before = Told;
  Before.set_running(Now.running());
  Before.set_waiting(Now.waiting());
  // Counts down by itself at those that were told.
  if (Before.has_swap_in_ms() && Now.has_swap_in_ms())
    Before.set_swap_in_ms(Now.swap_in_ms());
  return Before.SerializeAsString() != Now.SerializeAsString();
}

void Agent::tellEntries(TimePoint Now) {
  wire::LinkMessage Message;
  *Message.mutable_state() = state();
  const bool IsChanged =
      Message.state().SerializeAsString() != m_Told.SerializeAsString();
  const bool IsUrgent = isUrgent(Message.state(), m_Told);
  m_Told = Message.state();
  for (auto &[To, Each] : m_Entries) {
    Each.m_IsBehind = Each.m_IsBehind || IsChanged;
    const Duration Since = Now - Each.m_ToldAt;
    const Duration Span =
        Each.m_IsNear || IsUrgent ? Duration::zero() : FarSpan;
    const bool IsDue =
        Since >= RepeatSpan || (Each.m_IsBehind && Since >= Span);
    if (!IsDue)
      continue;
    m_Link.send(To, Message);
    Each.m_ToldAt = Now;
    Each.m_IsBehind = false;
  }
}

asio::awaitable<void> Agent::stepLoop() {
  while (!m_Stopped) {
    // Not before the instance answers: what it has staged need not be fetched.
    if (m_HasReport)
      co_await m_Weights.step(m_Report);
    co_await pauseFor(StepSpan);
  }
}

boost::json::object Agent::dump() const {
  return {{"instance", m_InstanceAddress},
          {"entries", m_Entries.size()},
          {"storeCalls", m_Store->calls()},
          {"weights", m_Weights.dump()}};
}

} // namespace

std::unique_ptr<DirectRole> makeAgent(DirectContext &Context) {
  return std::make_unique<Agent>(Context);
}

} // namespace deckpitch::direct
