// The datagrams that an entry exchanges: hellos and updates with other entries,
// state and slot questions with agents.
#pragma once

#include "daemon/clock.h"
#include "deckpitch/instance-table.h"
#include "deckpitch/link-delay.h"
#include "direct/entry-peers.h"
#include "direct/entry-rate-limits.h"
#include "direct/entry-requests.h"
#include "direct/fleet-follower.h"
#include "direct/harmful-request-tracker.h"
#include "direct/slot-client.h"
#include "direct/state-link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace deckpitch::direct {

/// What an entry's hello says about the entry itself.
struct EntryStatus {
  bool m_IsReady = false;
  bool m_IsLeaving = false;

  friend bool operator==(const EntryStatus &, const EntryStatus &) = default;
};

/// All calls must be on one event loop.
class EntryLink {
public:
  /// The state that datagrams update, or are made from.
  struct State {
    InstanceTable &m_Instances;
    EntryPeers &m_Peers;
    EntryRateLimits &m_RateLimits;
    HarmfulRequestTracker &m_Harmful;
    FleetFollower &m_Follower;
    std::function<EntryStatus()> m_Status;
  };

  /// AgentPort is the port of every agent's link.
  EntryLink(asio::io_context &Io, std::uint64_t Incarnation,
            std::uint32_t AgentPort, State State)
      : m_Link(Io, Incarnation), m_SlotClient(Io, m_Link),
        m_AgentPort(AgentPort), m_State(std::move(State)) {}

  /// Errors: InvalidInput, Unavailable.
  Result<void> listen(const std::string &Address);
  void stop() { m_Link.stop(); }

  /// Sends the hellos that are due.
  void sendHellos(TimePoint Now);
  /// Sends the next hello to all agents at once, since it holds a change.
  void hurryAgents() { m_NextSubscribe = {}; }
  void setDeclared(std::vector<DatedWeights> Declared);
  void setSources(std::vector<WeightsSource> Sources);
  /// Sends what was just read from the store to other entries.
  void publish(const wire::StoreNews &News, UpdateReach Reach, TimePoint Now);
  /// Announces a request that was just found to be harmful. Returns false if
  /// there is none.
  bool announceHarmful(TimePoint Now);
  /// Asks the question of whoever decides on it; nullopt if no answer came in
  /// time.
  asio::awaitable<std::optional<SlotReply>> askSlot(SlotQuestion Question);

private:
  /// An entry that sends hellos or updates.
  struct Sender {
    LinkDelay m_Delay;
    TimePoint m_NextLateLog{};
  };

  void receive(const wire::LinkMessage &Message, const std::string &From);
  void receiveFromEntry(const wire::LinkMessage &Message,
                        const std::string &From);
  static void logIfLate(Sender &Known, const std::string &From, Duration Late,
                        TimePoint Now);
  std::optional<std::string> grantorOf(const SlotQuestion &Question) const;
  std::string agentOf(const std::string &InstanceAddress) const;
  wire::LinkMessage ownHello() const;
  void sendToAgents(wire::LinkMessage Message, TimePoint Now);
  std::vector<std::string> unattendedAgents(TimePoint Now) const;

  StateLink m_Link;
  SlotClient m_SlotClient;
  std::uint32_t m_AgentPort;
  State m_State;
  std::vector<DatedWeights> m_Declared;
  std::vector<WeightsSource> m_Sources;
  std::map<std::string, LinkOrder> m_StateOrder; ///< by instance address
  std::map<std::string, Sender> m_Senders;       ///< by link address
  TimePoint m_NextSubscribe{};
  const TimePoint m_Start = daemon::now();
};

} // namespace deckpitch::direct
