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

/// Entries that an agent remembers at most.
constexpr std::size_t MaxKnownEntries = 32;
/// How many times per heartbeat period the agent checks whether a change of its
/// own state requires an early heartbeat.
constexpr int ChecksPerHeartbeat = 5;

/// Sends heartbeats to two entries and discovers other entries from the
/// replies, so that the agent keeps up when all entries are replaced.
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
      onEntryHeartbeat(Message, Body.heartbeat());
    else if (Body.has_update())
      drainIfLeaving(m_Process, Body.update());
  }

  void beginDrain() override { sendHeartbeats(); }
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
          {"answers", isResponsive(Of)}});
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
    TimePoint m_FirstUnanswered; ///< first heartbeat since the last reply
    TimePoint m_LastReply;       ///< last reply
    bool m_AwaitsReply = false;
  };

  asio::awaitable<void> run() {
    const auto Period = m_Process.m_Settings.m_Membership.m_Heartbeat;
    int Check = 0;
    while (!m_Stopping) {
      if (Check++ % ChecksPerHeartbeat == 0 || hasChanged())
        sendHeartbeats();
      m_Timer.expires_after(Period / ChecksPerHeartbeat);
      co_await m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  bool hasChanged() const {
    return m_Process.m_Serving.generation() != m_ServingSeen ||
           m_Process.m_Declarations.generation() != m_DeclarationsSeen;
  }

  void sendHeartbeats() {
    m_ServingSeen = m_Process.m_Serving.generation();
    m_DeclarationsSeen = m_Process.m_Declarations.generation();
    if (m_Writer.advance())
      publish();
    chooseTargets();
    for (const InstanceId &Each : m_Chosen) {
      KnownEntry &Of = m_Entries[Each];
      if (!Of.m_AwaitsReply)
        Of.m_FirstUnanswered = now();
      Of.m_AwaitsReply = true;
      send(Each, Of.m_Record.m_Member.m_Addresses.m_Control,
           Each == m_Chosen.front());
    }
    if (m_Chosen.size() < WatchersPerProcess)
      contactSeed();
  }

  /// Contacts the entries from the settings in turn while too few known entries
  /// respond.
  void contactSeed() {
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

  bool isResponsive(const KnownEntry &Of) const {
    return !Of.m_AwaitsReply ||
           now() - Of.m_FirstUnanswered <
               m_Process.m_Settings.m_Membership.m_SuspectAfter;
  }

  void chooseTargets() {
    dropUnresponsive();
    std::vector<EntryCandidate> Candidates;
    for (const auto &[Id, Of] : m_Entries)
      if (isResponsive(Of))
        Candidates.push_back({Id, Of.m_Record.m_Member.m_DataCentre});
    const Settings &Own = m_Process.m_Settings;
    m_Chosen =
        chooseEntries(Own.m_Instance, Own.m_DataCentre, std::move(Candidates));
  }

  /// Drops entries that stopped responding; they may be discovered again.
  void dropUnresponsive() {
    const Duration Limit = m_Process.m_Settings.m_Membership.m_GoneAfter;
    std::erase_if(m_Entries, [&](const auto &Each) {
      return Each.second.m_AwaitsReply &&
             now() - Each.second.m_FirstUnanswered > Limit;
    });
  }

  void onReply(const InstanceId &From, const wire::HeartbeatReply &Reply) {
    m_Writer.handleReply(From, Reply);
    bool Changed = false;
    for (const wire::Member &Each : Reply.entries())
      Changed = updateEntry(fromWire(Each)) || Changed;
    const auto Found = m_Entries.find(From);
    if (Found != m_Entries.end()) {
      Found->second.m_AwaitsReply = false;
      Found->second.m_LastReply = now();
    }
    if (Changed)
      publish();
  }

  /// Handles a full heartbeat of an entry, which may be unknown to this agent.
  void onEntryHeartbeat(const wire::Envelope &Message,
                        const wire::Heartbeat &Beat) {
    if (!Beat.has_member() || Beat.member().id() != Message.sender())
      return;
    if (updateEntry(fromWire(Beat.member())))
      publish();
  }

  bool updateEntry(const MemberRecord &Record) {
    const Member &Reported = Record.m_Member;
    if (Reported.m_Role != Role::Entry || Reported.m_Id.empty())
      return false;
    if (Reported.m_State == MemberState::Gone) {
      const auto Found = m_Entries.find(Reported.m_Id);
      const bool Known = Found != m_Entries.end() &&
                         Found->second.m_Record.m_Member.m_Incarnation <=
                             Reported.m_Incarnation;
      return Known && !hasReplied(Found->second) &&
             m_Entries.erase(Reported.m_Id);
    }
    if (!m_Entries.contains(Reported.m_Id) &&
        m_Entries.size() >= MaxKnownEntries)
      return false;
    KnownEntry &Of = m_Entries[Reported.m_Id];
    const Member Before = Of.m_Record.m_Member;
    if (Reported.m_Incarnation > Before.m_Incarnation)
      Of = {};
    if (Reported.m_Incarnation >= Before.m_Incarnation)
      Of.m_Record = Record;
    return Of.m_Record.m_Member != Before;
  }

  bool hasReplied(const KnownEntry &Of) const { return !Of.m_AwaitsReply; }

  /// Publishes the agent's view: itself and the entries that it knows.
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
