// Simulates many swarms with one origin and shaped links in virtual time,
// without sockets, for tests and benchmarks of the decisions.
#pragma once

#include "deckpitch/swarm.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

namespace deckpitch::simulation {

struct SimulationOptions {
  std::uint32_t m_Agents = 16;
  std::uint32_t m_Chunks = 256;
  std::uint32_t m_Peers = 16;      ///< given to each agent
  std::uint32_t m_DataCentres = 1; ///< agents are assigned round-robin
  bool m_SharedLinks = false;      ///< both directions share the bandwidth
  double m_OriginRate = 2.0;       ///< chunks per chunk time of a link
  /// Transfer time of a chunk at a link's rate.
  Duration m_ChunkTime = std::chrono::milliseconds(100);
  Duration m_Delay = std::chrono::milliseconds(1); ///< one way
  Duration m_StagingTime = std::chrono::milliseconds(2);
  SwarmOptions m_Swarm;
  std::uint64_t m_Seed = 1;
  /// Agents with slower links, by factor.
  std::map<std::uint32_t, double> m_Slow;
};

struct SimulationResult {
  bool m_Complete = false;
  double m_Slots = 0; ///< until the last copy was complete, in chunk times
  /// M + floor(log2 N) chunk times for M chunks and N agents.
  double m_Bound = 0;
  double m_OriginCopies = 0;
  std::uint64_t m_Duplicates = 0;
  std::uint64_t m_Crossings = 0;
  std::uint64_t m_ControlMessages = 0;

  double ratio() const { return m_Slots / m_Bound; }
};

class SwarmSimulation {
public:
  explicit SwarmSimulation(SimulationOptions Options);

  /// Schedules a callback, such as a fault.
  void at(Duration When, std::function<void(SwarmSimulation &)> Do);
  /// Kills the agent; its chunks are lost.
  void kill(std::uint32_t Agent);
  /// Replaces the agent by a new one without chunks.
  void replace(std::uint32_t Agent);
  /// Blocks the agent's links without closing them.
  void stall(std::uint32_t Agent);
  /// Lets the agent's chunks arrive corrupted.
  void corrupt(std::uint32_t Agent);
  void setOriginUp(bool Up) { m_OriginUp = Up; }
  std::uint32_t chunksHeld(std::uint32_t Agent) const;
  std::uint32_t completeAgents() const;
  const Swarm &swarm(std::uint32_t Agent) const {
    return *m_Nodes[Agent].m_Swarm;
  }

  SimulationResult run(Duration Limit = std::chrono::hours(1));

private:
  static constexpr std::uint32_t Pieces = 4; ///< per chunk
  static constexpr std::uint32_t InFlight = 2;
  static constexpr std::uint32_t OriginNode = 0xffffffff;

  /// One direction of a link: transmits pieces one after the other.
  struct LinkQueue {
    TimePoint m_FreeAt{};
    double m_Slowness = 1.0;
  };

  struct Upload {
    std::uint32_t m_To;
    std::uint32_t m_Chunk;
    std::uint32_t m_Sent = 0;
    std::uint32_t m_Arrived = 0;
  };

  struct Node {
    std::unique_ptr<Swarm> m_Swarm;
    std::uint32_t m_Incarnation = 0; ///< incremented when the agent is replaced
    bool m_Alive = true;
    bool m_Stalled = false;
    bool m_Corrupt = false;
    LinkQueue m_Up;
    LinkQueue m_Down;
    std::deque<std::shared_ptr<Upload>> m_Uploads;
    bool m_Sending = false;
    std::set<std::uint32_t> m_Linked;
    TimePoint m_Done{};
  };

  struct Event {
    TimePoint m_When;
    std::uint64_t m_Order;
    std::function<void()> m_Do;
    bool operator<(const Event &Other) const {
      return std::pair(Other.m_When, Other.m_Order) <
             std::pair(m_When, m_Order);
    }
  };

  void after(Duration Length, std::function<void()> Do);
  void makeSwarm(std::uint32_t Agent);
  static bool isReachable(const Node &Each) {
    return Each.m_Alive && !Each.m_Stalled;
  }
  void link(std::uint32_t A, std::uint32_t B);
  void unlink(std::uint32_t A, std::uint32_t B);
  void findPeers(std::uint32_t Agent);
  void tick(std::uint32_t Agent, std::uint32_t Incarnation);
  void perform(std::uint32_t Agent, const SwarmActions &Actions);
  void perform(std::uint32_t Agent, const SendGrant &Action);
  void perform(std::uint32_t Agent, const SendRequest &Action);
  void perform(std::uint32_t Agent, const SendDecline &Action);
  void perform(std::uint32_t Agent, const SendChunk &Action);
  void perform(std::uint32_t Agent, const SendRefusal &Action);
  void perform(std::uint32_t Agent, const SendHave &Action);
  void perform(std::uint32_t Agent, const ReadOrigin &Action);
  void perform(std::uint32_t Agent, const DropPeer &Action);
  void perform(std::uint32_t Agent, const AskForPeers &Action);
  /// Delivers a message to a connected live peer after the delay.
  void send(std::uint32_t From, std::uint32_t To,
            std::function<SwarmActions(Swarm &)> Event);
  void pump(std::uint32_t From);
  void pieceArrived(std::uint32_t From, std::uint32_t FromIncarnation,
                    std::shared_ptr<Upload> Moved);
  void pumpOrigin();
  void originPiece(std::shared_ptr<Upload> Moved, std::uint32_t Incarnation);
  TimePoint transmit(LinkQueue &By, double Chunks);
  LinkQueue &down(std::uint32_t Agent);
  Duration scaled(double Chunks) const;
  void stage(std::uint32_t Agent, std::uint32_t Chunk);
  DataCentreId dataCentre(std::uint32_t Agent) const;
  static InstanceId nameOf(std::uint32_t Agent);

  SimulationOptions m_Options;
  std::minstd_rand m_Random;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextOrder = 0;
  TimePoint m_Now{std::chrono::seconds(1)};
  TimePoint m_Start = m_Now;
  std::vector<Node> m_Nodes;
  LinkQueue m_OriginLink;
  std::deque<std::shared_ptr<Upload>> m_Reads;
  std::map<Upload *, std::uint32_t> m_ReadIncarnation;
  bool m_OriginSending = false;
  bool m_OriginUp = true;
  std::uint64_t m_OriginChunks = 0;
  std::uint64_t m_Messages = 0;
};

} // namespace deckpitch::simulation
