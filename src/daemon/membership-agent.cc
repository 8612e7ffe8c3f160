#include "daemon/clock.h"
#include "daemon/membership-self.h"
#include "daemon/membership-wire.h"
#include "daemon/module.h"
#include "net/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

/// Entries that an agent keeps in mind beside those it speaks to.
constexpr std::size_t MaxKnownEntries = 32;
/// How many times in a heartbeat period the agent looks for a change of its
/// own state that is worth an early heartbeat.
constexpr int LooksPerHeartbeat = 5;

/// Sends heartbeats to two entries and learns from their answers which entries
/// there are, so that a replaced set of entries is followed.
class AgentMembership final : public Module {
public:
  explicit AgentMembership(Process &In)
      : m_Process(In), m_Writer(In), m_Timer(In.m_Threads.control()) {}

  Result<void> start() override {
    publish();
    asio::co_spawn(m_Process.m_Threads.control(), run(), asio::detached);
    return {};
  }

  void onMessage(const wire::Envelope &Message) override {
    if (!Message.has_membership())
      return;
    const wire::MembershipMessage &Body = Message.membership();
    if (Body.has_reply())
      onReply(InstanceId{Message.sender()}, Body.reply());
    else if (Body.has_heartbeat())
      onEntry(Message, Body.heartbeat());
    else if (Body.has_update())
      leaveIfTold(m_Process, Body.update());
  }

  void beginDrain() override { beat(); }
  void stop() override {
    m_Stopping = true;
    m_Timer.cancel();
  }

  boost::json::object dump() const override {
    boost::json::array Entries;
    for (const auto &[Id, Of] : m_Entries)
      Entries.push_back(boost::json::object{
          {"instance", Id.m_Text},
          {"control", Of.m_Record.m_Member.m_Addresses.m_Control},
          {"answers", answers(Of)}});
    boost::json::array Chosen;
    for (const InstanceId &Each : m_Chosen)
      Chosen.emplace_back(Each.m_Text);
    return {{"entries", std::move(Entries)},
            {"chosen", std::move(Chosen)},
            {"sequence", m_Writer.sequence()}};
  }

private:
  struct KnownEntry {
    MemberRecord m_Record;
    TimePoint m_Asked;    ///< first heartbeat since the last answer
    TimePoint m_Answered; ///< last sign of life
    bool m_Waiting = false;
  };

  asio::awaitable<void> run() {
    const auto Period = m_Process.m_Settings.m_Membership.m_Heartbeat;
    int Look = 0;
    while (!m_Stopping) {
      if (Look++ % LooksPerHeartbeat == 0 || changed())
        beat();
      m_Timer.expires_after(Period / LooksPerHeartbeat);
      co_await m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  bool changed() const {
    return m_Process.m_Serving.generation() != m_ServingSeen ||
           m_Process.m_Declarations.generation() != m_DeclarationsSeen;
  }

  void beat() {
    m_ServingSeen = m_Process.m_Serving.generation();
    m_DeclarationsSeen = m_Process.m_Declarations.generation();
    if (m_Writer.advance())
      publish();
    choose();
    for (const InstanceId &Each : m_Chosen) {
      KnownEntry &Of = m_Entries[Each];
      if (!Of.m_Waiting)
        Of.m_Asked = now();
      Of.m_Waiting = true;
      send(Each, Of.m_Record.m_Member.m_Addresses.m_Control,
           Each == m_Chosen.front());
    }
    if (m_Chosen.size() < WatchersPerProcess)
      askSeed();
  }

  /// Entries from the settings, in turn, while too few are known to answer.
  void askSeed() {
    const auto &Seeds = m_Process.m_Settings.m_Entries;
    const std::string &Seed = Seeds[m_NextSeed++ % Seeds.size()];
    send(InstanceId{Seed}, Seed, m_Chosen.empty());
  }

  void send(const InstanceId &To, const std::string &Address, bool First) {
    wire::Envelope Message;
    *Message.mutable_membership() =
        m_Writer.messageFor(To, m_Process.m_DeclarationsDigest.load());
    Message.mutable_membership()->mutable_heartbeat()->set_first(First);
    m_Process.m_Bus->send(Address, std::move(Message));
  }

  bool answers(const KnownEntry &Of) const {
    return !Of.m_Waiting ||
           now() - Of.m_Asked <
               m_Process.m_Settings.m_Membership.m_SuspectAfter;
  }

  void choose() {
    forgetSilent();
    std::vector<EntryCandidate> Candidates;
    for (const auto &[Id, Of] : m_Entries)
      if (answers(Of))
        Candidates.push_back({Id, Of.m_Record.m_Member.m_DataCentre});
    const Settings &Own = m_Process.m_Settings;
    m_Chosen =
        chooseEntries(Own.m_Instance, Own.m_DataCentre, std::move(Candidates));
  }

  /// One that stopped answering gets a new chance after a while.
  void forgetSilent() {
    const Duration Limit = m_Process.m_Settings.m_Membership.m_GoneAfter;
    std::erase_if(m_Entries, [&](const auto &Each) {
      return Each.second.m_Waiting && now() - Each.second.m_Asked > Limit;
    });
  }

  void onReply(const InstanceId &From, const wire::HeartbeatReply &Reply) {
    m_Writer.replied(From, Reply);
    bool News = false;
    for (const wire::Member &Each : Reply.entries())
      News = learn(fromWire(Each)) || News;
    const auto Found = m_Entries.find(From);
    if (Found != m_Entries.end()) {
      Found->second.m_Waiting = false;
      Found->second.m_Answered = now();
    }
    if (News)
      publish();
  }

  /// An entry that this agent does not know yet introduces itself.
  void onEntry(const wire::Envelope &Message, const wire::Heartbeat &Beat) {
    if (!Beat.has_member() || Beat.member().id() != Message.sender())
      return;
    if (learn(fromWire(Beat.member())))
      publish();
  }

  bool learn(const MemberRecord &Record) {
    const Member &Told = Record.m_Member;
    if (Told.m_Role != Role::Entry || Told.m_Id.empty())
      return false;
    if (Told.m_State == MemberState::Gone) {
      const auto Found = m_Entries.find(Told.m_Id);
      const bool Known =
          Found != m_Entries.end() &&
          Found->second.m_Record.m_Member.m_Incarnation <= Told.m_Incarnation;
      return Known && !answersNow(Found->second) && m_Entries.erase(Told.m_Id);
    }
    if (!m_Entries.contains(Told.m_Id) && m_Entries.size() >= MaxKnownEntries)
      return false;
    KnownEntry &Of = m_Entries[Told.m_Id];
    const Member Before = Of.m_Record.m_Member;
    if (Told.m_Incarnation > Before.m_Incarnation)
      Of = {};
    if (Told.m_Incarnation >= Before.m_Incarnation)
      Of.m_Record = Record;
    return Of.m_Record.m_Member != Before;
  }

  bool answersNow(const KnownEntry &Of) const { return !Of.m_Waiting; }

  /// The agent's view: itself and the entries that it knows.
  void publish() {
    auto View = std::make_shared<MembershipView>();
    View->m_Members.emplace(m_Process.m_Settings.m_Instance, selfOf(m_Process));
    for (const auto &[Id, Of] : m_Entries)
      View->m_Members.emplace(Id, Of.m_Record.m_Member);
    m_Process.m_Membership.publish(std::move(View));
  }

  Process &m_Process;
  HeartbeatWriter m_Writer;
  asio::steady_timer m_Timer;
  std::map<InstanceId, KnownEntry> m_Entries;
  std::vector<InstanceId> m_Chosen;
  std::size_t m_NextSeed = 0;
  std::uint64_t m_ServingSeen = 0;
  std::uint64_t m_DeclarationsSeen = 0;
  bool m_Stopping = false;
};

const Registration<AgentMembership> Registered("membership", Role::Agent);

} // namespace

} // namespace deckpitch::daemon
