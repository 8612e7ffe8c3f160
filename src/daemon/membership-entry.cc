#include "daemon/clock.h"
#include "daemon/membership-self.h"
#include "daemon/membership-wire.h"
#include "daemon/module.h"
#include "net/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <random>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

/// Records per message to another entry; bounds the bytes sent per heartbeat.
constexpr std::size_t ChangesPerMessage = 20;
/// Entries sent to an agent; a few more than it sends heartbeats to.
constexpr std::size_t EntriesPerReply = 8;
/// Heartbeats between two attempts to contact addresses from the settings that
/// belong to no known member.
constexpr std::uint64_t HeartbeatsPerSeedContact = 5;
/// Consecutive heartbeats with a differing view before all records are
/// exchanged.
constexpr unsigned DifferencesBeforeExchange = 3;
constexpr std::chrono::milliseconds PublishDelay{10};
/// How often the one entry that follows the platform reads its instance list.
constexpr std::chrono::seconds ListInterval{2};
/// Heartbeats after a start during which addresses remembered by the platform
/// are contacted.
constexpr std::uint64_t RememberedAddressHeartbeats =
    3 * HeartbeatsPerSeedContact;

/// Receives heartbeats, exchanges records with a few other entries and
/// publishes the merged view.
class EntryMembership final : public Module {
public:
  explicit EntryMembership(Process &In)
      : m_Process(In), m_Writer(In), m_Timer(In.m_Threads.control()),
        m_PublishTimer(In.m_Threads.control()),
        m_ListTimer(In.m_Threads.control()), m_Random(std::random_device{}()) {}

  Result<void> start() override {
    m_Writer.advance();
    m_Table.emplace(m_Writer.member(), m_Process.m_Settings.m_Membership);
    publish();
    asio::co_spawn(m_Process.m_Threads.control(), run(), asio::detached);
    asio::co_spawn(m_Process.m_Threads.control(), listLoop(), asio::detached);
    return {};
  }

  void onMessage(const wire::Envelope &Message) override {
    if (!Message.has_membership() || !m_Table)
      return;
    const wire::MembershipMessage &Body = Message.membership();
    if (Body.has_heartbeat())
      onHeartbeat(Message, Body.heartbeat());
    else if (Body.has_reply())
      m_Writer.handleReply(InstanceId{Message.sender()}, Body.reply());
    else if (Body.has_update())
      onUpdate(Body.update());
    else if (Body.has_question())
      onQuestion(Body.question());
  }

  void beginDrain() override { sendHeartbeats(); }
  void stop() override {
    m_Stopping = true;
    m_Timer.cancel();
    m_ListTimer.cancel();
    m_PublishTimer.cancel();
  }

  boost::json::object dump() const override {
    static constexpr std::array States{"alive", "suspect", "leaving", "gone"};
    static constexpr std::array Sources{"heartbeat", "entry", "silence",
                                        "platform"};
    boost::json::object Members;
    for (const MemberRecord &Each : m_Table->records()) {
      const Member &Of = Each.m_Member;
      Members[Of.m_Id.m_Text] = boost::json::object{
          {"state", States[static_cast<std::size_t>(Of.m_State)]},
          {"source", Sources[static_cast<std::size_t>(Of.m_Source)]},
          {"incarnation", Of.m_Incarnation.m_Value},
          {"sequence", Each.m_Sequence},
          {"inForce", Of.m_InForce.m_Value}};
    }
    return {{"members", std::move(Members)}, {"digest", m_Table->digest()}};
  }

private:
  asio::awaitable<void> run() {
    const auto Period = m_Process.m_Settings.m_Membership.m_Heartbeat;
    while (!m_Stopping) {
      sendHeartbeats();
      m_Timer.expires_after(Period);
      co_await m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> listLoop() {
    while (!m_Stopping) {
      m_ListTimer.expires_after(ListInterval);
      co_await m_ListTimer.async_wait(asio::as_tuple(asio::use_awaitable));
      if (m_Stopping || !m_Process.m_FollowsPlatform.load())
        continue;
      const auto Listed = co_await m_Process.m_Platform.instances();
      if (!Listed)
        continue;
      std::vector<ListedInstance> List;
      for (const net::PlatformInstance &Each : *Listed)
        List.push_back({InstanceId{Each.m_Name}, Each.m_Leaving});
      m_Table->applyPlatformList(List);
      const InstanceId &Self = m_Process.m_Settings.m_Instance;
      if (m_Table->leavingIncarnation(Self) == m_Process.m_Incarnation)
        m_Process.m_StartDrain("platform");
      publishSoon();
    }
  }

  void sendHeartbeats() {
    m_Writer.advance();
    m_Table->setSelf(m_Writer.member(), m_Writer.sequence());
    for (const SilenceQuestion &Each : m_Table->tick(now()))
      askWatchers(Each);
    for (const InstanceId &Each : targets())
      sendTo(Each);
    if (m_Writer.sequence() % HeartbeatsPerSeedContact == 1)
      contactSeeds();
    publishSoon();
  }

  /// Returns the entries that watch this one and one other, chosen at random.
  std::vector<InstanceId> targets() {
    std::vector<InstanceId> Chosen = m_Table->watchersOf(m_Writer.member());
    std::vector<EntryCandidate> Others = m_Table->entries();
    std::erase_if(Others, [&](const EntryCandidate &Each) {
      return Each.m_Id == m_Writer.member().m_Id ||
             std::find(Chosen.begin(), Chosen.end(), Each.m_Id) != Chosen.end();
    });
    if (Others.empty())
      return Chosen;
    std::uniform_int_distribution<std::size_t> Any(0, Others.size() - 1);
    Chosen.push_back(Others[Any(m_Random)].m_Id);
    return Chosen;
  }

  std::string addressOf(const InstanceId &Id) const {
    const MemberRecord *Found = m_Table->find(Id);
    return Found ? Found->m_Member.m_Addresses.m_Control : std::string();
  }

  void sendTo(const InstanceId &To) {
    const std::string Address = addressOf(To);
    sendHeartbeat(To, Address);
    sendRecords(Address, m_Table->takeChanges(ChangesPerMessage));
  }

  void sendHeartbeat(const InstanceId &To, const std::string &Address) {
    wire::Envelope Message;
    *Message.mutable_membership() =
        m_Writer.messageFor(To, m_Process.m_DeclarationsDigest.load());
    Message.mutable_membership()->mutable_heartbeat()->set_view_digest(
        m_Table->digest());
    m_Process.m_Bus->send(Address, std::move(Message));
  }

  void sendRecords(const std::string &Address,
                   const std::vector<MemberRecord> &Records) {
    if (Records.empty())
      return;
    wire::Envelope Message;
    auto *Update = Message.mutable_membership()->mutable_update();
    for (const MemberRecord &Each : Records)
      *Update->add_members() = toWire(Each);
    m_Process.m_Bus->send(Address, std::move(Message));
  }

  /// Contacts unknown addresses from the settings, which finds other entries at
  /// the start and joins sets of entries that do not know of each other.
  void contactSeeds() {
    for (const std::string &Seed : m_Process.m_Settings.m_Entries)
      contactIfUnknown(Seed);
    if (m_Writer.sequence() > RememberedAddressHeartbeats)
      return;
    for (const std::string &Each : *m_Process.m_RememberedAddresses.load())
      contactIfUnknown(Each);
  }

  void contactIfUnknown(const std::string &Address) {
    if (Address != m_Process.m_Addresses.m_Control && !knowsAddress(Address))
      sendHeartbeat(InstanceId{Address}, Address);
  }

  bool knowsAddress(const std::string &Address) const {
    const auto View = m_Process.m_Membership.load();
    return std::any_of(View->m_Members.begin(), View->m_Members.end(),
                       [&](const auto &Each) {
                         return Each.second.m_Addresses.m_Control == Address;
                       });
  }

  void askWatchers(const SilenceQuestion &About) {
    for (const InstanceId &Each : About.m_Watchers) {
      wire::Envelope Message;
      auto *Question = Message.mutable_membership()->mutable_question();
      Question->set_id(About.m_Silent.m_Text);
      Question->set_address(m_Process.m_Addresses.m_Control);
      m_Process.m_Bus->send(addressOf(Each), std::move(Message));
    }
  }

  void onQuestion(const wire::MemberQuestion &Question) {
    if (Question.id().empty())
      return sendRecords(Question.address(), m_Table->records());
    const MemberRecord *Found = m_Table->find(InstanceId{Question.id()});
    if (Found)
      sendRecords(Question.address(), {*Found});
  }

  void onUpdate(const wire::MemberUpdate &Update) {
    drainIfLeaving(m_Process, Update);
    bool Changed = false;
    for (const wire::Member &Each : Update.members())
      if (!Each.id().empty())
        Changed = m_Table->merge(now(), fromWire(Each)) || Changed;
    if (Changed)
      publishSoon();
  }

  void onHeartbeat(const wire::Envelope &Message, const wire::Heartbeat &Beat) {
    const InstanceId From{Message.sender()};
    bool Known = true;
    if (Beat.has_member()) {
      MemberRecord Record = fromWire(Beat.member());
      Record.m_Member.m_Id = From;
      Record.m_Member.m_Incarnation.m_Value = Message.incarnation();
      m_Table->receiveHeartbeat(now(), Record);
    } else {
      Known = m_Table->receiveShortHeartbeat(
          now(), {From,
                  {Message.incarnation()},
                  Beat.sequence(),
                  {Beat.short_form().in_force()},
                  fromWire(Beat.short_form().load())});
    }
    reply(From, Beat, Known);
    compareViews(From, Beat);
    publishSoon();
  }

  void reply(const InstanceId &To, const wire::Heartbeat &Beat, bool Known) {
    wire::Envelope Message;
    auto *Reply = Message.mutable_membership()->mutable_reply();
    Reply->set_sequence(Beat.sequence());
    Reply->set_send_whole(!Known);
    Reply->set_in_force(m_Writer.member().m_InForce.m_Value);
    Reply->set_declarations_digest(m_Process.m_DeclarationsDigest.load());
    Reply->set_address(m_Process.m_Addresses.m_Control);
    const MemberRecord *Sender = m_Table->find(To);
    if (Sender && Sender->m_Member.m_Role == Role::Agent)
      addNearestEntries(*Sender, Beat.has_member(), *Reply);
    m_Process.m_Bus->send(Beat.address(), std::move(Message));
    // Repeated with each heartbeat, so that a lost message delays the drain by
    // only one period.
    if (Sender && m_Table->leavingIncarnation(To).m_Value != 0)
      sendRecords(Beat.address(), {*Sender});
  }

  /// Adds the agent's nearest entries, and those sent before that are gone
  /// since, if the nearest have changed or the agent sent a full heartbeat.
  void addNearestEntries(const MemberRecord &Agent, bool IsFull,
                         wire::HeartbeatReply &Reply) {
    const Member &To = Agent.m_Member;
    const std::vector<InstanceId> Nearest = chooseEntries(
        To.m_Id, To.m_DataCentre, m_Table->entries(), EntriesPerReply);
    std::vector<InstanceId> &LastSent = m_SentEntries[To.m_Id];
    if (!IsFull && LastSent == Nearest)
      return;
    for (const InstanceId &Each : Nearest)
      if (const MemberRecord *Found = m_Table->find(Each))
        *Reply.add_entries() = toWire(*Found);
    for (const InstanceId &Before : LastSent)
      if (const MemberRecord *Found = m_Table->find(Before);
          Found && Found->m_Member.m_State == MemberState::Gone)
        *Reply.add_entries() = toWire(*Found);
    LastSent = Nearest;
  }

  void compareViews(const InstanceId &From, const wire::Heartbeat &Beat) {
    if (Beat.view_digest() == 0 || Beat.view_digest() == m_Table->digest()) {
      m_Differences.erase(From);
      return;
    }
    if (++m_Differences[From] < DifferencesBeforeExchange)
      return;
    m_Differences.erase(From);
    sendRecords(Beat.address(), m_Table->records());
    wire::Envelope Message;
    Message.mutable_membership()->mutable_question()->set_address(
        m_Process.m_Addresses.m_Control);
    m_Process.m_Bus->send(Beat.address(), std::move(Message));
  }

  void publishSoon() {
    if (m_PublishPending)
      return;
    m_PublishPending = true;
    m_PublishTimer.expires_after(PublishDelay);
    m_PublishTimer.async_wait([this](const boost::system::error_code &Ec) {
      m_PublishPending = false;
      if (!Ec)
        publish();
    });
  }

  void publish() {
    auto Next = std::make_shared<const MembershipView>(m_Table->view());
    if (*Next != *m_Process.m_Membership.load())
      m_Process.m_Membership.publish(std::move(Next));
  }

  Process &m_Process;
  HeartbeatWriter m_Writer;
  asio::steady_timer m_Timer;
  asio::steady_timer m_PublishTimer;
  asio::steady_timer m_ListTimer;
  std::mt19937_64 m_Random;
  std::optional<MembershipTable> m_Table;
  std::map<InstanceId, std::vector<InstanceId>> m_SentEntries;
  std::map<InstanceId, unsigned> m_Differences;
  bool m_PublishPending = false;
  bool m_Stopping = false;
};

const Registration<EntryMembership> Registered("membership", Role::Entry);

} // namespace

} // namespace deckpitch::daemon
