// The entry of a fleet: callers, directory, readiness.
#include "daemon/clock.h"
#include "deckpitch/link-delay.h"
#include "direct/adapter.h"
#include "direct/entry-peers.h"
#include "direct/entry-record.h"
#include "direct/entry-requests.h"
#include "direct/fleet-follower.h"
#include "direct/harmful-watch.h"
#include "direct/place-client.h"
#include "direct/role.h"
#include "direct/store-news.h"
#include "direct/store-relay.h"
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
/// The system's own kind of objects, for entries to find each other.
const std::string EntryKind = "deckpitch-entries";
constexpr Duration TickSpan = milliseconds(100);
/// To each agent: it keeps on telling for several of these.
constexpr Duration SubscribeSpan = milliseconds(1'000);
/// Between two reads of the other entries; hellos tell the rest.
constexpr Duration EntriesSpan = std::chrono::seconds(20);
/// Entries assumed until the store has listed them, where fewer are heard.
constexpr std::size_t EntriesBeforeList = 64;
/// After a call to the store that failed.
constexpr Duration RegisterRetrySpan = milliseconds(500);
/// Callers keep an answer of the directory about that long; until then they
/// may still come to an entry that leaves.
constexpr milliseconds AcceptAfterStop{2'500};
/// Kept free of the time until the kill.
constexpr milliseconds GraceSpare{500};
/// News of another entry that takes longer than it usually does by more than
/// this is worth a line, but not more than one in each span.
constexpr Duration LongestUsualWay = milliseconds(200);
constexpr Duration LateLineSpan = milliseconds(1'000);
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
  void learn(const net::PlatformObject &Record);
  asio::awaitable<bool> writeSelf();
  asio::awaitable<void> waitUntilDrained(std::function<void()> OnDone);
  void onLink(const wire::LinkMessage &Message, const std::string &From);
  void onEntry(const wire::LinkMessage &Message, const std::string &From);
  void onState(const wire::InstanceState &State);
  asio::awaitable<std::optional<PlaceReply>> askPlace(std::string Address,
                                                      PlaceQuery Query);
  std::string agentOf(const std::string &InstanceAddress) const;
  wire::LinkMessage ownHello() const;
  void tellFoundHarmful(TimePoint Now);
  void sendHellos(TimePoint Now);
  void noteReadiness();
  void noteListBelief();
  bool isReady() const;
  static EntryAddress ownAddress(const DirectSettings &Settings);
  net::HttpLimits callerLimits(const CallerLimits &Declared) const;

  /// An entry that sends hellos or news.
  struct Sender {
    LinkDelay m_Delay;
    TimePoint m_NextLateLine{};
  };

  DirectContext &m_Context;
  asio::io_context &m_Io;
  const FleetAdapter &m_Adapter;
  net::HttpClient m_Http;
  std::unique_ptr<net::Platform> m_Store;
  InstanceTable m_Instances;
  HarmfulWatch m_Harmful;
  EntryRequests m_Requests;
  EntryPeers m_Peers;
  StateLink m_Link;
  StoreRelay m_Relay;
  PlaceClient m_Places;
  FleetFollower m_Follower;
  net::HttpServer m_Callers;
  net::HttpServer m_Ready;
  net::HttpServer m_Directory;
  std::vector<HeardWeights> m_Declared;
  std::vector<WeightsSource> m_Sources;
  std::map<std::string, LinkOrder> m_StateOrder; ///< by instance address
  std::map<std::string, Sender> m_Senders;       ///< by link address
  TimePoint m_NextSubscribe{};
  asio::steady_timer m_RegisterWake;
  bool m_IsWritten = false; ///< the store has what it is to keep of this entry
  bool m_Leaving = false;
  bool m_HasEntries = false; ///< all that the store lists
  bool m_WasReady = false;
  bool m_WasOutdated = false; ///< the list of instances
  bool m_Stopped = false;
};

Entry::Entry(DirectContext &Context)
    : m_Context(Context), m_Io(Context.m_Threads.control()),
      m_Adapter(*fleetAdapter()), m_Store(net::Adapters<net::Platform>::make(
                                      m_Http, Context.m_Settings.m_Store)),
      m_Instances(Context.m_Settings.m_DataCentre),
      m_Requests(m_Io, m_Http, m_Adapter, m_Instances, m_Harmful,
                 Context.m_Settings.m_Bounds.m_Retries,
                 [this](std::string Address, PlaceQuery Query) {
                   return askPlace(std::move(Address), Query);
                 }),
      m_Peers(ownAddress(Context.m_Settings)),
      m_Link(m_Io, Context.m_Incarnation), m_Relay(Context.m_Threads),
      m_Places(m_Io, m_Link), m_Follower(m_Io, m_Http, *m_Store, m_Adapter,
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
      m_RegisterWake(m_Io) {
  m_Requests.setBeliefs([this] { return m_Follower.declarationBelief(); },
                        [this] { return m_Follower.instancesBelief(); });
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
  Limits.m_HalfClosedIsGone = true;
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
    m_NextSubscribe = {}; // New agents hear at once where weights come from.
    noteReadiness();
  };
  Calls.m_OnWeights = [this](const std::vector<HeardWeights> &Declared) {
    m_Declared = Declared;
    for (const HeardWeights &Each : Declared)
      m_Instances.setWeights({Each.m_Declared}, Each.m_Since);
    m_NextSubscribe = {}; // Agents hear of it with the next hello.
  };
  Calls.m_OnNews = [this](const wire::StoreNews &News, NewsReach Reach) {
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
  // Same port as the datagrams, so that who hears an entry can ask it.
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

/// Says once when nothing is sent any more by the list that is known here, and
/// once when it is again.
void Entry::noteListBelief() {
  const StoreBelief Belief = m_Follower.instancesBelief();
  if (Belief.m_IsOutdated == m_WasOutdated)
    return;
  m_WasOutdated = Belief.m_IsOutdated;
  const auto AgeMs =
      std::chrono::duration_cast<milliseconds>(Belief.m_Age).count();
  net::log(m_WasOutdated ? Event::ListOutdated : Event::ListCurrent,
           {{"ageMs", static_cast<std::uint64_t>(AgeMs)}});
}

asio::awaitable<void> Entry::answerReady(net::HttpRequest Request,
                                         net::HttpResponder &Answer) {
  const unsigned Status =
      !m_Adapter.isReadyQuery(Request) ? 404 : (isReady() ? 200 : 503);
  net::HttpResponse Told = net::jsonResponse(Status, "{}");
  co_await Answer.send(std::move(Told));
}

asio::awaitable<void> Entry::answerDirectory(net::HttpRequest Request,
                                             net::HttpResponder &Answer) {
  const auto Query = m_Adapter.readDirectoryQuery(Request);
  if (!Query)
    co_return (void) co_await Answer.send(
        net::jsonResponse(404, R"({"error":"no such path"})"));
  const std::vector<std::string> Addresses =
      m_Peers.addressesFor(Query->m_DataCentre, isReady(), now());
  net::HttpResponse Told =
      Addresses.empty()
          ? m_Adapter.ownAnswer(503, "no entry is ready", "", milliseconds(200))
          : m_Adapter.directoryAnswer(
                Addresses, m_Context.m_Settings.m_Bounds.m_AddressLifetime);
  co_await Answer.send(std::move(Told));
}

void Entry::onLink(const wire::LinkMessage &Message, const std::string &From) {
  if (Message.has_hello() || Message.has_news())
    onEntry(Message, From);
  if (Message.has_place_answer())
    m_Places.answered(Message.place_answer());
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
    m_Peers.heard(Message, From, Now);
  const NewsOrigin Origin{From, m_Peers.isNear(From), Late};
  if (Message.has_hello())
    m_Harmful.hear(Message.hello(), From);
  if (Message.has_hello() && Message.hello().has_known())
    m_Follower.hear(Message.hello().known(), Origin);
  if (!Message.has_news())
    return;
  if (Late > LongestUsualWay && Now >= Known.m_NextLateLine) {
    Known.m_NextLateLine = Now + LateLineSpan;
    net::log(Event::NewsLate,
             {{"from", From},
              {"lateMs",
               std::uint64_t(
                   std::chrono::duration_cast<milliseconds>(Late).count())}});
  }
  m_Follower.hear(Message.news(), Origin);
}

/// An instance's agent listens at the same host.
std::string Entry::agentOf(const std::string &InstanceAddress) const {
  return InstanceAddress.substr(0, InstanceAddress.rfind(':')) + ":" +
         std::to_string(m_Context.m_Settings.m_AgentLinkPort);
}

asio::awaitable<std::optional<PlaceReply>> Entry::askPlace(std::string Address,
                                                           PlaceQuery Query) {
  const auto Answer = co_await m_Places.ask(agentOf(Address), Query);
  const char *Outcome = !Answer                ? "unanswered"
                        : Answer->is_granted() ? "granted"
                                               : "refused";
  net::metrics()
      .counter("deckpitch_place_questions_total", {{"outcome", Outcome}})
      .add();
  if (!Answer) {
    net::log(Event::PlaceUnanswered, {{"address", Address}});
    co_return std::nullopt;
  }
  co_return PlaceReply{Answer->is_granted(), reportOf(Answer->state())};
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

/// A request that was just found to be harmful is told of before hellos are
/// due; hellos tell it again, and beyond the group.
void Entry::tellFoundHarmful(TimePoint Now) {
  if (!m_Harmful.takeFound())
    return;
  m_IsWritten = false;
  m_RegisterWake.cancel();
  wire::LinkMessage Message = ownHello();
  m_Harmful.tell(*Message.mutable_hello());
  for (const std::string &To : m_Peers.group(Now, NewsReach::All))
    m_Link.send(To, Message);
}

void Entry::sendHellos(TimePoint Now) {
  wire::LinkMessage Message = ownHello();
  wire::EntryHello &Hello = *Message.mutable_hello();
  const DueHellos Due = m_Peers.dueHellos(Now);
  for (const std::string &To : Due.m_Plain)
    m_Link.send(To, Message);
  if (!Due.m_Telling.empty()) {
    *Hello.mutable_known() = m_Follower.digest();
    m_Harmful.tell(Hello);
  }
  for (const std::string &To : Due.m_Telling)
    m_Link.send(To, Message);
  Hello.clear_known();
  Hello.clear_suspects();
  if (Now < m_NextSubscribe)
    return;
  m_NextSubscribe = Now + SubscribeSpan;
  for (const HeardWeights &Each : m_Declared)
    write(Each, Now, *Hello.add_declared());
  // An agent that knows of a model and of no version takes the first one.
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
    tellFoundHarmful(Now);
    sendHellos(Now);
    m_Harmful.tidy();
    m_Instances.setEntries(m_Peers.liveCount(Now));
    m_Requests.setEntries(entriesThatRetry(), Now);
    m_Follower.setTurn(m_Peers.ownTurn(Now));
    noteListBelief();
    m_Requests.checkSilence(Now);
    m_Requests.moveFromSwapping(Now);
    m_Requests.takeBackOverdue(Now);
    Timer.expires_after(TickSpan);
    co_await Timer.async_wait(UseAwaitable);
  }
}

/// Those that share what all entries may retry.
std::size_t Entry::entriesThatRetry() const {
  const std::size_t Known = m_Peers.knownCount();
  return m_HasEntries ? Known : std::max(Known, EntriesBeforeList);
}

std::string Entry::ownRecord() const {
  return formatEntry({m_Peers.own(), m_Harmful.toStore()});
}

void Entry::learn(const net::PlatformObject &Record) {
  const auto Known =
      outcomeOf([&] { return parseEntry(Record.m_Name, Record.m_Json); });
  if (!Known) {
    net::log(Event::EntryUnreadable,
             {{"entry", Record.m_Name}, {"error", Known.error().m_Message}});
    return;
  }
  m_Peers.learn(Known->m_Address);
  m_Harmful.hear(Known->m_Refused, Record.m_Name);
}

/// True when the store holds what it is to keep of this entry.
asio::awaitable<bool> Entry::writeSelf() {
  const std::string &Name = m_Peers.own().m_Id.m_Text;
  const auto Created = co_await m_Store->create(EntryKind, Name, ownRecord());
  if (Created)
    co_return true;
  if (Created.error().m_Code != ErrorCode::Conflict)
    co_return false;
  auto Stored = co_await m_Store->get(EntryKind, Name);
  if (!Stored)
    co_return false;
  // Of before this start: not to be overwritten by what is known now alone.
  learn(*Stored);
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
      m_IsWritten = true; // Unless there is more to write meanwhile.
      const bool IsDone = co_await writeSelf();
      m_IsWritten = m_IsWritten && IsDone;
    }
    if (now() >= NextList) {
      const auto List = co_await m_Store->list(EntryKind);
      m_HasEntries = m_HasEntries || List.has_value();
      if (List)
        std::for_each(List->m_Items.begin(), List->m_Items.end(),
                      [this](const net::PlatformObject &Each) { learn(Each); });
      NextList = now() + (List ? EntriesSpan : RegisterRetrySpan);
    }
    m_RegisterWake.expires_after(m_IsWritten ? NextList - now()
                                             : RegisterRetrySpan);
    co_await m_RegisterWake.async_wait(UseAwaitable);
  }
}

void Entry::drain(std::function<void()> OnDone) {
  m_Leaving = true;
  m_Callers.closeAfterAnswers();
  // Not told by a late hello: callers ask other entries for addresses.
  sendHellos(now());
  asio::co_spawn(m_Io, waitUntilDrained(std::move(OnDone)), asio::detached);
}

asio::awaitable<void> Entry::waitUntilDrained(std::function<void()> OnDone) {
  const TimePoint Stop = now();
  const TimePoint End =
      Stop + m_Context.m_Settings.m_Bounds.m_Grace - GraceSpare;
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
  m_RegisterWake.cancel();
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
          {"openRequests", m_Callers.openRequests()},
          {"storeCalls", m_Store->calls()}};
}

} // namespace

std::unique_ptr<DirectRole> makeEntry(DirectContext &Context) {
  return std::make_unique<Entry>(Context);
}

} // namespace deckpitch::direct
