#include "daemon/weights-agent.h"

#include "net/listen.h"
#include "net/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch::daemon {

namespace {

using asio::ip::tcp;
constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr Duration BusyInterval = std::chrono::milliseconds(50);
constexpr Duration IdleInterval = std::chrono::milliseconds(500);
constexpr Duration RetryDelay = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds HealthTimeout{2'000};
constexpr std::size_t MaxHealthBytes = std::size_t{64} * 1024;
constexpr Duration HelloTimeout = std::chrono::seconds(5);

std::vector<InstanceId> holdersOf(const WeightsId &Weights,
                                  const DeclarationSet &Declarations) {
  std::vector<InstanceId> Out;
  for (const auto &[Id, Assigned] :
       Declarations.m_Assignment.m_Value.m_Instances) {
    const InstanceGoal Goal = goalOf(Declarations, Id);
    if (Goal.m_Prefetch == Weights || Goal.m_Activate == Weights)
      Out.push_back(Id);
  }
  return Out;
}

std::unique_ptr<net::Origin> makeStore(Process &In) {
  const std::string &Address = In.m_Settings.m_Weights.m_Store;
  if (Address.empty())
    return nullptr;
  return net::Adapters<net::Origin>::make(In.m_Http, Address);
}

} // namespace

WeightsAgent::WeightsAgent(Process &In, asio::io_context &Io,
                           RequestPeers OnPeersWanted)
    : m_Process(In), m_Io(Io), m_RequestPeers(std::move(OnPeersWanted)),
      m_Context{Io,
                In.m_Settings,
                In.m_Incarnation,
                net::Adapters<net::Engine>::make(
                    In.m_Http, In.m_Settings.m_Upstream.m_Address),
                net::Adapters<net::Origin>::make(
                    In.m_Http, In.m_Settings.m_Weights.m_Origin),
                makeStore(In),
                makeShapedLink(In.m_Settings.m_Weights),
                nullptr},
      m_Acceptor(Io), m_Wake(Io) {
  m_Context.m_Uplink = std::make_shared<Uplink>(Io, m_Context.m_Link.m_Up);
}

Result<std::string> WeightsAgent::listen() {
  return net::openAcceptor(m_Acceptor, m_Process.m_Settings.m_Listen.m_Bulk);
}

void WeightsAgent::start() {
  auto Run = [](std::shared_ptr<WeightsAgent> Self) -> asio::awaitable<void> {
    co_await Self->run();
  };
  auto Accept =
      [](std::shared_ptr<WeightsAgent> Self) -> asio::awaitable<void> {
    co_await Self->acceptPeers();
  };
  m_Context.m_Uplink->start();
  asio::co_spawn(m_Io, Run(shared_from_this()), asio::detached);
  asio::co_spawn(m_Io, Accept(shared_from_this()), asio::detached);
}

void WeightsAgent::stop() {
  m_Stopped = true;
  boost::system::error_code Ignored;
  m_Acceptor.close(Ignored);
  m_Wake.cancel();
  m_Context.m_Uplink->stop();
  for (auto &[Weights, Each] : m_Copies)
    Each->stop();
}

void WeightsAgent::wake() { m_Wake.cancel(); }

asio::awaitable<void> WeightsAgent::run() {
  if (m_Process.m_Settings.m_Upstream.m_Kind == PoolKind::Service) {
    co_await watchService();
    co_return;
  }
  while (!m_Stopped) {
    const Duration Delay = co_await reconcile();
    m_Wake.expires_after(Delay);
    co_await m_Wake.async_wait(UseAwaitable);
  }
}

asio::awaitable<void> WeightsAgent::watchService() {
  ServingReport Report;
  Report.m_Pool = m_Process.m_Settings.m_Upstream.m_Pool;
  while (!m_Stopped) {
    Report.m_Ready = co_await isServiceHealthy();
    Report.m_Condition = Report.m_Ready ? "Serving" : "Unhealthy";
    publish(Report);
    m_Wake.expires_after(IdleInterval);
    co_await m_Wake.async_wait(UseAwaitable);
  }
}

asio::awaitable<bool> WeightsAgent::isServiceHealthy() {
  net::HttpRequest Request{"GET", "/v1/health"};
  constexpr net::CallLimits Limits{.m_FirstByte = HealthTimeout,
                                   .m_ReadTimeout = HealthTimeout,
                                   .m_BodyTimeout = HealthTimeout,
                                   .m_BodyBytes = MaxHealthBytes};
  const auto Answer = co_await m_Process.m_Http.call(
      m_Process.requestAddress(), std::move(Request), Limits);
  co_return Answer && Answer->m_Status == 200;
}

/// Compares the declarations with the engine's status and performs the next
/// step. Returns the delay until the next call.
asio::awaitable<Duration> WeightsAgent::reconcile() {
  const auto Declarations = m_Process.m_Declarations.load();
  const std::uint64_t Generation = m_Process.m_Declarations.generation();
  m_Goal = goalOf(*Declarations, m_Process.m_Settings.m_Instance);
  auto Engine = co_await m_Context.m_Engine->status();
  if (!Engine) {
    publish(ServingReport{m_Goal.m_Pool, {}, {}, false, 0, 0, "EngineDown"});
    co_return RetryDelay;
  }
  std::erase_if(m_LoadedByAgent,
                [&](const auto &Each) { return !Engine->find(Each.first); });
  const RolloutStep Step =
      nextStep(m_Goal, *Engine, copyStates(), m_LastServed,
               m_Process.m_InFlight.load(std::memory_order_relaxed));
  if (Step.m_Kind == StepKind::Serve)
    m_LastServed = {m_Goal.m_Pool, m_Goal.m_Activate};
  stopUnwantedCopies(Step);
  if (Generation != m_Generation)
    updateCopies(*Declarations);
  m_Generation = Generation;
  publish(Step, *Engine);
  co_await perform(Step, *Engine);
  const bool IsSettled =
      Step.m_Kind == StepKind::Serve || Step.m_Kind == StepKind::Idle;
  co_return IsSettled ? IdleInterval : BusyInterval;
}

std::vector<CopyState> WeightsAgent::copyStates() const {
  std::vector<CopyState> Out;
  for (const auto &[Weights, Each] : m_Copies)
    Out.push_back(Each->state());
  for (const auto &[Weights, Each] : m_LoadedByAgent)
    if (!m_Copies.contains(Weights))
      Out.push_back(Each);
  return Out;
}

bool WeightsAgent::wanted(const WeightsId &Weights) const {
  if (Weights == m_Goal.m_Activate || Weights == m_Goal.m_Prefetch ||
      Weights == m_LastServed.m_Weights)
    return true;
  return std::any_of(m_Copies.begin(), m_Copies.end(), [&](const auto &Each) {
    const bool IsGoal =
        Each.first == m_Goal.m_Activate || Each.first == m_Goal.m_Prefetch;
    return IsGoal && Each.second->manifest().m_Base == Weights;
  });
}

/// Stops copies that are neither wanted nor part of the current step.
void WeightsAgent::stopUnwantedCopies(const RolloutStep &Step) {
  for (auto It = m_Copies.begin(); It != m_Copies.end();) {
    if (wanted(It->first) || It->first == Step.m_Weights) {
      ++It;
      continue;
    }
    net::log(Event::CopyAbandoned, {{"weights", It->first.m_Text}});
    It->second->stop();
    It = m_Copies.erase(It);
  }
}

void WeightsAgent::updateCopies(const DeclarationSet &Declarations) {
  for (auto &[Weights, Each] : m_Copies) {
    Each->setInstances(holdersOf(Weights, Declarations));
    Each->setPreference(m_Goal.m_Preference);
  }
}

asio::awaitable<void> WeightsAgent::perform(RolloutStep Step,
                                            EngineStatus Engine) {
  switch (Step.m_Kind) {
  case StepKind::Copy:
    co_await copy(Step.m_Weights, std::move(Engine));
    break;
  case StepKind::Load:
    co_await load(Step.m_Weights);
    break;
  case StepKind::Activate:
  case StepKind::Unload:
    co_await activateOrUnload(Step);
    break;
  case StepKind::Serve:
    co_await resumeSeeding(Engine);
    co_await freeUnusedStaging(std::move(Engine));
    break;
  case StepKind::Idle:
  case StepKind::Drain:
    break;
  }
}

asio::awaitable<void> WeightsAgent::copy(WeightsId Weights,
                                         EngineStatus Engine) {
  const auto Found = m_Copies.find(Weights);
  if (Found != m_Copies.end()) {
    if (Found->second->originChanged())
      co_await discardChangedCopy(Weights);
    co_return;
  }
  auto Wanted = co_await fetchManifest(Weights);
  if (!Wanted || m_Stopped)
    co_return;
  net::log(Event::CopyStarted, {{"weights", Weights.m_Text},
                                {"bytes", Wanted->m_Bytes},
                                {"digest", toHex(Wanted->m_Whole)}});
  const SwarmOptions Options =
      swarmOptionsFor(m_Process.m_Settings.m_Weights, Wanted->m_ChunkBytes);
  auto NewCopy = std::make_shared<WeightsCopy>(m_Context, *Wanted, Options);
  NewCopy->setInstances(holdersOf(Weights, *m_Process.m_Declarations.load()));
  NewCopy->setPreference(m_Goal.m_Preference);
  std::vector<Manifest> Others = m_Manifests;
  std::erase_if(m_Manifests, [&](const Manifest &Each) {
    return Each.m_Weights == Weights;
  });
  m_Manifests.push_back(*Wanted);
  co_await NewCopy->recover(std::move(Engine), std::move(Others));
  NewCopy->onAskForPeers([this, Weights] { m_RequestPeers(Weights); });
  NewCopy->onChunkStaged([this, Weights] {
    const auto Copy = m_Copies.find(Weights);
    if (Copy == m_Copies.end() || !Copy->second->swarm().complete())
      return;
    net::log(Event::CopyComplete, {{"weights", Weights.m_Text}});
    wake();
  });
  m_Copies[Weights] = NewCopy;
  NewCopy->setPeers(m_Peers[Weights]);
  NewCopy->start();
  m_RequestPeers(Weights);
}

/// Discards a copy whose origin now has other content under the same name. The
/// next copy starts from the new manifest and keeps chunks with equal digests.
asio::awaitable<void> WeightsAgent::discardChangedCopy(WeightsId Weights) {
  const auto Current = co_await fetchManifest(Weights);
  const auto Found = m_Copies.find(Weights);
  if (!Current || Found == m_Copies.end() ||
      Current->m_Whole == Found->second->manifest().m_Whole)
    co_return;
  net::log(Event::OriginContentChanged,
           {{"weights", Weights.m_Text}, {"digest", toHex(Current->m_Whole)}});
  Found->second->stop();
  m_Copies.erase(Found);
}

asio::awaitable<std::optional<Manifest>>
WeightsAgent::fetchManifest(WeightsId Weights) {
  auto Fetched = co_await m_Context.m_Origin->manifest(Weights);
  if (!Fetched && m_Context.m_Store)
    Fetched = co_await m_Context.m_Store->manifest(Weights);
  if (Fetched)
    co_return *Fetched;
  net::log(Event::ManifestUnavailable,
           {{"weights", Weights.m_Text}, {"error", Fetched.error().m_Message}});
  co_await sleepFor(RetryDelay);
  co_return std::nullopt;
}

asio::awaitable<void> WeightsAgent::load(WeightsId Weights) {
  const auto Copy = m_Copies.at(Weights);
  const auto Done =
      co_await m_Context.m_Engine->load(Copy->manifest(), m_Goal.m_Fence);
  if (Done) {
    // Not marked complete: staging may be freed while the weights stay loaded.
    CopyState State = Copy->state();
    State.m_Complete = false;
    m_LoadedByAgent[Weights] = std::move(State);
    co_return;
  }
  recordRefusal(Done.error(), Weights);
  if (Done.error().m_Code == ErrorCode::CorruptData) {
    // The next copy verifies the staged chunks and fetches the corrupt ones.
    Copy->stop();
    m_Copies.erase(Weights);
  }
  co_await sleepFor(RetryDelay);
}

asio::awaitable<void> WeightsAgent::activateOrUnload(RolloutStep Step) {
  Outcome<bool> Done = Error{};
  if (Step.m_Kind == StepKind::Activate)
    Done =
        co_await m_Context.m_Engine->activate(Step.m_Weights, m_Goal.m_Fence);
  else
    Done = co_await m_Context.m_Engine->unload(Step.m_Weights, m_Goal.m_Fence);
  if (!Done) {
    recordRefusal(Done.error(), Step.m_Weights);
    co_await sleepFor(RetryDelay);
    co_return;
  }
  if (Step.m_Kind == StepKind::Activate)
    net::log(Event::WeightsActivated, {{"weights", Step.m_Weights.m_Text},
                                       {"fence", m_Goal.m_Fence.m_Value}});
}

void WeightsAgent::recordRefusal(const Error &Cause, const WeightsId &Weights) {
  m_LastRefusal = Cause.m_Message;
  net::log(Event::EngineOrderRefused,
           {{"weights", Weights.m_Text}, {"error", Cause.m_Message}});
}

/// After a restart of the agent, serves peers again from complete staging of
/// the active weights.
asio::awaitable<void> WeightsAgent::resumeSeeding(const EngineStatus &Engine) {
  const WeightsId Weights = m_Goal.m_Activate;
  const bool Staged = std::any_of(
      Engine.m_Staging.begin(), Engine.m_Staging.end(),
      [&](const StagedWeights &Each) { return Each.m_Weights == Weights; });
  if (!Staged || m_Copies.contains(Weights))
    co_return;
  auto Held = co_await fetchManifest(Weights);
  const LoadedWeights *Active = Engine.active();
  if (!Held || !Active || Held->m_Whole != Active->m_Digest || m_Stopped)
    co_return;
  const SwarmOptions Options =
      swarmOptionsFor(m_Process.m_Settings.m_Weights, Held->m_ChunkBytes);
  auto NewCopy = std::make_shared<WeightsCopy>(m_Context, *Held, Options);
  co_await NewCopy->recover(Engine, {});
  if (!NewCopy->swarm().complete())
    co_return;
  m_Copies[Weights] = NewCopy;
  m_Manifests.push_back(*Held);
  NewCopy->start();
}

/// Frees the staging of weights that are no longer wanted.
asio::awaitable<void> WeightsAgent::freeUnusedStaging(EngineStatus Engine) {
  for (const StagedWeights &Each : Engine.m_Staging) {
    if (wanted(Each.m_Weights))
      continue;
    std::erase_if(m_Manifests, [&](const Manifest &Held) {
      return Held.m_Weights == Each.m_Weights;
    });
    co_await m_Context.m_Engine->dropStaging(Each.m_Weights);
  }
}

void WeightsAgent::publish(const RolloutStep &Step,
                           const EngineStatus &Engine) {
  ServingReport Next;
  Next.m_Pool = m_Goal.m_Pool;
  Next.m_Ready = Step.m_Ready;
  Next.m_Condition = Step.m_Condition;
  if (const LoadedWeights *Active = Engine.active()) {
    Next.m_Weights = Active->m_Weights;
    Next.m_Digest = Active->m_Digest;
  }
  const auto Copy = m_Copies.find(m_Goal.m_Prefetch);
  if (Copy != m_Copies.end()) {
    Next.m_ChunksHeld = Copy->second->swarm().here().count();
    Next.m_ChunksTotal = Copy->second->manifest().chunkCount();
  }
  publish(std::move(Next));
}

void WeightsAgent::publish(ServingReport Next) {
  if (*m_Process.m_Serving.load() != Next)
    m_Process.m_Serving.publish(
        std::make_shared<const ServingReport>(std::move(Next)));
}

void WeightsAgent::setPeers(const WeightsId &Weights,
                            std::vector<PeerAddress> Peers) {
  m_Peers[Weights] = Peers;
  const auto Copy = m_Copies.find(Weights);
  if (Copy != m_Copies.end())
    Copy->second->setPeers(std::move(Peers));
}

asio::awaitable<void> WeightsAgent::acceptPeers() {
  while (!m_Stopped) {
    auto [Ec, Socket] = co_await m_Acceptor.async_accept(UseAwaitable);
    if (Ec) {
      co_await sleepFor(BusyInterval);
      continue;
    }
    net::tuneBulkSocket(Socket);
    auto Connection = std::make_shared<BulkConnection>(std::move(Socket));
    Connection->start();
    auto AcceptHello =
        [](std::shared_ptr<WeightsAgent> Self,
           std::shared_ptr<BulkConnection> With) -> asio::awaitable<void> {
      co_await Self->acceptHello(std::move(With));
    };
    asio::co_spawn(m_Io, AcceptHello(shared_from_this(), std::move(Connection)),
                   asio::detached);
  }
}

asio::awaitable<void>
WeightsAgent::acceptHello(std::shared_ptr<BulkConnection> Connection) {
  asio::steady_timer Limit(m_Io, HelloTimeout);
  Limit.async_wait([Connection](const boost::system::error_code &Ec) {
    if (!Ec)
      Connection->close();
  });
  auto First = co_await net::readBulk(Connection->socket());
  Limit.cancel();
  if (!First || !First->m_Header.has_hello() || m_Stopped) {
    Connection->close();
    co_return;
  }
  wire::BulkHello Hello = First->m_Header.hello();
  const auto Copy = m_Copies.find(WeightsId{Hello.weights()});
  if (Copy == m_Copies.end()) {
    Connection->close();
    co_return;
  }
  const std::shared_ptr<WeightsCopy> Held = Copy->second;
  co_await Held->accept(std::move(Connection), std::move(Hello));
}

boost::json::object WeightsAgent::dump() const {
  boost::json::array Copies;
  for (const auto &[Weights, Each] : m_Copies) {
    const SwarmCounters &Counts = Each->swarm().counters();
    Copies.push_back(
        boost::json::object{{"weights", Weights.m_Text},
                            {"digest", toHex(Each->manifest().m_Whole)},
                            {"chunksHeld", Each->swarm().here().count()},
                            {"chunks", Each->manifest().chunkCount()},
                            {"peers", Each->swarm().peerCount()},
                            {"fromPeers", Counts.m_FromPeers},
                            {"fromOrigin", Counts.m_FromOrigin},
                            {"duplicates", Counts.m_Duplicates},
                            {"corrupt", Counts.m_Corrupt},
                            {"hedges", Counts.m_Hedges},
                            {"stalls", Counts.m_Stalls},
                            {"crossings", Counts.m_Crossings}});
  }
  return {{"pool", m_Goal.m_Pool.m_Text},
          {"activate", m_Goal.m_Activate.m_Text},
          {"prefetch", m_Goal.m_Prefetch.m_Text},
          {"fence", m_Goal.m_Fence.m_Value},
          {"condition", m_Process.m_Serving.load()->m_Condition},
          {"lastRefusal", m_LastRefusal},
          {"bytesSentToPeers", m_Context.m_Uplink->bytesSent()},
          {"copies", std::move(Copies)}};
}

} // namespace deckpitch::daemon
