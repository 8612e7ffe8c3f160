#include "simulation/tree-simulation.h"

#include <algorithm>
#include <bit>
#include <deque>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace deckpitch::simulation {

namespace {

struct Plan {
  std::uint32_t m_Arity;
  bool m_WholeCopies;
};

Plan planOf(Scheme By, std::uint32_t Agents) {
  switch (By) {
  case Scheme::Chain:
    return {1, true};
  case Scheme::ChainOfChunks:
    return {1, false};
  case Scheme::BinaryTree:
    return {2, true};
  case Scheme::QuaternaryTree:
    return {4, true};
  case Scheme::EveryoneFromOrigin:
    break;
  }
  return {Agents, false};
}

/// Node 0 is the origin; agent I is node I + 1.
class TreeSimulation {
public:
  TreeSimulation(const SimulationOptions &Options, Scheme By)
      : m_Options(Options), m_Plan(planOf(By, Options.m_Agents)),
        m_FromOrigin(By == Scheme::EveryoneFromOrigin),
        m_Nodes(Options.m_Agents + 1) {}

  SimulationResult run() {
    const std::uint32_t Fed = m_FromOrigin ? m_Options.m_Agents : 1;
    for (std::uint32_t Chunk = 0; Chunk < m_Options.m_Chunks; ++Chunk)
      for (std::uint32_t To = 1; To <= Fed; ++To)
        m_Nodes[0].m_Queue.emplace_back(To);
    pump(0);
    while (!m_Events.empty()) {
      const Event Next = m_Events.top();
      m_Events.pop();
      m_Now = Next.m_When;
      Next.m_Do();
    }
    return result(Fed);
  }

private:
  struct Node {
    double m_UpFreeAt = 0;
    double m_DownFreeAt = 0;
    std::uint32_t m_Held = 0;
    std::uint32_t m_Parent = 0;
    std::uint32_t m_InFlight = 0;      ///< chunks being sent to it
    std::deque<std::uint32_t> m_Queue; ///< receivers of the next chunks
    bool m_Sending = false;
  };

  /// An event; times are in chunk times of a link.
  struct Event {
    double m_When;
    std::uint64_t m_Order;
    std::function<void()> m_Do;
    bool operator<(const Event &Other) const {
      return std::pair(Other.m_When, Other.m_Order) <
             std::pair(m_When, m_Order);
    }
  };

  void at(double When, std::function<void()> Do) {
    m_Events.push({When, m_NextOrder++, std::move(Do)});
  }

  double &downFreeAt(Node &Of) const {
    return m_Options.m_SharedLinks ? Of.m_UpFreeAt : Of.m_DownFreeAt;
  }

  void pump(std::uint32_t From) {
    Node &Sender = m_Nodes[From];
    if (Sender.m_Sending || Sender.m_Queue.empty())
      return;
    const std::uint32_t To = Sender.m_Queue.front();
    if (m_Nodes[To].m_InFlight >= inFlight())
      return;
    Sender.m_Sending = true;
    Sender.m_Queue.pop_front();
    ++m_Nodes[To].m_InFlight;
    double &Down = downFreeAt(m_Nodes[To]);
    const double Start = std::max({m_Now, Sender.m_UpFreeAt, Down});
    const double Length = From == 0 ? 1.0 / m_Options.m_OriginRate : 1.0;
    Sender.m_UpFreeAt = Start + Length;
    Down = Start + 1.0;
    at(Start + Length, [this, From] {
      m_Nodes[From].m_Sending = false;
      pump(From);
    });
    at(Start + 1.0 + delay(), [this, To] { arrived(To); });
  }

  /// Shared links alternate directions best when nothing is sent ahead.
  std::uint32_t inFlight() const { return m_Options.m_SharedLinks ? 1 : 2; }

  double delay() const {
    return static_cast<double>(m_Options.m_Delay.count()) /
           static_cast<double>(m_Options.m_ChunkTime.count());
  }

  void arrived(std::uint32_t At) {
    ++m_Nodes[At].m_Held;
    --m_Nodes[At].m_InFlight;
    m_Last = m_Now;
    if (!m_FromOrigin)
      passOn(At);
    // Last, so that a shared link sends before it receives.
    pump(m_Nodes[At].m_Parent);
  }

  void passOn(std::uint32_t At) {
    const bool Whole = m_Nodes[At].m_Held == m_Options.m_Chunks;
    if (m_Plan.m_WholeCopies && !Whole)
      return;
    const std::uint32_t Chunks = m_Plan.m_WholeCopies ? m_Options.m_Chunks : 1;
    for (std::uint32_t I = 0; I < m_Plan.m_Arity; ++I) {
      const std::uint32_t Child = m_Plan.m_Arity * (At - 1) + 2 + I;
      if (Child > m_Options.m_Agents)
        continue;
      m_Nodes[Child].m_Parent = At;
      m_Nodes[At].m_Queue.insert(m_Nodes[At].m_Queue.end(), Chunks, Child);
    }
    pump(At);
  }

  SimulationResult result(std::uint32_t Fed) const {
    SimulationResult Out;
    Out.m_Complete =
        std::all_of(m_Nodes.begin() + 1, m_Nodes.end(), [&](const Node &Each) {
          return Each.m_Held == m_Options.m_Chunks;
        });
    Out.m_Slots = m_Last;
    Out.m_Bound = m_Options.m_Chunks + std::bit_width(m_Options.m_Agents) - 1;
    Out.m_OriginCopies = Fed;
    return Out;
  }

  SimulationOptions m_Options;
  Plan m_Plan;
  bool m_FromOrigin;
  std::vector<Node> m_Nodes;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextOrder = 0;
  double m_Now = 0;
  double m_Last = 0;
};

} // namespace

SimulationResult runBaseline(const SimulationOptions &Options, Scheme By) {
  return TreeSimulation(Options, By).run();
}

} // namespace deckpitch::simulation
