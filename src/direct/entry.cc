// The entry process of a fleet: serves callers, the directory and readiness
// checks.
#include "daemon/clock.h"
#include "deckpitch/link-delay.h"
#include "direct/adapter.h"
#include "direct/entry-peers.h"
#include "direct/entry-rate-limits.h"
#include "direct/entry-record.h"
#include "direct/entry-requests.h"
#include "direct/fleet-follower.h"
#include "direct/harmful-request-tracker.h"
#include "direct/role.h"
#include "direct/slot-client.h"
#include "direct/store-relay.h"
#include "direct/store-updates.h"
#include "net/adapters.h"
#include "net/address.h"
#include "net/log.h"
#include "net/metrics.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
/// Kind of the objects through which entries find each other.
const std::string EntryKind = "deckpitch-entries";
constexpr Duration TickInterval = milliseconds(100);
/// Interval of hellos to each agent, which sends its state for several of these
/// intervals after one.
constexpr Duration SubscribeInterval = milliseconds(1'000);
/// Interval between reads of the stored entries; hellos cover the time between.
constexpr Duration EntriesInterval = std::chrono::seconds(20);
/// Minimum number of entries assumed until the store has listed them.
constexpr std::size_t EntriesBeforeList = 64;
/// Interval between attempts after a failed call to the store.
constexpr Duration RegisterRetryInterval = milliseconds(500);
/// How long a draining entry accepts new requests: callers cache a directory
/// answer for about this long.
constexpr milliseconds AcceptAfterStop{2'500};
/// Part of the grace period that is left unused before the process is killed.
constexpr milliseconds GraceMargin{500};
/// An update from another entry that is late by more than this, against its
/// usual delay, is logged, at most once per interval.
constexpr Duration LateUpdateThreshold = milliseconds(200);
constexpr Duration LateLogInterval = milliseconds(1'000);
constexpr net::HttpLimits SmallLimits{std::size_t{8} * 1024,
                                      std::size_t{64} * 1024,
                                      milliseconds(2'000),
                                      milliseconds(30'000),
                                      milliseconds(5'000),
                                      1'000,
                                      true};

InstanceReport reportOf(const wire::InstanceState &State) {
  InstanceReport Report;
  Report.m_Start = State.start_ms();
  Report.m_Loading = State.loading();
  Report.m_Running = State.running();
  Report.m_Waiting = State.waiting();
  Report.m_TakesRequests = State.takes_requests();
  Report.m_HasSoundLink = State.has_sound_link();
  if (State.has_swap_in_ms())
    Report.m_SwapIn = milliseconds(State.swap_in_ms());
  for (const wire::HeldWeightsState &Each : State.weights())
    Report.m_Weights.push_back(read(Each));
  if (State.has_rate_limit())
    Report.m_RateLimit = read(State.rate_limit(), now());
  return Report;
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
  asio::awaitable<void> answerReady(net::HttpRequest Request,
                                    net::HttpResponder &Answer);
  asio::awaitable<void> answerDirectory(net::HttpRequest Request,
                                        net::HttpResponder &Answer);
  asio::awaitable<void> tick();
  asio::awaitable<void> registerSelf();
  std::size_t entriesThatRetry() const;
  std::string ownRecord() const;
  void addListed(const net::PlatformObject &Record);
  asio::awaitable<bool> writeOwnRecord();
  asio::awaitable<void> waitUntilDrained(std::function<void()> OnDone);
  void onLink(const wire::LinkMessage &Message, const std::string &From);
  void onEntry(const wire::LinkMessage &Message, const std::string &From);
  void onState(const wire::InstanceState &State);
  asio::awaitable<std::optional<SlotReply>> askSlot(SlotQuestion Question);
  std::optional<std::string> grantorOf(const SlotQuestion &Question) const;
  std::string agentOf(const std::string &InstanceAddress) const;
  wire::LinkMessage ownHello() const;
  void announceHarmful(TimePoint Now);
  void sendHellos(TimePoint Now);
  void noteReadiness();
  void logListFreshness();
  bool isReady() const;
  static EntryAddress ownAddress(const DirectSettings &Settings);
  net::HttpLimits callerLimits(const CallerLimits &Declared) const;

  /// An entry that sends hellos or updates.
  struct Sender {
    LinkDelay m_Delay;
    TimePoint m_NextLateLog{};
  };

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
  StateLink m_Link;
  StoreRelay m_Relay;
  SlotClient m_SlotClient;
  FleetFollower m_Follower;
  net::HttpServer m_Callers;
  net::HttpServer m_Ready;
  net::HttpServer m_Directory;
  std::vector<DatedWeights> m_Declared;
  std::vector<WeightsSource> m_Sources;
  std::map<std::string, LinkOrder> m_StateOrder; ///< by instance address
  std::map<std::string, Sender> m_Senders;       ///< by link address
  TimePoint m_NextSubscribe{};
  asio::steady_timer m_RegisterTimer;
  bool m_IsWritten = false; ///< this entry's stored record is current
  bool m_Leaving = false;
  bool m_HasListedEntries = false; ///< the store has listed all entries
  bool m_WasReady = false;
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
                 [this](SlotQuestion Question) {
                   return askSlot(std::move(Question));
                 }),
      m_Peers(ownAddress(Context.m_Settings)),
      m_RateLimits(m_Instances, m_Peers), m_Link(m_Io, Context.m_Incarnation),
      m_Relay(Context.m_Threads), m_SlotClient(m_Io, m_Link),
      m_Follower(m_Io, m_Http, *m_Store, m_Adapter,
                 {Context.m_Settings.m_Bounds.m_Apply,
                  Context.m_Settings.m_Bounds.m_Drain},
                 followerCalls(), &m_Relay),
      m_Callers(
          Context.m_Threads,
          [this](net::HttpRequest Request, net::HttpResponder &Answer) {
            return m_Requests.handle(std::move(Request), Answer);
          },
          callerLimits({})),
      m_Ready(
          Context.m_Threads,
          [this](net::HttpRequest Request, net::HttpResponder &Answer) {
            return answerReady(std::move(Request), Answer);
          },
          SmallLimits),
      m_Directory(
          Context.m_Threads,
          [this](net::HttpRequest Request, net::HttpResponder &Answer) {
            return answerDirectory(std::move(Request), Answer);
          },
          SmallLimits),
      m_RegisterTimer(m_Io) {
  m_Requests.setFreshness([this] { return m_Follower.declarationFreshness(); },
                          [this] { return m_Follower.instancesFreshness(); });
  m_Instances.setVersionBound(Context.m_Settings.m_Bounds.m_Version);
}

EntryAddress Entry::ownAddress(const DirectSettings &Settings) {
  return {Settings.m_Instance, Settings.m_DataCentre, Settings.m_Listen.m_Link,
          Settings.m_Listen.m_Callers};
}

net::HttpLimits Entry::callerLimits(const CallerLimits &Declared) const {
  net::HttpLimits Limits;
  Limits.m_HeaderBytes = Declared.m_HeaderBytes;
  Limits.m_BodyBytes = Declared.m_BodyBytes;
  Limits.m_HeaderTimeout = Declared.m_HeaderTimeout;
  Limits.m_IdleTimeout = Declared.m_IdleTimeout;
  Limits.m_HalfCloseIsDisconnect = true;
  return Limits;
}

FleetFollower::Callbacks Entry::followerCalls() {
  FleetFollower::Callbacks Calls;
  Calls.m_OnDeclaration = [this](const FleetDeclaration &Declaration) {
    m_Instances.setServices(Declaration.m_Services);
    m_Requests.setDeclaration(Declaration);
    m_Callers.setLimits(callerLimits(Declaration.m_Limits));
    m_Sources = sourcesOf(Declaration);
    noteReadiness();
  };
  Calls.m_OnInstances = [this](const std::vector<FleetInstance> &Listed) {
    m_Instances.setInstances(Listed, now());
    m_NextSubscribe = {}; // Sends the weights' sources to new agents at once.
    noteReadiness();
  };
  Calls.m_OnWeights = [this](const std::vector<DatedWeights> &Declared) {
    m_Declared = Declared;
    for (const DatedWeights &Each : Declared)
      m_Instances.setWeights({Each.m_Declared}, Each.m_Since);
    m_NextSubscribe = {}; // Sends a hello with the change to all agents.
  };
  Calls.m_OnUpdate = [this](const wire::StoreNews &News, UpdateReach Reach) {
    wire::LinkMessage Message;
    *Message.mutable_news() = News;
    for (const std::string &To : m_Peers.group(now(), Reach))
      m_Link.send(To, Message);
  };
  return Calls;
}

Result<void> Entry::start() {
  const DirectListen &Listen = m_Context.m_Settings.m_Listen;
  BOOST_LEAF_CHECK(m_Callers.listen(Listen.m_Callers));
  if (!Listen.m_Ready.empty())
    BOOST_LEAF_CHECK(m_Ready.listen(Listen.m_Ready));
  if (!Listen.m_Directory.empty())
    BOOST_LEAF_CHECK(m_Directory.listen(Listen.m_Directory));
  BOOST_LEAF_CHECK(
      m_Link.listen(Listen.m_Link, [this](const wire::LinkMessage &Message,
                                          const std::string &From) {
        onLink(Message, From);
      }));
  // Same port as the datagrams, so that a receiver of one can query the sender.
  BOOST_LEAF_CHECK(m_Relay.listen(Listen.m_Link));
  m_Follower.start();
  asio::co_spawn(m_Io, registerSelf(), asio::detached);
  asio::co_spawn(m_Io, tick(), asio::detached);
  return {};
}

void Entry::apply(const DirectSettings &Settings) {
  m_Context.m_Settings.m_Bounds = Settings.m_Bounds;
}

bool Entry::isReady() const {
  return !m_Leaving && m_Follower.knowsDeclaration() &&
         m_Follower.knowsInstances();
}

void Entry::noteReadiness() {
  if (m_WasReady || !isReady())
    return;
  m_WasReady = true;
  net::log(Event::ProcessReady,
           {{"instances", std::uint64_t{m_Instances.size()}}});
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

asio::awaitable<void> Entry::answerReady(net::HttpRequest Request,
                                         net::HttpResponder &Answer) {
  const unsigned Status =
      !m_Adapter.isReadyQuery(Request) ? 404 : (isReady() ? 200 : 503);
  net::HttpResponse Response = net::jsonResponse(Status, "{}");
  co_await Answer.send(std::move(Response));
}

asio::awaitable<void> Entry::answerDirectory(net::HttpRequest Request,
                                             net::HttpResponder &Answer) {
  const auto Query = m_Adapter.readDirectoryQuery(Request);
  if (!Query)
    co_return (void) co_await Answer.send(
        net::jsonResponse(404, R"({"error":"no such path"})"));
  const std::vector<std::string> Addresses =
      m_Peers.addressesFor(Query->m_DataCentre, isReady(), now());
  net::HttpResponse Response =
      Addresses.empty()
          ? m_Adapter.ownAnswer(503, "no entry is ready", "", milliseconds(200))
          : m_Adapter.directoryAnswer(
                Addresses, m_Context.m_Settings.m_Bounds.m_AddressLifetime);
  co_await Answer.send(std::move(Response));
}

void Entry::onLink(const wire::LinkMessage &Message, const std::string &From) {
  if (Message.has_hello() || Message.has_news())
    onEntry(Message, From);
  if (Message.has_place_query()) {
    wire::LinkMessage Answer;
    *Answer.mutable_place_answer() =
        m_RateLimits.answer(Message.place_query(), now());
    m_Link.send(From, std::move(Answer));
  }
  if (Message.has_place_answer())
    m_SlotClient.answered(Message.place_answer());
  if (!Message.has_state())
    return;
  if (m_StateOrder[Message.state().address()].isNewer(Message))
    onState(Message.state());
}

void Entry::onEntry(const wire::LinkMessage &Message, const std::string &From) {
  const TimePoint Now = now();
  Sender &Known = m_Senders[From];
  const Duration Late = Known.m_Delay.note(
      Message.incarnation(), std::chrono::microseconds(Message.sent_us()), Now);
  if (Message.has_hello())
    m_Peers.onHello(Message, From, Now);
  const UpdateSource Origin{From, m_Peers.isLocal(From), Late};
  if (Message.has_hello())
    m_Harmful.receive(Message.hello(), From);
  if (Message.has_hello() && Message.hello().has_known())
    m_Follower.receive(Message.hello().known(), Origin);
  if (!Message.has_news())
    return;
  if (Late > LateUpdateThreshold && Now >= Known.m_NextLateLog) {
    Known.m_NextLateLog = Now + LateLogInterval;
    net::log(Event::UpdateLate,
             {{"from", From},
              {"lateMs",
               std::uint64_t(
                   std::chrono::duration_cast<milliseconds>(Late).count())}});
  }
  m_Follower.receive(Message.news(), Origin);
}

/// Link address of an instance's agent, which listens on the same host.
std::string Entry::agentOf(const std::string &InstanceAddress) const {
  return InstanceAddress.substr(0, InstanceAddress.rfind(':')) + ":" +
         std::to_string(m_Context.m_Settings.m_AgentLinkPort);
}

/// Returns the link address to which the question is sent; nothing: this entry
/// decides itself.
std::optional<std::string>
Entry::grantorOf(const SlotQuestion &Question) const {
  if (Question.m_Grantor == SlotGrantor::Agent)
    return agentOf(Question.m_Address);
  const EntryAddress &Counts =
      m_RateLimits.grantorOf(Question.m_Instance, !m_Leaving, now());
  const bool IsOwn = Counts.m_Id == m_Peers.own().m_Id;
  return IsOwn ? std::nullopt : std::optional(Counts.m_Link);
}

asio::awaitable<std::optional<SlotReply>>
Entry::askSlot(SlotQuestion Question) {
  const std::optional<std::string> Grantor = grantorOf(Question);
  if (!Grantor)
    co_return m_RateLimits.decide(Question, now());
  const auto Answer = co_await m_SlotClient.ask(*Grantor, Question);
  const char *Outcome = !Answer                ? "unanswered"
                        : Answer->is_granted() ? "granted"
                                               : "refused";
  net::metrics()
      .counter("deckpitch_place_questions_total", {{"outcome", Outcome}})
      .add();
  if (!Answer) {
    net::log(Event::SlotQueryUnanswered,
             {{"address", Question.m_Address}, {"grantor", *Grantor}});
    co_return std::nullopt;
  }
  SlotReply Out;
  Out.m_IsGranted = Answer->is_granted();
  if (Question.m_Grantor == SlotGrantor::Agent)
    Out.m_Report = reportOf(Answer->state());
  else if (Answer->state().has_rate_limit())
    Out.m_RateLimit = read(Answer->state().rate_limit(), now());
  co_return Out;
}

void Entry::onState(const wire::InstanceState &State) {
  m_Instances.report(State.address(), reportOf(State), now());
}

wire::LinkMessage Entry::ownHello() const {
  wire::LinkMessage Message;
  wire::EntryHello &Hello = *Message.mutable_hello();
  const EntryAddress &Own = m_Peers.own();
  Hello.set_instance(Own.m_Id.m_Text);
  Hello.set_data_centre(Own.m_DataCentre.m_Text);
  Hello.set_callers(Own.m_Callers);
  Hello.set_takes_callers(isReady());
  return Message;
}

/// Announces a request that was just found to be harmful before hellos are due;
/// hellos repeat it, and reach entries beyond the group.
void Entry::announceHarmful(TimePoint Now) {
  if (!m_Harmful.takeNewFinding())
    return;
  m_IsWritten = false;
  m_RegisterTimer.cancel();
  wire::LinkMessage Message = ownHello();
  m_Harmful.addTo(*Message.mutable_hello());
  for (const std::string &To : m_Peers.group(Now, UpdateReach::All))
    m_Link.send(To, Message);
}

void Entry::sendHellos(TimePoint Now) {
  wire::LinkMessage Message = ownHello();
  wire::EntryHello &Hello = *Message.mutable_hello();
  const DueHellos Due = m_Peers.dueHellos(Now);
  for (const std::string &To : Due.m_WithoutDigest)
    m_Link.send(To, Message);
  if (!Due.m_WithDigest.empty()) {
    *Hello.mutable_known() = m_Follower.digest();
    m_Harmful.addTo(Hello);
  }
  for (const std::string &To : Due.m_WithDigest)
    m_Link.send(To, Message);
  Hello.clear_known();
  Hello.clear_suspects();
  if (Now < m_NextSubscribe)
    return;
  m_NextSubscribe = Now + SubscribeInterval;
  for (const DatedWeights &Each : m_Declared)
    write(Each, Now, *Hello.add_declared());
  // Not without versions: an agent that knows a model but none of its declared
  // versions loads the first one it finds.
  if (m_Follower.knowsWeights())
    for (const WeightsSource &Each : m_Sources)
      write(Each, *Hello.add_sources());
  for (const std::string &Address : m_Instances.engineAddresses())
    m_Link.send(agentOf(Address), Message);
}

asio::awaitable<void> Entry::tick() {
  asio::steady_timer Timer(m_Io);
  while (!m_Stopped) {
    const TimePoint Now = now();
    announceHarmful(Now);
    sendHellos(Now);
    m_Harmful.removeExpired();
    m_Instances.setEntries(m_Peers.liveCount(Now));
    m_Requests.setEntries(entriesThatRetry(), Now);
    m_Follower.setRank(m_Peers.ownRank(Now));
    logListFreshness();
    m_RateLimits.update(Now);
    m_Requests.checkSilence(Now);
    m_Requests.moveStreamsFromSwapping(Now);
    m_Requests.withdrawOverdue(Now);
    Timer.expires_after(TickInterval);
    co_await Timer.async_wait(UseAwaitable);
  }
}

/// Number of entries that share the retry budget.
std::size_t Entry::entriesThatRetry() const {
  const std::size_t Known = m_Peers.knownCount();
  return m_HasListedEntries ? Known : std::max(Known, EntriesBeforeList);
}

std::string Entry::ownRecord() const {
  return formatEntry({m_Peers.own(), m_Harmful.toStore()});
}

void Entry::addListed(const net::PlatformObject &Record) {
  const auto Known =
      outcomeOf([&] { return parseEntry(Record.m_Name, Record.m_Json); });
  if (!Known) {
    net::log(Event::EntryUnreadable,
             {{"entry", Record.m_Name}, {"error", Known.error().m_Message}});
    return;
  }
  m_Peers.addListed(Known->m_Address);
  m_Harmful.receive(Known->m_Refused, Record.m_Name);
}

/// Writes this entry's record; true if the store holds the current record.
asio::awaitable<bool> Entry::writeOwnRecord() {
  const std::string &Name = m_Peers.own().m_Id.m_Text;
  const auto Created = co_await m_Store->create(EntryKind, Name, ownRecord());
  if (Created)
    co_return true;
  if (Created.error().m_Code != ErrorCode::Conflict)
    co_return false;
  auto Stored = co_await m_Store->get(EntryKind, Name);
  if (!Stored)
    co_return false;
  // Written before this start: merged, so that nothing stored is lost.
  addListed(*Stored);
  const std::string Json = ownRecord();
  if (Stored->m_Json == Json)
    co_return true;
  Stored->m_Json = Json;
  co_return (co_await m_Store->update(std::move(*Stored))).has_value();
}

asio::awaitable<void> Entry::registerSelf() {
  TimePoint NextList{};
  while (!m_Stopped) {
    if (!m_IsWritten) {
      m_IsWritten = true; // Reset if the record changes meanwhile.
      const bool IsDone = co_await writeOwnRecord();
      m_IsWritten = m_IsWritten && IsDone;
    }
    if (now() >= NextList) {
      const auto List = co_await m_Store->list(EntryKind);
      m_HasListedEntries = m_HasListedEntries || List.has_value();
      if (List)
        std::for_each(
            List->m_Items.begin(), List->m_Items.end(),
            [this](const net::PlatformObject &Each) { addListed(Each); });
      NextList = now() + (List ? EntriesInterval : RegisterRetryInterval);
    }
    m_RegisterTimer.expires_after(m_IsWritten ? NextList - now()
                                              : RegisterRetryInterval);
    co_await m_RegisterTimer.async_wait(UseAwaitable);
  }
}

void Entry::drain(std::function<void()> OnDone) {
  m_Leaving = true;
  m_Callers.closeAfterAnswers();
  // Sent at once: callers ask other entries for addresses, which must not
  // include this one any more.
  sendHellos(now());
  asio::co_spawn(m_Io, waitUntilDrained(std::move(OnDone)), asio::detached);
}

asio::awaitable<void> Entry::waitUntilDrained(std::function<void()> OnDone) {
  const TimePoint Stop = now();
  const TimePoint End =
      Stop + m_Context.m_Settings.m_Bounds.m_Grace - GraceMargin;
  asio::steady_timer Timer(m_Io);
  bool Accepts = true;
  while (now() < End) {
    if (Accepts && now() - Stop > AcceptAfterStop) {
      m_Callers.drain();
      Accepts = false;
    }
    if (!Accepts && m_Callers.openRequests() == 0)
      break;
    Timer.expires_after(milliseconds(50));
    co_await Timer.async_wait(UseAwaitable);
  }
  OnDone();
}

void Entry::stop() {
  m_Stopped = true;
  m_RegisterTimer.cancel();
  m_Follower.stop();
  m_Link.stop();
  m_Relay.stop();
  m_Callers.stop();
  m_Ready.stop();
  m_Directory.stop();
}

boost::json::object Entry::dump() const {
  return {{"ready", isReady()},
          {"leaving", m_Leaving},
          {"entries", m_Peers.liveCount(now())},
          {"instances", m_Instances.size()},
          {"inFlight", m_Instances.inFlight()},
          {"refusedAsHarmful", m_Harmful.refusedCount()},
          {"rateLimited", m_RateLimits.dump(now())},
          {"openRequests", m_Callers.openRequests()},
          {"storeCalls", m_Store->calls()}};
}

} // namespace

std::unique_ptr<DirectRole> makeEntry(DirectContext &Context) {
  return std::make_unique<Entry>(Context);
}

} // namespace deckpitch::direct
