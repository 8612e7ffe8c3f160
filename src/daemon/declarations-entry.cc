#include "daemon/clock.h"
#include "daemon/declarations-exchange.h"
#include "daemon/declarations-follower.h"
#include "daemon/lease-keeper.h"
#include "daemon/status-writer.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <random>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

/// The term of the lease bounds the delay until its next holder finds a change
/// that the last one did not distribute.
constexpr LeaseLimits WatchLeaseLimits{std::chrono::milliseconds(6'000),
                                       std::chrono::milliseconds(1'500)};
/// Entries to which a change is sent at once; each forwards it.
constexpr std::size_t MaxEntriesPerChange = 4;

/// Follows the platform and distributes changes to agents and other entries.
class EntryDeclarations final : public Module {
public:
  explicit EntryDeclarations(Process &In)
      : m_Process(In), m_Exchange(In,
                                  [this](const DeclarationUpdate &Update) {
                                    distribute(Update);
                                  }),
        m_Follower(In, m_Exchange), m_Lease(In, "watch", WatchLeaseLimits),
        m_Status(In, m_Lease), m_Random(std::random_device{}()) {
    m_Lease.m_OnChange = [this](bool Held) {
      m_Process.m_FollowsPlatform.store(Held);
      m_Follower.wake();
    };
  }

  Result<void> start() override {
    m_Lease.start();
    m_Follower.start();
    m_Status.start();
    return {};
  }

  void onMessage(const wire::Envelope &Message) override {
    if (Message.has_membership() && Message.membership().has_heartbeat())
      rememberDirectAgent(Message);
    m_Exchange.onMessage(Message);
  }

  void beginDrain() override { m_Lease.beginDrain(); }
  void stop() override {
    m_Lease.stop();
    m_Follower.stop();
    m_Status.stop();
  }

  boost::json::object dump() const override {
    boost::json::object Out = m_Exchange.dump();
    Out["platformCalls"] = m_Process.m_Platform.calls();
    Out["follower"] = m_Follower.dump();
    Out["lease"] = m_Lease.dump();
    Out["status"] = m_Status.dump();
    return Out;
  }

private:
  struct Agent {
    std::string m_Address;
    TimePoint m_LastHeartbeat;
  };

  /// Remembers agents whose first choice is this entry; changes are sent to
  /// them at once. Their second entry detects by the next heartbeat whether the
  /// change arrived.
  void rememberDirectAgent(const wire::Envelope &Message) {
    const wire::Heartbeat &Beat = Message.membership().heartbeat();
    const InstanceId Id{Message.sender()};
    if (Beat.first())
      m_DirectAgents[Id] = {Beat.address(), now()};
    else
      m_DirectAgents.erase(Id);
  }

  void distribute(const DeclarationUpdate &Update) {
    const Duration Limit = m_Process.m_Settings.m_Membership.m_GoneAfter;
    std::erase_if(m_DirectAgents, [&](const auto &Each) {
      return now() - Each.second.m_LastHeartbeat > Limit;
    });
    for (const auto &[Id, Each] : m_DirectAgents)
      m_Exchange.send(Each.m_Address, Update);
    for (const std::string &Each : randomEntries())
      m_Exchange.send(Each, Update);
  }

  std::vector<std::string> randomEntries() {
    std::vector<std::string> Others;
    const auto View = m_Process.m_Membership.load();
    for (const auto &[Id, Each] : View->m_Members)
      if (Each.m_Role == Role::Entry && Each.m_State != MemberState::Gone &&
          Id != m_Process.m_Settings.m_Instance)
        Others.push_back(Each.m_Addresses.m_Control);
    std::shuffle(Others.begin(), Others.end(), m_Random);
    Others.resize(std::min(Others.size(), MaxEntriesPerChange));
    return Others;
  }

  Process &m_Process;
  DeclarationExchange m_Exchange;
  PlatformFollower m_Follower;
  LeaseKeeper m_Lease;
  StatusWriter m_Status;
  std::map<InstanceId, Agent> m_DirectAgents;
  std::mt19937_64 m_Random;
};

const Registration<EntryDeclarations> Registered("declarations", Role::Entry);

} // namespace

} // namespace deckpitch::daemon
