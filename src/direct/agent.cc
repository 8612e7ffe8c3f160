// The agent of a fleet, beside one instance: brings it the declared weights
// and tells the entries what it does.
#include "daemon/clock.h"
#include "daemon/weights-copy.h"
#include "deckpitch/declared-history.h"
#include "deckpitch/weights-plan.h"
#include "direct/adapter.h"
#include "direct/fleet-follower.h"
#include "direct/role.h"
#include "direct/staging-cache.h"
#include "direct/state-link.h"
#include "direct/store-news.h"
#include "net/adapters.h"
#include "net/address.h"
#include "net/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace deckpitch::direct {

using asio::ip::tcp;
using daemon::BulkConnection;
using daemon::now;
using daemon::pauseFor;
using daemon::PeerAddress;
using daemon::WeightsCopy;
using std::chrono::milliseconds;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
/// Between two looks at the instance while entries listen: a share of the time
/// in which one request ends at a full engine.
constexpr Duration ReportSpan = milliseconds(50);
/// Without entries that listen, or with an instance that does not answer.
constexpr Duration IdleReportSpan = milliseconds(400);
/// What has not changed is told again that often.
constexpr Duration RepeatSpan = milliseconds(240);
/// An entry that said nothing for so long is not told any more.
constexpr Duration SubscriptionLifetime = std::chrono::seconds(4);
constexpr Duration StepSpan = milliseconds(50);
constexpr Duration ManifestRetry = milliseconds(300);
constexpr Duration DeclarationRetry = milliseconds(500);
constexpr Duration PeersSpan = milliseconds(1'000);
/// After an order: the instance's state may not show it yet.
constexpr Duration OrderRest = milliseconds(700);
constexpr Duration HelloLimit = std::chrono::seconds(2);
/// Share of the machine's link for weights; the rest is for requests, whose
/// tokens must not queue behind chunks.
constexpr double LinkShare = 0.95;
constexpr std::uint64_t FirstVersion = 1; ///< when none is declared
/// A digest that fits nothing any peer or the origin sends is wrong itself.
constexpr std::uint64_t CorruptToReread = 6;
/// Chunks that the whole pool reads from the origin at once: enough to keep a
/// link of some Mbit/s busy while it is told which of them have come.
constexpr std::uint32_t OriginWindow = 32;
/// A chunk has several holders within a third of that on sound links.
constexpr Duration SoleHolderWait = milliseconds(700);
/// Twice what chunks take on sound links with this many under way. A link of
/// 1.2 Mbit/s held requests back for 3.5 s behind the chunks asked for at once,
/// past the bound of the version that they named.
constexpr Duration ChunkPatience = milliseconds(600);
/// Offers and chunks under way to peers at once. Some offers are declined, and
/// the link must not run dry meanwhile.
constexpr std::uint32_t Uploads = 6;
constexpr std::uint32_t Expected = 6;
/// Links to far peers beside those to the readers of what is imported.
constexpr std::size_t NearForEachFar = 4;
/// About one chunk's time over such a link.
constexpr Duration DeclineRest = milliseconds(20);
/// What a window of chunks takes at such an origin.
constexpr Duration OriginStep = milliseconds(800);

std::string ipOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
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

/// Peers to connect to, in an order of this agent's own, so that a bounded
/// number of links holds what it needs: first those that read what it imports,
/// then near ones, and a few far ones in case these fail.
std::vector<PeerAddress> orderPeers(std::vector<PeerAddress> Near,
                                    std::vector<PeerAddress> Far,
                                    const std::set<InstanceId> &Sources) {
  static std::minstd_rand Random{std::random_device{}()};
  std::shuffle(Near.begin(), Near.end(), Random);
  std::shuffle(Far.begin(), Far.end(), Random);
  auto NextFar = std::stable_partition(
      Far.begin(), Far.end(),
      [&](const PeerAddress &Each) { return Sources.contains(Each.m_Id); });
  std::vector<PeerAddress> Out(Far.begin(), NextFar);
  for (std::size_t I = 0; I < Near.size(); ++I) {
    Out.push_back(std::move(Near[I]));
    if (I % NearForEachFar == 0 && NextFar != Far.end())
      Out.push_back(*NextFar++);
  }
  Out.insert(Out.end(), NextFar, Far.end());
  return Out;
}

class Agent final : public DirectRole {
public:
  explicit Agent(DirectContext &Context);

  Result<void> start() override;
  void apply(const DirectSettings &) override {}
  void drain(std::function<void()> OnDone) override;
  void stop() override;
  boost::json::object dump() const override;

private:
  Result<void> listenBulk();
  asio::awaitable<void> acceptPeers();
  asio::awaitable<void> greet(std::shared_ptr<BulkConnection> Connection);
  asio::awaitable<void> reportLoop();
  asio::awaitable<void> stepLoop();
  asio::awaitable<void> storeLoop();
  asio::awaitable<void> step();
  asio::awaitable<void> startCopy();
  asio::awaitable<void> order();
  asio::awaitable<void> readReport();
  void onLink(const wire::LinkMessage &Message, const std::string &From);
  void tellEntries(TimePoint Now);
  void want(const std::vector<DeclaredWeights> &Declared);
  void onDeclaration(const FleetDeclaration &Declaration);
  void onInstances(const std::vector<FleetInstance> &Listed);
  void tellCopyOfPeers();
  WeightsState state() const;

  DirectContext &m_Context;
  asio::io_context &m_Io;
  const FleetAdapter &m_Adapter;
  net::HttpClient m_Http;
  std::unique_ptr<net::Platform> m_Store;
  std::string m_InstanceAddress;
  Settings m_CopySettings;
  std::unique_ptr<net::Engine> m_Engine;
  daemon::TransferContext m_Transfer;
  StagingCache *m_Staging = nullptr; ///< owned by m_Transfer
  StateLink m_Link;
  FleetFollower m_Follower;
  tcp::acceptor m_Acceptor;

  InstanceReport m_Report;
  bool m_HasReport = false;
  bool m_IsOrdered = false; ///< an order was sent and has not shown yet
  std::string m_ToldText;
  TimePoint m_ToldAt{};
  std::map<std::string, TimePoint> m_Entries; ///< by link address: last hello

  std::string m_Model;
  std::string m_OriginAddress;
  DeclaredWeights m_Wanted;
  DeclaredHistory m_Declared;
  std::shared_ptr<WeightsCopy> m_Copy;
  TimePoint m_CopiedAt{};
  TimePoint m_OrderedAt{};
  std::vector<FleetInstance> m_Pool; ///< instances of the own service
  bool m_Stopped = false;
};

Agent::Agent(DirectContext &Context)
    : m_Context(Context), m_Io(Context.m_Threads.control()),
      m_Adapter(*fleetAdapter()), m_Store(net::Adapters<net::Platform>::make(
                                      m_Http, Context.m_Settings.m_Store)),
      m_InstanceAddress(
          net::parsePortAddress(Context.m_Settings.m_Upstream).m_Rest),
      m_CopySettings(copySettings(Context.m_Settings)),
      m_Engine(net::Adapters<net::Engine>::make(m_Http,
                                                Context.m_Settings.m_Upstream)),
      m_Transfer{m_Io,
                 m_CopySettings,
                 Incarnation{Context.m_Incarnation},
                 nullptr,
                 nullptr,
                 nullptr,
                 daemon::makeShapedLink(m_CopySettings.m_Weights),
                 nullptr},
      m_Link(m_Io, Context.m_Incarnation),
      m_Follower(m_Io, *m_Store, m_Adapter, {},
                 {[this](const FleetDeclaration &Declaration) {
                    onDeclaration(Declaration);
                  },
                  [this](const std::vector<FleetInstance> &Listed) {
                    onInstances(Listed);
                  },
                  [this](const std::vector<DeclaredWeights> &Declared) {
                    want(Declared);
                  },
                  nullptr}),
      m_Acceptor(m_Io) {
  auto Staging = std::make_unique<StagingCache>(m_Io, *m_Engine);
  m_Staging = Staging.get();
  m_Transfer.m_Engine = std::move(Staging);
  m_Transfer.m_Uplink =
      std::make_shared<daemon::Uplink>(m_Io, m_Transfer.m_Link.m_Up);
}

Result<void> Agent::listenBulk() {
  BOOST_LEAF_AUTO(Endpoint,
                  net::parseEndpoint(m_Context.m_Settings.m_Listen.m_Bulk));
  boost::system::error_code Ec;
  m_Acceptor.open(Endpoint.protocol(), Ec);
  if (!Ec)
    m_Acceptor.set_option(asio::socket_base::reuse_address(true), Ec);
  if (!Ec)
    m_Acceptor.bind(Endpoint, Ec);
  if (!Ec)
    m_Acceptor.listen(asio::socket_base::max_listen_connections, Ec);
  if (Ec)
    return fail(ErrorCode::Unavailable, "cannot listen for weights on " +
                                            net::formatEndpoint(Endpoint) +
                                            ": " + Ec.message());
  return {};
}

Result<void> Agent::start() {
  BOOST_LEAF_CHECK(listenBulk());
  BOOST_LEAF_CHECK(m_Link.listen(
      m_Context.m_Settings.m_Listen.m_Link,
      [this](const wire::LinkMessage &Message, const std::string &From) {
        onLink(Message, From);
      }));
  m_Transfer.m_Uplink->start();
  asio::co_spawn(m_Io, acceptPeers(), asio::detached);
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
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  if (m_Copy)
    m_Copy->stop();
  m_Transfer.m_Uplink->stop();
}

void Agent::onDeclaration(const FleetDeclaration &Declaration) {
  for (const ServiceDeclaration &Each : Declaration.m_Services) {
    if (!Each.m_Origin.empty() && m_OriginAddress != Each.m_Origin) {
      m_OriginAddress = Each.m_Origin;
      m_Transfer.m_Origin =
          net::Adapters<net::Origin>::make(m_Http, "pieces://" + Each.m_Origin);
    }
    const bool IsOwn = Each.m_Id.m_Text == m_Context.m_Settings.m_Service;
    if (IsOwn && Each.m_Engine && !Each.m_Engine->m_Models.empty())
      m_Model = Each.m_Engine->m_Models.front();
  }
}

void Agent::want(const std::vector<DeclaredWeights> &Declared) {
  for (const DeclaredWeights &Each : Declared) {
    if (Each.m_Model != m_Model || !m_Declared.add(Each.m_Version, now()))
      continue;
    m_Wanted = Each;
    net::log(Event::WeightsDeclared,
             {{"model", Each.m_Model}, {"version", Each.m_Version}});
  }
}

void Agent::onInstances(const std::vector<FleetInstance> &Listed) {
  m_Pool.clear();
  for (const FleetInstance &Each : Listed)
    if (Each.m_Service.m_Text == m_Context.m_Settings.m_Service)
      m_Pool.push_back(Each);
  if (m_Copy)
    tellCopyOfPeers();
}

void Agent::tellCopyOfPeers() {
  const std::string Port =
      ":" + std::to_string(m_Context.m_Settings.m_AgentBulkPort);
  std::vector<InstanceId> Ids;
  std::map<DataCentreId, std::vector<InstanceId>> ByDataCentre;
  std::vector<PeerAddress> NearPeers;
  std::vector<PeerAddress> FarPeers;
  for (const FleetInstance &Each : m_Pool) {
    const std::string Ip = ipOf(Each.m_Address);
    const bool IsNear = Each.m_DataCentre == m_CopySettings.m_DataCentre;
    // One that leaves still gives what it has, but others must not wait for
    // what it would have read: one copy took 9 s instead of 3 s where a tenth
    // of a pool left as a version was declared and the origin went away.
    if (!Each.m_IsLeaving) {
      Ids.push_back({Ip});
      ByDataCentre[Each.m_DataCentre].push_back({Ip});
    }
    (IsNear ? NearPeers : FarPeers)
        .push_back({InstanceId{Ip}, Each.m_DataCentre, Ip + Port});
  }
  m_Copy->setInstances(std::move(Ids));
  m_Copy->setDataCentres(ByDataCentre);
  m_Copy->setPeers(orderPeers(std::move(NearPeers), std::move(FarPeers),
                              m_Copy->swarm().importSources()));
}

/// Reads the declaration once, and the list of peers while a copy is under
/// way.
asio::awaitable<void> Agent::storeLoop() {
  while (!m_Stopped && !co_await m_Follower.readDeclaration())
    co_await pauseFor(DeclarationRetry);
  TimePoint NextPeers{};
  while (!m_Stopped) {
    const bool NeedsPeers = m_Copy && !m_Copy->swarm().complete();
    if (NeedsPeers && now() >= NextPeers) {
      NextPeers = now() + PeersSpan;
      co_await m_Follower.listInstances();
    }
    co_await pauseFor(StepSpan);
  }
}

void Agent::onLink(const wire::LinkMessage &Message, const std::string &From) {
  if (!Message.has_hello())
    return;
  const TimePoint Now = now();
  const bool IsNew = m_Entries.emplace(From, Now).second;
  m_Entries[From] = Now;
  std::vector<DeclaredWeights> Declared;
  for (const wire::DeclaredWeightsState &Each : Message.hello().declared())
    Declared.push_back(read(Each));
  want(Declared);
  if (IsNew)
    m_ToldAt = {};
}

asio::awaitable<void> Agent::readReport() {
  const auto Read = co_await m_Adapter.readReport(m_Http, m_InstanceAddress);
  if (!Read && m_HasReport)
    net::log(Event::ReportUnavailable, {{"address", m_InstanceAddress},
                                        {"error", Read.error().m_Message}});
  m_HasReport = Read.has_value();
  if (!Read)
    co_return;
  if (Read->m_Weights != m_Report.m_Weights)
    for (const HeldWeights &Each : Read->m_Weights)
      net::log(Event::WeightsActivated,
               {{"model", Each.m_Model},
                {"version", Each.m_Version},
                {"complete", std::uint64_t{Each.m_IsComplete}}});
  m_Report = *Read;
}

asio::awaitable<void> Agent::reportLoop() {
  while (!m_Stopped) {
    co_await readReport();
    const TimePoint Now = now();
    std::erase_if(m_Entries, [Now](const auto &Each) {
      return Now - Each.second > SubscriptionLifetime;
    });
    if (m_HasReport)
      tellEntries(Now);
    const bool IsUseful = m_HasReport && !m_Entries.empty();
    co_await pauseFor(IsUseful ? ReportSpan : IdleReportSpan);
  }
}

void Agent::tellEntries(TimePoint Now) {
  wire::LinkMessage Message;
  wire::InstanceState &State = *Message.mutable_state();
  State.set_address(m_InstanceAddress);
  State.set_running(m_Report.m_Running);
  State.set_waiting(m_Report.m_Waiting);
  State.set_takes_requests(m_Report.m_TakesRequests && !m_IsOrdered);
  for (const HeldWeights &Each : m_Report.m_Weights)
    write(Each, *State.add_weights());
  std::string Text = State.SerializeAsString();
  if (Text == m_ToldText && Now - m_ToldAt < RepeatSpan)
    return;
  m_ToldText = std::move(Text);
  m_ToldAt = Now;
  for (const auto &[To, Heard] : m_Entries)
    m_Link.send(To, Message);
}

WeightsState Agent::state() const {
  WeightsState Out;
  Out.m_Wanted = m_Wanted;
  Out.m_Held = m_Report.m_Weights;
  Out.m_IsCopyComplete = m_Copy && m_Copy->swarm().complete() &&
                         m_Copy->manifest().m_Weights == weightsIdOf(m_Wanted);
  Out.m_IsBusy = !m_Report.m_TakesRequests;
  std::vector<std::string> Ips;
  for (const FleetInstance &Each : m_Pool)
    Ips.push_back(ipOf(Each.m_Address));
  std::sort(Ips.begin(), Ips.end());
  const auto At =
      std::find(Ips.begin(), Ips.end(), m_CopySettings.m_Instance.m_Text);
  Out.m_Rank = static_cast<std::size_t>(At - Ips.begin());
  Out.m_PoolSize = std::max<std::size_t>(Ips.size(), 1);
  std::uint64_t Held = 0;
  for (const HeldWeights &Each : m_Report.m_Weights)
    if (Each.m_Model == m_Model && Each.m_IsComplete)
      Held = std::max(Held, Each.m_Version);
  Out.m_DeclaredAt = m_Declared.behindSince(Held).value_or(now());
  Out.m_CopiedAt = m_CopiedAt;
  Out.m_Bound = m_Context.m_Settings.m_Bounds.m_Version;
  return Out;
}

asio::awaitable<void> Agent::stepLoop() {
  while (!m_Stopped) {
    if (!m_Model.empty())
      co_await step();
    co_await pauseFor(StepSpan);
  }
}

asio::awaitable<void> Agent::step() {
  // Without any declared version the first one is meant.
  if (m_Wanted.m_Version == 0)
    want({{m_Model, FirstVersion}});
  const bool HasCopy =
      m_Copy && m_Copy->manifest().m_Weights == weightsIdOf(m_Wanted);
  // Not before the instance answers: what it has staged need not be fetched.
  if (!HasCopy && m_HasReport)
    co_return co_await startCopy();
  if (!HasCopy)
    co_return;
  if (m_Copy->swarm().complete() && m_CopiedAt == TimePoint{}) {
    m_CopiedAt = now();
    const SwarmCounters &Counts = m_Copy->swarm().counters();
    net::log(Event::CopyComplete,
             {{"weights", m_Copy->manifest().m_Weights.m_Text},
              {"fromPeers", Counts.m_FromPeers},
              {"fromOrigin", Counts.m_FromOrigin},
              {"corrupt", Counts.m_Corrupt}});
  }
  if (m_Copy->swarm().counters().m_Corrupt >= CorruptToReread &&
      !m_Copy->swarm().complete())
    co_return co_await startCopy();
  if (m_IsOrdered && now() - m_OrderedAt > OrderRest &&
      m_Report.m_TakesRequests)
    m_IsOrdered = false;
  if (!m_HasReport || m_IsOrdered)
    co_return;
  if (nextWeightsStep(state(), now()) == WeightsStep::Load)
    co_await order();
}

asio::awaitable<void> Agent::startCopy() {
  if (!m_Transfer.m_Origin)
    co_return;
  const WeightsId Weights = weightsIdOf(m_Wanted);
  auto Read = co_await m_Transfer.m_Origin->manifest(Weights);
  if (!Read) {
    net::log(Event::ManifestUnavailable,
             {{"weights", Weights.m_Text}, {"error", Read.error().m_Message}});
    co_return co_await pauseFor(ManifestRetry);
  }
  // Who else is to hold them decides who reads which chunk from the origin;
  // an instance that believes itself alone would read a copy of its own.
  if (!co_await m_Follower.listInstances())
    co_return co_await pauseFor(ManifestRetry);
  if (m_Copy)
    m_Copy->stop();
  m_Staging->keepOnly(Weights);
  SwarmOptions Options =
      daemon::swarmOptionsFor(m_CopySettings.m_Weights, Read->m_ChunkBytes);
  Options.m_OriginWindow = OriginWindow;
  Options.m_OriginStep = OriginStep;
  Options.m_SoleHolderWait = SoleHolderWait;
  Options.m_ChunkPatience = ChunkPatience;
  Options.m_Uploads = Uploads;
  Options.m_Expected = Expected;
  Options.m_DeclineRest = DeclineRest;
  m_CopiedAt = {};
  m_Copy = std::make_shared<WeightsCopy>(m_Transfer, std::move(*Read), Options);
  net::log(Event::CopyStarted,
           {{"weights", Weights.m_Text},
            {"chunks", std::uint64_t{m_Copy->manifest().chunkCount()}}});
  // Staging does not say of which version its chunks are: their digests do.
  EngineStatus Staged;
  Staged.m_Staging.push_back({Weights, {}});
  for (std::uint32_t I = 0; I < m_Copy->manifest().chunkCount(); ++I)
    Staged.m_Staging.back().m_Chunks.push_back(I);
  const std::shared_ptr<WeightsCopy> Copy = m_Copy;
  co_await Copy->recover(std::move(Staged), {});
  // Before the start: who reads what rests on who there is.
  tellCopyOfPeers();
  Copy->start();
}

asio::awaitable<void> Agent::order() {
  const std::shared_ptr<WeightsCopy> Copy = m_Copy;
  const Manifest &Wanted = Copy->manifest();
  // Checked at the last moment: what the instance takes is what lies there.
  if (!co_await m_Staging->repair(Wanted)) {
    m_Copy = nullptr; // Starts over with what is still good.
    Copy->stop();
    co_return;
  }
  m_IsOrdered = true;
  m_OrderedAt = now();
  tellEntries(m_OrderedAt); // They send elsewhere from now on.
  const auto Done = co_await m_Engine->load(Wanted, FencingNumber{});
  net::log(Done ? Event::OrderSent : Event::EngineOrderRefused,
           {{"weights", Wanted.m_Weights.m_Text},
            {"error", Done ? "" : Done.error().m_Message}});
}

asio::awaitable<void> Agent::acceptPeers() {
  while (!m_Stopped) {
    auto [Ec, Socket] = co_await m_Acceptor.async_accept(UseAwaitable);
    if (Ec) {
      co_await pauseFor(StepSpan);
      continue;
    }
    net::tuneBulkSocket(Socket);
    auto Connection = std::make_shared<BulkConnection>(std::move(Socket));
    Connection->start();
    asio::co_spawn(m_Io, greet(std::move(Connection)), asio::detached);
  }
}

asio::awaitable<void> Agent::greet(std::shared_ptr<BulkConnection> Connection) {
  asio::steady_timer Limit(m_Io, HelloLimit);
  Limit.async_wait([Connection](const boost::system::error_code &Ec) {
    if (!Ec)
      Connection->close();
  });
  auto First = co_await net::readBulk(Connection->socket());
  Limit.cancel();
  const bool IsHello = First && First->m_Header.has_hello();
  if (!IsHello || !m_Copy) {
    Connection->close();
    co_return;
  }
  const std::shared_ptr<WeightsCopy> Copy = m_Copy;
  co_await Copy->accept(std::move(Connection), First->m_Header.hello());
}

boost::json::object Agent::dump() const {
  boost::json::object Out{{"instance", m_InstanceAddress},
                          {"wanted", weightsIdOf(m_Wanted).m_Text},
                          {"entries", m_Entries.size()},
                          {"storeCalls", m_Store->calls()}};
  if (m_Copy) {
    const SwarmCounters &Counts = m_Copy->swarm().counters();
    Out["copy"] =
        boost::json::object{{"weights", m_Copy->manifest().m_Weights.m_Text},
                            {"chunksHeld", m_Copy->swarm().here().count()},
                            {"peers", m_Copy->swarm().peerCount()},
                            {"fromPeers", Counts.m_FromPeers},
                            {"fromOrigin", Counts.m_FromOrigin},
                            {"corrupt", Counts.m_Corrupt}};
  }
  return Out;
}

} // namespace

std::unique_ptr<DirectRole> makeAgent(DirectContext &Context) {
  return std::make_unique<Agent>(Context);
}

} // namespace deckpitch::direct
