// The entry process of a fleet: serves callers, the directory and readiness
// checks.
#include "daemon/clock.h"
#include "direct/adapter.h"
#include "direct/entry-directory.h"
#include "direct/entry-drain.h"
#include "direct/entry-link.h"
#include "direct/entry-peers.h"
#include "direct/entry-rate-limits.h"
#include "direct/entry-registration.h"
#include "direct/entry-requests.h"
#include "direct/fleet-follower.h"
#include "direct/harmful-request-tracker.h"
#include "direct/role.h"
#include "direct/store-relay.h"
#include "net/adapters.h"
#include "net/log.h"
#include "net/metrics.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr Duration TickInterval = milliseconds(100);
constexpr net::HttpLimits SmallLimits{
    std::size_t{8} * 1024, std::size_t{64} * 1024, milliseconds(2'000),
    milliseconds(30'000),  milliseconds(5'000),    true};

/// Share of an evacuation's bound after which streams that still run in the
/// data centre are moved: most have ended by then.
constexpr double EvacuationDrainShare = 0.5;

/// Between two lines about what an entry that is not ready waits for.
constexpr Duration LackingLogInterval = milliseconds(1'000);

/// Most lines that one declaration may log about its regions.
constexpr std::size_t MaxRegionProblems = 20;

/// Logs restrictions to regions that could not be read or that name an unknown
/// region. Nothing is served in one.
void logRegionProblems(const FleetDeclaration &Declaration,
                       const RegionMap &Known) {
  std::vector<std::string> Found = Declaration.m_Problems;
  const auto Check = [&](const AllowedRegions &Regions, std::string Owner) {
    for (const RegionId &Each : Regions.named())
      if (!Known.contains(Each))
        Found.push_back(Owner + ": unknown region " + Each.m_Text);
  };
  for (const ServiceRoute &Each : Declaration.m_Routes)
    Check(Each.m_Regions, "route " + Each.m_Name);
  for (const OrganisationKeys &Each : Declaration.m_Organisations)
    Check(Each.m_Regions, "organisation " + Each.m_Organisation.m_Text);
  for (std::size_t I = 0; I < std::min(Found.size(), MaxRegionProblems); ++I)
    net::log(Event::RegionsUnreadable,
             {{"declaration", Declaration.m_Version},
              {"problem", Found[I]},
              {"problems", std::uint64_t{Found.size()}}});
}

class Entry final : public DirectRole {
public:
  explicit Entry(DirectContext &Context);

  Result<void> start() override;
  void apply(const DirectSettings &Settings) override;
  void drain(std::function<void()> OnDone) override;
  void stop() override;
  boost::json::object dump() const override;

private:
  FleetFollower::Callbacks followerCalls();
  asio::awaitable<void> tick();
  void noteReadiness();
  void logLacking(TimePoint Now);
  boost::json::array lackingNames() const;
  StoreFreshness listFreshness();
  void setEvacuated(const std::set<DataCentreId> &DataCentres);
  void moveStreamsFromEvacuated(TimePoint Now);
  boost::json::array evacuatedNames() const;
  void logListFreshness();
  bool isReady() const;
  static EntryAddress ownAddress(const DirectSettings &Settings);
  net::HttpLimits callerLimits(const CallerLimits &Declared) const;

  DirectContext &m_Context;
  asio::io_context &m_Io;
  const FleetAdapter &m_Adapter;
  net::HttpClient m_Http;
  std::unique_ptr<net::Platform> m_Store;
  InstanceTable m_Instances;
  HarmfulRequestTracker m_Harmful;
  EntryRequests m_Requests;
  EntryPeers m_Peers;
  EntryRateLimits m_RateLimits;
  StoreRelay m_Relay;
  FleetFollower m_Follower;
  EntryLink m_Link;
  EntryRegistration m_Registration;
  EntryDirectory m_Directory;
  net::HttpServer m_CallerServer;
  net::HttpServer m_ReadyServer;
  net::HttpServer m_DirectoryServer;
  EntryDrain m_Drain;
  std::set<DataCentreId> m_Evacuated;
  bool m_WasReady = false;
  TimePoint m_Start = now();
  TimePoint m_NextLackingLog = m_Start + LackingLogInterval;
  bool m_WasListOutdated = false; ///< the instance list
  bool m_Stopped = false;
};

Entry::Entry(DirectContext &Context)
    : m_Context(Context), m_Io(Context.m_Threads.control()),
      m_Adapter(*fleetAdapter()), m_Store(net::Adapters<net::Platform>::make(
                                      m_Http, Context.m_Settings.m_Store)),
      m_Instances(Context.m_Settings.m_DataCentre),
      m_Requests(m_Io, m_Http, m_Adapter, m_Instances, m_Harmful,
                 Context.m_Settings.m_Bounds.m_Retries,
                 answerBytes(Context.m_Settings.m_Limits),
                 [this](SlotQuestion Question) {
                   return m_Link.askSlot(std::move(Question));
                 }),
      m_Peers(ownAddress(Context.m_Settings)),
      m_RateLimits(m_Instances, m_Peers),
      m_Relay(Context.m_Threads, Context.clients()),
      m_Follower(m_Io, m_Http, *m_Store, m_Adapter,
                 {Context.m_Settings.m_Bounds.m_Apply,
                  Context.m_Settings.m_Bounds.m_Drain,
                  Context.m_Settings.m_Bounds.m_Evacuate,
                  Context.m_Settings.m_Bounds.m_ColdStart.has_value()},
                 followerCalls(), &m_Relay),
      m_Link(m_Io, Context.m_Incarnation, Context.m_Settings.m_AgentLinkPort,
             {m_Instances, m_Peers, m_RateLimits, m_Harmful, m_Follower,
              [this] {
                return EntryStatus{isReady(), m_Drain.hasBegun()};
              }}),
      m_Registration(m_Io, *m_Store, m_Peers, m_Harmful,
                     [this](const DatedWeights &Declared) {
                       m_Instances.setWeights({Declared.m_Declared},
                                              Declared.m_Since);
                       m_Follower.noteDeclared(Declared);
                     }),
      m_Directory(m_Adapter, m_Peers, [this] { return isReady(); }),
      m_CallerServer(
          Context.m_Threads,
          [this](net::HttpRequest Request, net::HttpResponder &Answer) {
            return m_Requests.handle(std::move(Request), Answer);
          },
          callerLimits({}),
          {Context.clients(), Listener::Callers,
           [this](const net::HttpRequest &Head) {
             return m_Requests.acceptsBody(Head);
           }}),
      m_ReadyServer(
          Context.m_Threads,
          [this](net::HttpRequest Request, net::HttpResponder &Answer) {
            return m_Directory.answerReady(std::move(Request), Answer);
          },
          SmallLimits, {Context.clients(), Listener::Ready, nullptr}),
      m_DirectoryServer(
          Context.m_Threads,
          [this](net::HttpRequest Request, net::HttpResponder &Answer) {
            return m_Directory.answerAddresses(std::move(Request), Answer);
          },
          SmallLimits, {Context.clients(), Listener::Directory, nullptr}),
      m_Drain(m_Io, m_CallerServer, m_Requests) {
  m_Requests.setFreshness([this] { return m_Follower.declarationFreshness(); },
                          [this] { return listFreshness(); });
  m_Instances.setRegions(Context.m_Settings.m_Regions);
  m_Directory.setRegions(Context.m_Settings.m_Regions);
  m_Instances.setColdStartBound(Context.m_Settings.m_Bounds.m_ColdStart);
  m_Instances.setVersionBound(Context.m_Settings.m_Bounds.m_Version);
  m_Directory.setLifetime(Context.m_Settings.m_Bounds.m_AddressLifetime);
}

EntryAddress Entry::ownAddress(const DirectSettings &Settings) {
  return {Settings.m_Instance, Settings.m_DataCentre, Settings.m_Listen.m_Link,
          Settings.m_Listen.m_Callers};
}

net::HttpLimits Entry::callerLimits(const CallerLimits &Declared) const {
  net::HttpLimits Limits;
  Limits.m_HeaderBytes = Declared.m_HeaderBytes;
  Limits.m_BodyBytes =
      std::min(Declared.m_BodyBytes,
               largestBody(clientLimits(m_Context.m_Settings.m_Limits)));
  Limits.m_HeaderTimeout = Declared.m_HeaderTimeout;
  Limits.m_IdleTimeout = Declared.m_IdleTimeout;
  Limits.m_HalfCloseIsDisconnect = true;
  return Limits;
}

FleetFollower::Callbacks Entry::followerCalls() {
  FleetFollower::Callbacks Calls;
  Calls.m_OnDeclaration = [this](const FleetDeclaration &Declaration) {
    const auto Routes = std::make_shared<const RouteIndex>(Declaration);
    m_Instances.setServices(Declaration.m_Services);
    m_Requests.setDeclaration(Routes);
    m_Directory.setRoutes(Routes);
    logRegionProblems(Declaration, m_Context.m_Settings.m_Regions);
    m_CallerServer.setLimits(callerLimits(Declaration.m_Limits));
    m_Link.setSources(sourcesOf(Declaration));
    noteReadiness();
  };
  Calls.m_OnInstances = [this](const std::vector<FleetInstance> &Listed) {
    m_Instances.setInstances(Listed, now());
    m_Link.hurryAgents(); // New agents need the sources of the weights.
    noteReadiness();
  };
  Calls.m_OnWeights = [this](const std::vector<DatedWeights> &Declared) {
    for (const DatedWeights &Each : Declared)
      m_Instances.setWeights({Each.m_Declared}, Each.m_Since);
    m_Link.setDeclared(Declared);
    m_Registration.setDeclared(m_Follower.seenDeclarations());
  };
  Calls.m_OnEvacuations = [this](const std::set<DataCentreId> &DataCentres) {
    setEvacuated(DataCentres);
    noteReadiness();
  };
  Calls.m_OnUpdate = [this](const wire::StoreNews &News, UpdateReach Reach) {
    m_Link.publish(News, Reach, now());
  };
  return Calls;
}

Result<void> Entry::start() {
  const DirectListen &Listen = m_Context.m_Settings.m_Listen;
  BOOST_LEAF_CHECK(m_CallerServer.listen(Listen.m_Callers));
  if (!Listen.m_Ready.empty())
    BOOST_LEAF_CHECK(m_ReadyServer.listen(Listen.m_Ready));
  if (!Listen.m_Directory.empty())
    BOOST_LEAF_CHECK(m_DirectoryServer.listen(Listen.m_Directory));
  BOOST_LEAF_CHECK(m_Link.listen(Listen.m_Link));
  // Same port as the datagrams, so that a receiver of one can query the sender.
  BOOST_LEAF_CHECK(m_Relay.listen(Listen.m_Link));
  m_Follower.start();
  m_Registration.start();
  asio::co_spawn(m_Io, tick(), asio::detached);
  return {};
}

void Entry::apply(const DirectSettings &Settings) {
  m_Context.m_Settings.m_Bounds = Settings.m_Bounds;
  m_Directory.setLifetime(Settings.m_Bounds.m_AddressLifetime);
}

bool Entry::isReady() const {
  return !m_Drain.hasBegun() && m_Follower.isComplete();
}

/// Until the evacuations are known, any data centre may be evacuated, and
/// nothing is sent.
StoreFreshness Entry::listFreshness() {
  StoreFreshness Out = m_Follower.instancesFreshness();
  Out.m_IsOutdated = Out.m_IsOutdated || !m_Follower.knowsEvacuations();
  return Out;
}

void Entry::setEvacuated(const std::set<DataCentreId> &DataCentres) {
  const auto Log = [this](Event What, const DataCentreId &Each) {
    const bool IsKnown = !m_Context.m_Settings.m_Regions.regionOf(Each).empty();
    net::log(What, {{"dataCentre", Each.m_Text},
                    {"known", std::uint64_t{IsKnown}},
                    {"instances", std::uint64_t{m_Instances.countIn(Each)}}});
  };
  for (const DataCentreId &Each : DataCentres)
    if (!m_Evacuated.contains(Each))
      Log(Event::EvacuationStarted, Each);
  for (const DataCentreId &Each : m_Evacuated)
    if (!DataCentres.contains(Each))
      Log(Event::EvacuationEnded, Each);
  m_Evacuated = DataCentres;
  m_Instances.setEvacuated(DataCentres, now());
  net::metrics()
      .gauge("deckpitch_evacuated_data_centres")
      .set(static_cast<std::int64_t>(DataCentres.size()));
}

void Entry::moveStreamsFromEvacuated(TimePoint Now) {
  const auto &Bound = m_Context.m_Settings.m_Bounds.m_Evacuate;
  if (!Bound)
    return;
  const auto Wait = static_cast<Duration::rep>(
      EvacuationDrainShare * static_cast<double>(Duration(*Bound).count()));
  m_Requests.moveStreamsFromEvacuated(Duration(Wait), Now);
}

void Entry::noteReadiness() {
  if (m_WasReady || !isReady())
    return;
  m_WasReady = true;
  net::log(Event::ProcessReady,
           {{"instances", std::uint64_t{m_Instances.size()}},
            {"startMs", std::uint64_t{msOf(now() - m_Start)}}});
}

/// Logs what the entry waits for until it is ready for the first time.
void Entry::logLacking(TimePoint Now) {
  if (m_WasReady || m_Drain.hasBegun() || Now < m_NextLackingLog)
    return;
  m_NextLackingLog = Now + LackingLogInterval;
  for (const LackingSubject &Each : m_Follower.lacking())
    net::log(Event::ReadinessPending,
             {{"lacks", Each.m_Subject},
              {"forMs", std::uint64_t{msOf(Each.m_For)}},
              {"failures", std::uint64_t{Each.m_Failures}},
              {"error", Each.m_Error}});
}

boost::json::array Entry::lackingNames() const {
  boost::json::array Out;
  for (const LackingSubject &Each : m_Follower.lacking())
    Out.emplace_back(Each.m_Subject);
  return Out;
}

/// Logs when the cached instance list becomes too old to send requests by, and
/// when it is current again.
void Entry::logListFreshness() {
  const StoreFreshness Freshness = m_Follower.instancesFreshness();
  if (Freshness.m_IsOutdated == m_WasListOutdated)
    return;
  m_WasListOutdated = Freshness.m_IsOutdated;
  const auto AgeMs =
      std::chrono::duration_cast<milliseconds>(Freshness.m_Age).count();
  net::log(m_WasListOutdated ? Event::ListOutdated : Event::ListCurrent,
           {{"ageMs", static_cast<std::uint64_t>(AgeMs)}});
}

asio::awaitable<void> Entry::tick() {
  asio::steady_timer Timer(m_Io);
  while (!m_Stopped) {
    const TimePoint Now = now();
    if (m_Link.announceHarmful(Now))
      m_Registration.recordChanged();
    m_Link.sendHellos(Now);
    m_Harmful.removeExpired();
    m_Harmful.setRank(m_Peers.ownRank(Now).m_All);
    m_Instances.setEntries(m_Peers.liveCount(Now));
    m_Requests.setEntries(m_Registration.entriesThatRetry(), Now);
    m_Follower.setRank(m_Peers.ownRank(Now));
    logListFreshness();
    logLacking(Now);
    m_RateLimits.update(Now);
    m_Requests.checkSilence(Now);
    m_Requests.moveStreamsFromSwapping(Now);
    moveStreamsFromEvacuated(Now);
    m_Requests.withdrawOverdue(Now);
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(UseAwaitable);
  }
}

void Entry::drain(std::function<void()> OnDone) {
  m_Drain.begin(m_Context.m_Settings.m_Bounds.m_Grace, std::move(OnDone));
  // Sent at once: callers ask other entries for addresses, which must not
  // include this one any more.
  m_Link.sendHellos(now());
}

void Entry::stop() {
  m_Stopped = true;
  m_Registration.stop();
  m_Follower.stop();
  m_Link.stop();
  m_Relay.stop();
  m_CallerServer.stop();
  m_ReadyServer.stop();
  m_DirectoryServer.stop();
}

boost::json::array Entry::evacuatedNames() const {
  boost::json::array Out;
  for (const DataCentreId &Each : m_Evacuated)
    Out.emplace_back(Each.m_Text);
  return Out;
}

boost::json::object Entry::dump() const {
  return {{"ready", isReady()},
          {"lacks", lackingNames()},
          {"leaving", m_Drain.hasBegun()},
          {"stop", m_Drain.dump()},
          {"entries", m_Peers.liveCount(now())},
          {"instances", m_Instances.size()},
          {"inFlight", m_Instances.inFlight()},
          {"evacuated", evacuatedNames()},
          {"heldAnswerBytes", m_Requests.heldAnswerBytes()},
          {"refusedAsHarmful", m_Harmful.refusedCount()},
          {"rateLimited", m_RateLimits.dump(now())},
          {"openRequests", m_CallerServer.openRequests()},
          {"storeCalls", m_Store->calls()}};
}

} // namespace

std::unique_ptr<DirectRole> makeEntry(DirectContext &Context) {
  return std::make_unique<Entry>(Context);
}

} // namespace deckpitch::direct
