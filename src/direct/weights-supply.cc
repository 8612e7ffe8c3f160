#include "direct/weights-supply.h"

#include "daemon/clock.h"
#include "net/adapters.h"
#include "net/address.h"
#include "net/listen.h"
#include "net/log.h"

#include <algorithm>
#include <random>
#include <utility>

namespace deckpitch::direct {

namespace asio = boost::asio;
using asio::ip::tcp;
using daemon::BulkConnection;
using daemon::now;
using daemon::PeerAddress;
using daemon::sleepFor;
using daemon::WeightsCopy;
using std::chrono::milliseconds;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr Duration AcceptRetry = milliseconds(50);
constexpr Duration ManifestRetry = milliseconds(300);
/// How long the instance's report may not show a load order yet.
constexpr Duration LoadOrderSettleTime = milliseconds(700);
constexpr Duration PeerHelloTimeout = std::chrono::seconds(2);
/// Longest hello: two bits for each chunk, of 100,000 chunks, and names.
constexpr std::uint32_t MaxHelloBytes = 32 * 1024;
/// Slower peers finish an older version within this time; after that its chunks
/// only use memory.
constexpr Duration PreviousCopyLifetime = std::chrono::seconds(5);
constexpr std::uint64_t FirstVersion = 1; ///< used when none is declared
/// After this many corrupt chunks the manifest is read again: digests that
/// match nothing that any peer or the origin sends are themselves wrong.
constexpr std::uint64_t MaxCorruptChunks = 6;
/// On sound links a chunk has several holders within a third of this time.
constexpr Duration SoleHolderWait = milliseconds(700);
/// Twice the time a chunk takes on a sound link with this many in flight. On a
/// link of 1.2 Mbit/s requests queued for 3.5 s behind the chunks in flight,
/// past the bound of the version that the requests named.
constexpr Duration TargetChunkTime = milliseconds(600);
/// Offers and chunks in flight to peers at once. Some offers are declined, and
/// the link must not idle meanwhile; but requests for the instance queue behind
/// what is in flight. With six, 1 in 13 answers during a copy was late and the
/// copy took 3.4 s; with four, 1 in 50 and 3.7 s (20 instances, links of
/// 7.6 Mbit/s).
constexpr std::uint32_t MaxUploads = 4;
constexpr std::uint32_t MaxExpected = 4;
/// Number of local peers for each remote peer in the order of connecting,
/// besides the remote peers that read imported chunks.
constexpr std::size_t LocalPeersPerRemote = 4;
/// About the time of one chunk over a link of 7.6 Mbit/s.
constexpr Duration DeclineBackOff = milliseconds(20);
/// A copy without progress for this long logs what it waits for, and again each
/// time this passes: over sound links a whole copy takes no longer.
constexpr Duration StallLogInterval = std::chrono::seconds(2);

std::string ipOf(const std::string &Address) {
  return Address.substr(0, Address.rfind(':'));
}

SwarmOptions swarmOptions(const WeightsSettings &Settings,
                          std::uint32_t ChunkBytes, double OriginMbps) {
  SwarmOptions Out = daemon::swarmOptionsFor(Settings, ChunkBytes);
  const OriginPacing Pacing = originPacing(OriginMbps, ChunkBytes);
  Out.m_OriginWindow = Pacing.m_Window;
  Out.m_OriginStep = Pacing.m_Step;
  Out.m_OriginPace = Pacing.m_Chunk;
  Out.m_SoleHolderWait = SoleHolderWait;
  Out.m_TargetChunkTime = TargetChunkTime;
  Out.m_Uploads = MaxUploads;
  Out.m_Expected = MaxExpected;
  Out.m_DeclineBackOff = DeclineBackOff;
  return Out;
}

/// Peers to connect to, in an order random for each agent. The number of links
/// is bounded, so the peers most needed come first: those that read the chunks
/// this data centre imports, then local ones, mixed with a few remote ones in
/// case the local ones fail.
std::vector<PeerAddress> orderPeers(std::vector<PeerAddress> Local,
                                    std::vector<PeerAddress> Remote,
                                    const std::set<InstanceId> &Sources) {
  static std::minstd_rand Random{std::random_device{}()};
  std::shuffle(Local.begin(), Local.end(), Random);
  std::shuffle(Remote.begin(), Remote.end(), Random);
  auto NextRemote = std::stable_partition(
      Remote.begin(), Remote.end(),
      [&](const PeerAddress &Each) { return Sources.contains(Each.m_Id); });
  std::vector<PeerAddress> Out(Remote.begin(), NextRemote);
  for (std::size_t I = 0; I < Local.size(); ++I) {
    Out.push_back(std::move(Local[I]));
    if (I % LocalPeersPerRemote == 0 && NextRemote != Remote.end())
      Out.push_back(*NextRemote++);
  }
  Out.insert(Out.end(), NextRemote, Remote.end());
  return Out;
}

} // namespace

WeightsSupply::WeightsSupply(asio::io_context &Io, net::HttpClient &Http,
                             net::Engine &Engine, SupplyOptions Options,
                             Callbacks Calls)
    : m_Io(Io), m_Http(Http), m_Engine(Engine), m_Options(std::move(Options)),
      m_Calls(std::move(Calls)),
      m_Acceptor(Io), m_Transfer{
                          m_Io,
                          m_Options.m_Copy,
                          m_Options.m_Incarnation,
                          nullptr,
                          nullptr,
                          nullptr,
                          daemon::makeShapedLink(m_Options.m_Copy.m_Weights),
                          nullptr} {
  auto Staging = std::make_unique<StagingCache>(m_Io, m_Engine);
  m_Staging = Staging.get();
  m_Transfer.m_Engine = std::move(Staging);
  m_Transfer.m_Uplink =
      std::make_shared<daemon::Uplink>(m_Io, m_Transfer.m_Link.m_Up);
}

Result<void> WeightsSupply::start() {
  if (m_Acceptor.is_open())
    return {};
  BOOST_LEAF_CHECK(net::openAcceptor(m_Acceptor, m_Options.m_Listen));
  m_Transfer.m_Uplink->start();
  asio::co_spawn(m_Io, acceptPeers(), asio::detached);
  return {};
}

void WeightsSupply::stop() {
  m_Stopped = true;
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  for (Copy *Each : {&m_Current, &m_Previous})
    if (Each->m_Copy)
      Each->m_Copy->stop();
  m_Transfer.m_Uplink->stop();
}

void WeightsSupply::setSource(const WeightsSource &Source) {
  if (Source.m_Origin != m_Source.m_Origin) {
    // Reads from the previous origin may still be in progress.
    if (m_Transfer.m_Origin)
      m_RetiredOrigins.push_back(std::move(m_Transfer.m_Origin));
    m_Transfer.m_Origin =
        net::Adapters<net::Origin>::make(m_Http, "pieces://" + Source.m_Origin);
  }
  m_Source = Source;
  for (const DatedWeights &Each : std::exchange(m_PendingDeclarations, {}))
    onDeclared(Each);
}

void WeightsSupply::setPool(std::vector<FleetInstance> Pool) {
  m_Pool = std::move(Pool);
  std::erase_if(m_Pool, [this](const FleetInstance &Each) {
    return Each.m_Service.m_Text != m_Options.m_Service;
  });
  if (m_Current.m_Copy)
    updateCopyPeers();
}

void WeightsSupply::onDeclared(const DatedWeights &Dated) {
  const DeclaredWeights &Declared = Dated.m_Declared;
  if (!hasSource())
    return m_PendingDeclarations.push_back(Dated);
  if (Declared.m_Model != m_Source.m_Model ||
      !m_Declared.add(Declared.m_Version, Dated.m_Since))
    return;
  m_Wanted = Declared;
  net::log(Event::WeightsDeclared,
           {{"model", Declared.m_Model}, {"version", Declared.m_Version}});
}

bool WeightsSupply::isCopying() const {
  return m_Current.m_Copy && !m_Current.m_Copy->swarm().complete();
}

const char *WeightsSupply::missingStep() const {
  if (!hasSource())
    return "source";
  if (m_Wanted.m_Version == 0)
    return "declared version";
  if (!m_Current.m_Copy)
    return "manifest or list of peers";
  if (!m_Current.m_CompleteAt)
    return "chunks";
  return m_IsLoadPending ? "load" : "load order";
}

/// Keeps the verdict of an earlier copy: a new copy gives none until its first
/// chunks have arrived.
void WeightsSupply::observeLink(const Swarm &S) {
  const LinkQuality Verdict = S.linkQuality();
  if (Verdict != LinkQuality::Unknown)
    m_HasSoundLink = Verdict == LinkQuality::Sound;
}

void WeightsSupply::updateCopyPeers() {
  std::vector<InstanceId> Ids;
  std::map<DataCentreId, std::vector<InstanceId>> ByDataCentre;
  std::vector<PeerAddress> LocalPeers;
  std::vector<PeerAddress> RemotePeers;
  for (const FleetInstance &Each : m_Pool) {
    const std::string Ip = ipOf(Each.m_Address);
    const bool IsLocal = Each.m_DataCentre == m_Options.m_Copy.m_DataCentre;
    // A leaving instance still serves the chunks it holds, but is assigned no
    // reads, so that nobody waits for them: one copy took 9 s instead of 3 s
    // when a tenth of a pool left as a version was declared and the origin
    // became unreachable.
    if (!Each.m_IsLeaving) {
      Ids.push_back({Ip});
      ByDataCentre[Each.m_DataCentre].push_back({Ip});
    }
    (IsLocal ? LocalPeers : RemotePeers)
        .push_back(
            {InstanceId{Ip}, Each.m_DataCentre, Ip + m_Options.m_PeerPort});
  }
  WeightsCopy &Copy = *m_Current.m_Copy;
  Copy.setInstances(std::move(Ids));
  Copy.setDataCentres(ByDataCentre);
  Copy.setPeers(orderPeers(std::move(LocalPeers), std::move(RemotePeers),
                           Copy.swarm().importSources()));
}

std::size_t WeightsSupply::ownRank() const {
  std::vector<PoolMember> Members;
  for (const FleetInstance &Each : m_Pool)
    Members.push_back({ipOf(Each.m_Address), Each.m_DataCentre});
  return swapRank(Members, m_Options.m_Copy.m_Instance.m_Text);
}

std::optional<Duration>
WeightsSupply::timeUntilSwap(const InstanceReport &Report,
                             TimePoint Now) const {
  const Copy *Newest = newestComplete();
  if (!Newest || m_IsLoadPending)
    return std::nullopt;
  return timeToSwap(stateFor(*Newest, Report), Now);
}

WeightsState WeightsSupply::stateFor(const Copy &C,
                                     const InstanceReport &Report) const {
  WeightsState Out;
  Out.m_Wanted = C.m_Weights;
  Out.m_Held = Report.m_Weights;
  Out.m_IsCopyComplete = C.m_CompleteAt.has_value();
  Out.m_IsBusy = !Report.m_TakesRequests;
  Out.m_Rank = ownRank();
  Out.m_PoolSize = std::max<std::size_t>(m_Pool.size(), 1);
  std::uint64_t Held = 0;
  for (const HeldWeights &Each : Report.m_Weights)
    if (Each.m_Model == m_Source.m_Model && Each.m_IsComplete)
      Held = std::max(Held, Each.m_Version);
  Out.m_DeclaredAt = m_Declared.behindSince(Held).value_or(now());
  Out.m_CopiedAt = C.m_CompleteAt.value_or(now());
  Out.m_Bound = m_Options.m_Bound;
  Out.m_Margin = versionMargin(hasSoundLink());
  return Out;
}

/// Logs what a copy without progress waits for, at most once per
/// StallLogInterval.
void WeightsSupply::logStall(Copy &C) {
  const TimePoint Now = now();
  if (Now - std::max(C.m_ProgressAt, C.m_StallLoggedAt) < StallLogInterval)
    return;
  C.m_StallLoggedAt = Now;
  const CopyWait Wait = C.m_Copy->swarm().waitsFor(Now);
  net::log(Event::CopyStalled,
           {{"weights", C.m_Copy->manifest().m_Weights.m_Text},
            {"missing", std::uint64_t{Wait.m_Missing}},
            {"chunk", std::uint64_t{Wait.m_Chunk}},
            {"sinceGainMs", msOf(Wait.m_SinceLastChunk)},
            {"near", std::uint64_t{Wait.m_LocalPeers}},
            {"nearHolders", std::uint64_t{Wait.m_LocalHolders}},
            {"far", std::uint64_t{Wait.m_RemotePeers}},
            {"farHolders", std::uint64_t{Wait.m_RemoteHolders}},
            {"asked", std::uint64_t{Wait.m_Asked}},
            {"askedOf", Wait.m_OldestRequestPeer.m_Text},
            {"askedMs", msOf(Wait.m_OldestRequestAge)},
            {"originReads", std::uint64_t{Wait.m_Reading}},
            {"originRestMs", msOf(Wait.m_OriginBackOff)}});
}

/// Records the progress of a copy and logs its completion once.
void WeightsSupply::observe(Copy &C) {
  if (!C.m_Copy)
    return;
  const Swarm &Swarm = C.m_Copy->swarm();
  observeLink(Swarm);
  if (Swarm.here().count() != C.m_Held || C.m_ProgressAt == TimePoint{}) {
    C.m_Held = Swarm.here().count();
    C.m_ProgressAt = now();
  }
  if (!Swarm.complete())
    return logStall(C);
  if (C.m_CompleteAt)
    return;
  C.m_CompleteAt = now();
  const SwarmCounters &Counts = Swarm.counters();
  net::log(Event::CopyComplete,
           {{"weights", C.m_Copy->manifest().m_Weights.m_Text},
            {"fromPeers", Counts.m_FromPeers},
            {"fromOrigin", Counts.m_FromOrigin},
            {"crossings", Counts.m_Crossings},
            {"corrupt", Counts.m_Corrupt},
            {"soundLink", std::uint64_t{hasSoundLink()}}});
}

void WeightsSupply::retirePrevious() {
  const bool IsOld = m_Previous.m_Copy && m_Current.m_Copy &&
                     (m_Current.m_CompleteAt ||
                      now() - *m_Previous.m_CompleteAt > PreviousCopyLifetime);
  if (!IsOld)
    return;
  m_Previous.m_Copy->stop();
  m_Previous = {};
  m_Staging->keepOnly({weightsIdOf(m_Current.m_Weights)});
}

const WeightsSupply::Copy *WeightsSupply::newestComplete() const {
  if (m_Current.m_CompleteAt)
    return &m_Current;
  return m_Previous.m_CompleteAt ? &m_Previous : nullptr;
}

/// Whether a copy of the declared version may replace the current one now.
bool WeightsSupply::mayStartCopy() const {
  if (!m_Current.m_Copy || m_Current.m_CompleteAt)
    return true;
  return !isWorthFinishing({m_Current.m_Held,
                            m_Current.m_Copy->manifest().chunkCount(),
                            now() - m_Current.m_ProgressAt});
}

asio::awaitable<void> WeightsSupply::step(const InstanceReport &Report) {
  if (!hasSource())
    co_return;
  // Without a declared version the first one is used.
  if (m_Wanted.m_Version == 0)
    onDeclared({{m_Source.m_Model, FirstVersion}, now()});
  observe(m_Current);
  retirePrevious();
  const bool IsWanted = m_Current.m_Copy && m_Current.m_Weights == m_Wanted;
  const bool IsManifestSuspect =
      isCopying() &&
      m_Current.m_Copy->swarm().counters().m_Corrupt >= MaxCorruptChunks;
  if (IsManifestSuspect || (!IsWanted && mayStartCopy()))
    co_await startCopy();
  if (m_IsLoadPending && now() - m_LoadOrderedAt > LoadOrderSettleTime &&
      Report.m_TakesRequests)
    m_IsLoadPending = false;
  const Copy *Newest = newestComplete();
  if (!Newest || m_IsLoadPending)
    co_return;
  const WeightsStep Next = nextWeightsStep(stateFor(*Newest, Report), now());
  // Staging holds one version: the newest complete one stays there until it is
  // loaded.
  const bool IsLoaded = Next == WeightsStep::Serve;
  m_Staging->writeBehind(
      weightsIdOf((IsLoaded ? m_Current : *Newest).m_Weights));
  if (Next == WeightsStep::Load)
    co_await orderLoad(*Newest);
}

asio::awaitable<void> WeightsSupply::startCopy() {
  if (!m_Transfer.m_Origin)
    co_return;
  const DeclaredWeights Wanted = m_Wanted;
  const WeightsId Weights = weightsIdOf(Wanted);
  auto Read = co_await m_Transfer.m_Origin->manifest(Weights);
  if (!Read) {
    net::log(Event::ManifestUnavailable,
             {{"weights", Weights.m_Text}, {"error", Read.error().m_Message}});
    co_return co_await sleepFor(ManifestRetry);
  }
  // The list of peers decides who reads which chunk from the origin; an
  // instance that knows of no peers would read a whole copy itself.
  if (!co_await m_Calls.m_ListInstances())
    co_return co_await sleepFor(ManifestRetry);
  if (m_Current.m_CompleteAt && m_Current.m_Weights != Wanted) {
    if (m_Previous.m_Copy)
      m_Previous.m_Copy->stop();
    m_Previous = std::exchange(m_Current, {});
  } else if (m_Current.m_Copy) {
    m_Current.m_Copy->stop();
  }
  std::set<WeightsId> Kept{Weights};
  if (m_Previous.m_Copy)
    Kept.insert(weightsIdOf(m_Previous.m_Weights));
  else
    m_Staging->writeBehind(Weights);
  m_Staging->keepOnly(std::move(Kept));
  const SwarmOptions Options = swarmOptions(
      m_Options.m_Copy.m_Weights, Read->m_ChunkBytes, m_Source.m_OriginMbps);
  m_Current = {};
  m_Current.m_Weights = Wanted;
  m_Current.m_Copy =
      std::make_shared<WeightsCopy>(m_Transfer, std::move(*Read), Options);
  const std::shared_ptr<WeightsCopy> Copy = m_Current.m_Copy;
  const std::uint32_t Chunks = Copy->manifest().chunkCount();
  net::log(Event::CopyStarted,
           {{"weights", Weights.m_Text}, {"chunks", std::uint64_t{Chunks}}});
  // Staging does not record the version of its chunks; their digests show it.
  EngineStatus Staged;
  Staged.m_Staging.push_back({Weights, {}});
  for (std::uint32_t I = 0; I < Chunks; ++I)
    Staged.m_Staging.back().m_Chunks.push_back(I);
  co_await Copy->recover(std::move(Staged), {});
  // Before the start: which chunks this agent reads depends on its peers.
  updateCopyPeers();
  Copy->start();
}

asio::awaitable<void> WeightsSupply::orderLoad(const Copy &C) {
  const std::shared_ptr<WeightsCopy> Copy = C.m_Copy;
  const DeclaredWeights Ordered = C.m_Weights;
  const Manifest &Wanted = Copy->manifest();
  // Checked immediately before the order: the instance loads whatever staging
  // holds when it accepts.
  const StagedState Staged = co_await m_Staging->verifyAndRepair(Wanted);
  if (Staged == StagedState::Uncertain)
    co_return;
  if (Staged == StagedState::Unrepairable) {
    // A later step starts a new copy with the chunks that are still good.
    (m_Current.m_Copy == Copy ? m_Current : m_Previous) = {};
    Copy->stop();
    co_return;
  }
  m_IsLoadPending = true;
  m_LoadOrderedAt = now();
  m_PendingVersion = Ordered.m_Version;
  m_Calls.m_OnOrder();
  const auto Done = co_await m_Engine.load(Wanted, FencingNumber{});
  if (!Done && Done.error().m_Code == ErrorCode::Timeout)
    m_Staging->noteUnansweredOrder(Wanted.m_Weights);
  net::log(Done ? Event::OrderSent : Event::EngineOrderRefused,
           {{"weights", Wanted.m_Weights.m_Text},
            {"error", Done ? "" : Done.error().m_Message}});
}

asio::awaitable<void> WeightsSupply::acceptPeers() {
  while (!m_Stopped) {
    auto [Ec, Socket] = co_await m_Acceptor.async_accept(UseAwaitable);
    if (Ec) {
      co_await sleepFor(AcceptRetry);
      continue;
    }
    net::tuneBulkSocket(Socket);
    auto Connection = std::make_shared<BulkConnection>(std::move(Socket));
    auto Session = admit(Connection);
    if (!Session)
      continue;
    Connection->start();
    asio::co_spawn(m_Io,
                   acceptHello(std::move(Connection), std::move(*Session)),
                   asio::detached);
  }
}

/// Admits a peer that is to send its hello; nothing if there is no room for it.
std::optional<net::ClientSession>
WeightsSupply::admit(const std::shared_ptr<BulkConnection> &Connection) {
  boost::system::error_code Ec;
  const auto Remote = Connection->socket().remote_endpoint(Ec);
  if (Ec)
    return std::nullopt; // The peer has gone.
  const std::weak_ptr<BulkConnection> Weak = Connection;
  auto Session = m_Options.m_Clients->open(
      Listener::Peers, net::formatEndpoint(Remote), [this, Weak] {
        if (const auto Evicted = Weak.lock())
          asio::post(m_Io, [Evicted] { Evicted->close(); });
      });
  if (!Session)
    return std::nullopt;
  Session->enter(ClientPhase::Receiving);
  if (!Session->hold(MaxHelloBytes)) {
    Session->noteRefusal(net::ClientRefusal::NoBytes);
    return std::nullopt;
  }
  return Session;
}

/// The session is kept until the connection has ended.
asio::awaitable<void>
WeightsSupply::acceptHello(std::shared_ptr<BulkConnection> Connection,
                           net::ClientSession Session) {
  asio::steady_timer Limit(m_Io, PeerHelloTimeout);
  Limit.async_wait([Connection](const boost::system::error_code &Ec) {
    if (!Ec)
      Connection->close();
  });
  auto First = co_await net::readBulk(Connection->socket(), MaxHelloBytes);
  Limit.cancel();
  Session.enter(ClientPhase::Answering);
  Session.hold(0);
  if (First && First->m_Header.has_hello()) {
    const std::string &Weights = First->m_Header.hello().weights();
    for (const Copy *Each : {&m_Current, &m_Previous}) {
      const std::shared_ptr<WeightsCopy> Copy = Each->m_Copy;
      if (Copy && weightsIdOf(Each->m_Weights).m_Text == Weights)
        co_return co_await Copy->accept(std::move(Connection),
                                        First->m_Header.hello());
    }
  }
  Connection->close();
}

boost::json::object WeightsSupply::dump() const {
  boost::json::object Out{{"wanted", weightsIdOf(m_Wanted).m_Text}};
  if (!m_Current.m_Copy)
    return Out;
  const Swarm &Swarm = m_Current.m_Copy->swarm();
  const SwarmCounters &Counts = Swarm.counters();
  Out["copy"] = boost::json::object{
      {"weights", m_Current.m_Copy->manifest().m_Weights.m_Text},
      {"chunksHeld", Swarm.here().count()},
      {"peers", Swarm.peerCount()},
      {"soundLink", hasSoundLink()},
      {"fromPeers", Counts.m_FromPeers},
      {"fromOrigin", Counts.m_FromOrigin},
      {"crossings", Counts.m_Crossings},
      {"corrupt", Counts.m_Corrupt}};
  return Out;
}

} // namespace deckpitch::direct
