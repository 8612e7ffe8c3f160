#include "direct/entry-link.h"

#include "daemon/clock.h"
#include "direct/store-updates.h"
#include "net/log.h"
#include "net/metrics.h"

#include <chrono>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

/// Interval of hellos to each agent, which sends its state for several of these
/// intervals after one.
constexpr Duration SubscribeInterval = milliseconds(1'000);
/// Time after the start in which the first hellos of other entries arrive.
constexpr Duration UnattendedDelay = milliseconds(5'000);
/// An update from another entry that is late by more than this, against its
/// usual delay, is logged, at most once per interval.
constexpr Duration LateUpdateThreshold = milliseconds(200);
constexpr Duration LateLogInterval = milliseconds(1'000);

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

} // namespace

Result<void> EntryLink::listen(const std::string &Address) {
  return m_Link.listen(
      Address, [this](const wire::LinkMessage &Message,
                      const std::string &From) { receive(Message, From); });
}

void EntryLink::setDeclared(std::vector<DatedWeights> Declared) {
  m_Declared = std::move(Declared);
  hurryAgents();
}

void EntryLink::setSources(std::vector<WeightsSource> Sources) {
  m_Sources = std::move(Sources);
}

void EntryLink::publish(const wire::StoreNews &News, UpdateReach Reach,
                        TimePoint Now) {
  wire::LinkMessage Message;
  *Message.mutable_news() = News;
  for (const std::string &To : m_State.m_Peers.group(Now, Reach))
    m_Link.send(To, Message);
}

void EntryLink::receive(const wire::LinkMessage &Message,
                        const std::string &From) {
  if (Message.has_hello() || Message.has_news())
    receiveFromEntry(Message, From);
  if (Message.has_place_query()) {
    wire::LinkMessage Answer;
    *Answer.mutable_place_answer() =
        m_State.m_RateLimits.answer(Message.place_query(), now());
    m_Link.send(From, std::move(Answer));
  }
  if (Message.has_place_answer())
    m_SlotClient.answered(Message.place_answer());
  if (!Message.has_state())
    return;
  const wire::InstanceState &State = Message.state();
  if (m_StateOrder[State.address()].isNewer(Message))
    m_State.m_Instances.report(State.address(), reportOf(State), now());
}

void EntryLink::receiveFromEntry(const wire::LinkMessage &Message,
                                 const std::string &From) {
  const TimePoint Now = now();
  Sender &Known = m_Senders[From];
  const Duration Late = Known.m_Delay.note(
      Message.incarnation(), std::chrono::microseconds(Message.sent_us()), Now);
  if (Message.has_hello())
    m_State.m_Peers.onHello(Message, From, Now);
  const UpdateSource Origin{From, m_State.m_Peers.isLocal(From), Late};
  if (Message.has_hello())
    m_State.m_Harmful.receive(Message.hello(), From);
  if (Message.has_hello() && Message.hello().has_known())
    m_State.m_Follower.receive(Message.hello().known(), Origin);
  if (!Message.has_news())
    return;
  logIfLate(Known, From, Late, Now);
  m_State.m_Follower.receive(Message.news(), Origin);
}

void EntryLink::logIfLate(Sender &Known, const std::string &From, Duration Late,
                          TimePoint Now) {
  if (Late <= LateUpdateThreshold || Now < Known.m_NextLateLog)
    return;
  Known.m_NextLateLog = Now + LateLogInterval;
  const auto LateMs = std::chrono::duration_cast<milliseconds>(Late).count();
  net::log(Event::UpdateLate,
           {{"from", From}, {"lateMs", static_cast<std::uint64_t>(LateMs)}});
}

/// Link address of an instance's agent, which listens on the same host.
std::string EntryLink::agentOf(const std::string &InstanceAddress) const {
  return InstanceAddress.substr(0, InstanceAddress.rfind(':')) + ":" +
         std::to_string(m_AgentPort);
}

/// Returns the link address to which the question is sent; nothing: this entry
/// decides itself.
std::optional<std::string>
EntryLink::grantorOf(const SlotQuestion &Question) const {
  if (Question.m_Grantor == SlotGrantor::Agent)
    return agentOf(Question.m_Address);
  const EntryAddress &Counts = m_State.m_RateLimits.grantorOf(
      Question.m_Instance, !m_State.m_Status().m_IsLeaving, now());
  const bool IsOwn = Counts.m_Id == m_State.m_Peers.own().m_Id;
  return IsOwn ? std::nullopt : std::optional(Counts.m_Link);
}

asio::awaitable<std::optional<SlotReply>>
EntryLink::askSlot(SlotQuestion Question) {
  const std::optional<std::string> Grantor = grantorOf(Question);
  if (!Grantor)
    co_return m_State.m_RateLimits.decide(Question, now());
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

wire::LinkMessage EntryLink::ownHello() const {
  wire::LinkMessage Message;
  wire::EntryHello &Hello = *Message.mutable_hello();
  const EntryAddress &Own = m_State.m_Peers.own();
  Hello.set_instance(Own.m_Id.m_Text);
  Hello.set_data_centre(Own.m_DataCentre.m_Text);
  Hello.set_callers(Own.m_Callers);
  Hello.set_takes_callers(m_State.m_Status().m_IsReady);
  const auto IntervalMs =
      std::chrono::duration_cast<milliseconds>(m_State.m_Peers.helloInterval());
  Hello.set_interval_ms(static_cast<std::uint32_t>(IntervalMs.count()));
  Hello.set_known_entries(
      static_cast<std::uint32_t>(m_State.m_Peers.knownCount()));
  return Message;
}

/// Sent before hellos are due, which repeat it and reach entries beyond the
/// group.
bool EntryLink::announceHarmful(TimePoint Now) {
  if (!m_State.m_Harmful.takeNewFinding())
    return false;
  wire::LinkMessage Message = ownHello();
  m_State.m_Harmful.addTo(*Message.mutable_hello());
  for (const std::string &To : m_State.m_Peers.group(Now, UpdateReach::All))
    m_Link.send(To, Message);
  return true;
}

void EntryLink::sendHellos(TimePoint Now) {
  wire::LinkMessage Message = ownHello();
  wire::EntryHello &Hello = *Message.mutable_hello();
  const DueHellos Due = m_State.m_Peers.dueHellos(Now);
  for (const std::string &To : Due.m_WithoutDigest)
    m_Link.send(To, Message);
  if (!Due.m_WithDigest.empty()) {
    *Hello.mutable_known() = m_State.m_Follower.digest();
    m_State.m_Harmful.addTo(Hello);
  }
  for (const std::string &To : Due.m_WithDigest)
    m_Link.send(To, Message);
  if (Now >= m_NextSubscribe)
    sendToAgents(ownHello(), Now);
}

void EntryLink::sendToAgents(wire::LinkMessage Message, TimePoint Now) {
  m_NextSubscribe = Now + SubscribeInterval;
  wire::EntryHello &Hello = *Message.mutable_hello();
  for (const DatedWeights &Each : m_Declared)
    write(Each, Now, *Hello.add_declared());
  // Not without versions: an agent that knows a model but none of its declared
  // versions loads the first one it finds.
  if (m_State.m_Follower.knowsWeights())
    for (const WeightsSource &Each : m_Sources)
      write(Each, *Hello.add_sources());
  for (const std::string &Address : m_State.m_Instances.subscribedAddresses())
    m_Link.send(agentOf(Address), Message);
  for (const std::string &Address : unattendedAgents(Now))
    m_Link.send(agentOf(Address), Message);
}

/// Instances in data centres without a live entry: their agents learn of new
/// weights from the first entries of the other data centres.
std::vector<std::string> EntryLink::unattendedAgents(TimePoint Now) const {
  const bool IsStarting = Now - m_Start < UnattendedDelay;
  if (IsStarting || !m_State.m_Peers.isRelay(Now))
    return {};
  const std::set<DataCentreId> Attended = m_State.m_Peers.liveCentres(Now);
  return m_State.m_Instances.agentAddressesWhere(
      [&](const DataCentreId &At) { return !Attended.contains(At); });
}

} // namespace deckpitch::direct
