#include "simulation/swarm-simulation.h"

#include <algorithm>
#include <bit>

namespace deckpitch::simulation {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(20);

} // namespace

SwarmSimulation::SwarmSimulation(SimulationOptions Options)
    : m_Options(std::move(Options)),
      m_Random(static_cast<std::uint32_t>(m_Options.m_Seed | 1)),
      m_Nodes(m_Options.m_Agents) {
  for (std::uint32_t I = 0; I < m_Options.m_Agents; ++I) {
    const auto Slow = m_Options.m_Slow.find(I);
    if (Slow != m_Options.m_Slow.end())
      m_Nodes[I].m_Up.m_Slowness = m_Nodes[I].m_Down.m_Slowness = Slow->second;
    makeSwarm(I);
  }
  for (std::uint32_t I = 0; I < m_Options.m_Agents; ++I)
    findPeers(I);
}

InstanceId SwarmSimulation::nameOf(std::uint32_t Agent) {
  return InstanceId{"agent-" + std::to_string(Agent)};
}

DataCentreId SwarmSimulation::dataCentre(std::uint32_t Agent) const {
  return DataCentreId{"dc-" + std::to_string(Agent % m_Options.m_DataCentres)};
}

void SwarmSimulation::makeSwarm(std::uint32_t Agent) {
  std::vector<InstanceId> Names;
  for (std::uint32_t I = 0; I < m_Options.m_Agents; ++I)
    Names.push_back(nameOf(I));
  Node &Fresh = m_Nodes[Agent];
  Fresh.m_Swarm = std::make_unique<Swarm>(nameOf(Agent), dataCentre(Agent),
                                          m_Options.m_Chunks, m_Options.m_Swarm,
                                          m_Random());
  Fresh.m_Swarm->setInstances(Names);
  tick(Agent, Fresh.m_Incarnation);
}

void SwarmSimulation::after(Duration Length, std::function<void()> Do) {
  m_Events.push({m_Now + Length, m_NextOrder++, std::move(Do)});
}

void SwarmSimulation::at(Duration When,
                         std::function<void(SwarmSimulation &)> Do) {
  m_Events.push({m_Start + When, m_NextOrder++,
                 [this, Do = std::move(Do)] { Do(*this); }});
}

Duration SwarmSimulation::scaled(double Chunks) const {
  return Duration(static_cast<Duration::rep>(
      Chunks * static_cast<double>(m_Options.m_ChunkTime.count())));
}

TimePoint SwarmSimulation::transmit(LinkQueue &By, double Chunks) {
  By.m_FreeAt = std::max(By.m_FreeAt, m_Now) + scaled(Chunks * By.m_Slowness);
  return By.m_FreeAt;
}

SwarmSimulation::LinkQueue &SwarmSimulation::down(std::uint32_t Agent) {
  Node &Value = m_Nodes[Agent];
  return m_Options.m_SharedLinks ? Value.m_Up : Value.m_Down;
}

void SwarmSimulation::link(std::uint32_t A, std::uint32_t B) {
  if (A == B || !isReachable(m_Nodes[A]) || !isReachable(m_Nodes[B]) ||
      m_Nodes[A].m_Linked.contains(B) ||
      m_Nodes[A].m_Swarm->isQuarantined(nameOf(B), m_Now) ||
      m_Nodes[B].m_Swarm->isQuarantined(nameOf(A), m_Now))
    return;
  m_Nodes[A].m_Linked.insert(B);
  m_Nodes[B].m_Linked.insert(A);
  const Swarm &First = *m_Nodes[A].m_Swarm;
  const Swarm &Second = *m_Nodes[B].m_Swarm;
  const ChunkSet Here = First.here();
  const ChunkSet Seen = First.seen();
  perform(A, m_Nodes[A].m_Swarm->onPeerJoined(B, nameOf(B), dataCentre(B),
                                              Second.here(), Second.seen(),
                                              m_Now));
  perform(B, m_Nodes[B].m_Swarm->onPeerJoined(A, nameOf(A), dataCentre(A), Here,
                                              Seen, m_Now));
}

void SwarmSimulation::unlink(std::uint32_t A, std::uint32_t B) {
  if (m_Nodes[A].m_Linked.erase(B) == 0)
    return;
  m_Nodes[B].m_Linked.erase(A);
  perform(A, m_Nodes[A].m_Swarm->onPeerGone(B, m_Now));
  perform(B, m_Nodes[B].m_Swarm->onPeerGone(A, m_Now));
}

void SwarmSimulation::findPeers(std::uint32_t Agent) {
  std::vector<std::uint32_t> Near;
  std::vector<std::uint32_t> Far;
  for (std::uint32_t I = 0; I < m_Options.m_Agents; ++I)
    if (I != Agent && m_Nodes[I].m_Alive)
      (dataCentre(I) == dataCentre(Agent) ? Near : Far).push_back(I);
  std::shuffle(Near.begin(), Near.end(), m_Random);
  std::shuffle(Far.begin(), Far.end(), m_Random);
  std::size_t Crossings =
      std::min<std::size_t>(Far.size(), m_Options.m_Peers / 5);
  for (std::uint32_t I : Far) {
    if (Crossings-- == 0)
      break;
    link(Agent, I);
  }
  for (std::uint32_t I : Near) {
    if (m_Nodes[Agent].m_Linked.size() >= m_Options.m_Peers)
      return;
    link(Agent, I);
  }
}

void SwarmSimulation::kill(std::uint32_t Agent) {
  const std::set<std::uint32_t> Peers = m_Nodes[Agent].m_Linked;
  for (std::uint32_t Each : Peers)
    unlink(Agent, Each);
  Node &Gone = m_Nodes[Agent];
  Gone.m_Alive = false;
  Gone.m_Uploads.clear();
  ++Gone.m_Incarnation;
}

void SwarmSimulation::replace(std::uint32_t Agent) {
  kill(Agent);
  m_Nodes[Agent].m_Alive = true;
  m_Nodes[Agent].m_Done = {};
  makeSwarm(Agent);
  findPeers(Agent);
}

void SwarmSimulation::stall(std::uint32_t Agent) {
  m_Nodes[Agent].m_Stalled = true;
}

void SwarmSimulation::corrupt(std::uint32_t Agent) {
  m_Nodes[Agent].m_Corrupt = true;
}

std::uint32_t SwarmSimulation::chunksHeld(std::uint32_t Agent) const {
  return m_Nodes[Agent].m_Swarm->here().count();
}

std::uint32_t SwarmSimulation::completeAgents() const {
  return static_cast<std::uint32_t>(
      std::count_if(m_Nodes.begin(), m_Nodes.end(), [](const Node &Each) {
        return Each.m_Alive && Each.m_Swarm->complete();
      }));
}

void SwarmSimulation::tick(std::uint32_t Agent, std::uint32_t Incarnation) {
  Node &Self = m_Nodes[Agent];
  if (!Self.m_Alive || Self.m_Incarnation != Incarnation)
    return;
  if (!Self.m_Stalled)
    perform(Agent, Self.m_Swarm->onTick(m_Now));
  after(TickPeriod, [this, Agent, Incarnation] { tick(Agent, Incarnation); });
}

void SwarmSimulation::perform(std::uint32_t Agent,
                              const SwarmActions &Actions) {
  for (const SwarmAction &Each : Actions)
    std::visit([&](const auto &Action) { perform(Agent, Action); }, Each);
}

void SwarmSimulation::send(std::uint32_t From, std::uint32_t To,
                           std::function<SwarmActions(Swarm &)> Event) {
  ++m_Messages;
  if (m_Nodes[From].m_Stalled)
    return;
  after(m_Options.m_Delay, [this, From, To, Event = std::move(Event)] {
    Node &Receiver = m_Nodes[To];
    if (Receiver.m_Alive && !Receiver.m_Stalled &&
        Receiver.m_Linked.contains(From))
      perform(To, Event(*Receiver.m_Swarm));
  });
}

void SwarmSimulation::perform(std::uint32_t Agent, const SendGrant &Action) {
  send(Agent, Action.m_Peer,
       [=, this](Swarm &To) { return To.onGrant(Agent, m_Now); });
}

void SwarmSimulation::perform(std::uint32_t Agent, const SendRequest &Action) {
  send(Agent, Action.m_Peer, [=, this](Swarm &To) {
    return To.onRequest(Agent, Action.m_Chunk, m_Now);
  });
}

void SwarmSimulation::perform(std::uint32_t Agent, const SendDecline &Action) {
  send(Agent, Action.m_Peer,
       [=, this](Swarm &To) { return To.onDecline(Agent, m_Now); });
}

void SwarmSimulation::perform(std::uint32_t Agent, const SendRefusal &Action) {
  send(Agent, Action.m_Peer, [=, this](Swarm &To) {
    return To.onRefusal(Agent, Action.m_Chunk, m_Now);
  });
}

void SwarmSimulation::perform(std::uint32_t Agent, const SendHave &Action) {
  for (std::uint32_t Peer : m_Nodes[Agent].m_Linked)
    send(Agent, Peer, [=, this](Swarm &To) {
      return To.onHave(Agent, Action.m_Here, Action.m_Seen, m_Now);
    });
}

void SwarmSimulation::perform(std::uint32_t Agent, const SendChunk &Action) {
  m_Nodes[Agent].m_Uploads.push_back(
      std::make_shared<Upload>(Upload{Action.m_Peer, Action.m_Chunk}));
  pump(Agent);
}

void SwarmSimulation::perform(std::uint32_t Agent, const ReadOrigin &Action) {
  auto Read = std::make_shared<Upload>(Upload{Agent, Action.m_Chunk});
  m_ReadIncarnation[Read.get()] = m_Nodes[Agent].m_Incarnation;
  m_Reads.push_back(std::move(Read));
  pumpOrigin();
}

void SwarmSimulation::perform(std::uint32_t Agent, const DropPeer &Action) {
  after(Duration(1),
        [this, Agent, Peer = Action.m_Peer] { unlink(Agent, Peer); });
}

void SwarmSimulation::perform(std::uint32_t Agent, const AskForPeers &) {
  after(m_Options.m_Delay, [this, Agent] {
    if (m_Nodes[Agent].m_Alive)
      findPeers(Agent);
  });
}

void SwarmSimulation::pump(std::uint32_t From) {
  Node &Sender = m_Nodes[From];
  if (Sender.m_Sending || Sender.m_Stalled)
    return;
  std::erase_if(Sender.m_Uploads, [&](const std::shared_ptr<Upload> &Each) {
    return !Sender.m_Linked.contains(Each->m_To);
  });
  for (const std::shared_ptr<Upload> &Each : Sender.m_Uploads) {
    if (Each->m_Sent == Pieces || Each->m_Sent - Each->m_Arrived >= InFlight)
      continue;
    Sender.m_Sending = true;
    ++Each->m_Sent;
    const TimePoint Out = transmit(Sender.m_Up, 1.0 / Pieces);
    const std::uint32_t Incarnation = Sender.m_Incarnation;
    after(Out - m_Now, [this, From, Incarnation, Moved = Each] {
      Node &Self = m_Nodes[From];
      Self.m_Sending = false;
      if (Self.m_Incarnation != Incarnation)
        return pump(From);
      if (Moved->m_Sent == Pieces) {
        std::erase(Self.m_Uploads, Moved);
        perform(From, Self.m_Swarm->onSent(Moved->m_To, Moved->m_Chunk, m_Now));
      }
      const TimePoint In = transmit(down(Moved->m_To), 1.0 / Pieces);
      after(In - m_Now + m_Options.m_Delay, [this, From, Incarnation, Moved] {
        pieceArrived(From, Incarnation, Moved);
      });
      pump(From);
    });
    return;
  }
}

void SwarmSimulation::pieceArrived(std::uint32_t From,
                                   std::uint32_t FromIncarnation,
                                   std::shared_ptr<Upload> Moved) {
  ++Moved->m_Arrived;
  Node &To = m_Nodes[Moved->m_To];
  const bool Linked = To.m_Alive && !To.m_Stalled &&
                      To.m_Linked.contains(From) &&
                      m_Nodes[From].m_Incarnation == FromIncarnation;
  if (Linked) {
    To.m_Swarm->onProgress(From, Moved->m_Chunk, m_Now);
    if (Moved->m_Arrived == Pieces &&
        To.m_Swarm->expects(From, Moved->m_Chunk)) {
      const bool Good = !m_Nodes[From].m_Corrupt;
      const bool Wanted = To.m_Swarm->wants(Moved->m_Chunk);
      perform(Moved->m_To,
              To.m_Swarm->onArrived(From, Moved->m_Chunk, Good, m_Now));
      if (Good && Wanted)
        stage(Moved->m_To, Moved->m_Chunk);
    }
  }
  pump(From);
}

void SwarmSimulation::stage(std::uint32_t Agent, std::uint32_t Chunk) {
  const std::uint32_t Incarnation = m_Nodes[Agent].m_Incarnation;
  after(m_Options.m_StagingTime, [this, Agent, Chunk, Incarnation] {
    Node &Self = m_Nodes[Agent];
    if (Self.m_Incarnation != Incarnation || !Self.m_Alive)
      return;
    perform(Agent, Self.m_Swarm->onStaged(Chunk, true, m_Now));
    if (Self.m_Swarm->complete())
      Self.m_Done = m_Now;
  });
}

void SwarmSimulation::pumpOrigin() {
  if (m_OriginSending || m_Reads.empty())
    return;
  m_OriginSending = true;
  std::shared_ptr<Upload> Next = m_Reads.front();
  m_Reads.pop_front();
  const std::uint32_t Incarnation = m_ReadIncarnation[Next.get()];
  if (!m_OriginUp) {
    m_OriginSending = false;
    m_ReadIncarnation.erase(Next.get());
    after(m_Options.m_Delay, [this, Next, Incarnation] {
      Node &Reader = m_Nodes[Next->m_To];
      if (Reader.m_Incarnation == Incarnation)
        perform(Next->m_To,
                Reader.m_Swarm->onOriginReply(
                    Next->m_Chunk, Swarm::OriginOutcome::Refused, m_Now));
    });
    return pumpOrigin();
  }
  const TimePoint Out =
      transmit(m_OriginLink, 1.0 / Pieces / m_Options.m_OriginRate);
  after(Out - m_Now, [this, Next, Incarnation] {
    m_OriginSending = false;
    ++Next->m_Sent;
    const TimePoint In = transmit(down(Next->m_To), 1.0 / Pieces);
    after(In - m_Now + m_Options.m_Delay,
          [this, Next, Incarnation] { originPiece(Next, Incarnation); });
    if (Next->m_Sent < Pieces)
      m_Reads.push_back(Next); // connections are served round-robin
    pumpOrigin();
  });
}

void SwarmSimulation::originPiece(std::shared_ptr<Upload> Moved,
                                  std::uint32_t Incarnation) {
  if (++Moved->m_Arrived < Pieces)
    return;
  m_ReadIncarnation.erase(Moved.get());
  ++m_OriginChunks;
  Node &Reader = m_Nodes[Moved->m_To];
  if (Reader.m_Incarnation != Incarnation || !Reader.m_Alive)
    return;
  const bool Wanted = Reader.m_Swarm->wants(Moved->m_Chunk);
  perform(Moved->m_To, Reader.m_Swarm->onOriginReply(
                           Moved->m_Chunk, Swarm::OriginOutcome::Good, m_Now));
  if (Wanted)
    stage(Moved->m_To, Moved->m_Chunk);
}

SimulationResult SwarmSimulation::run(Duration Limit) {
  const auto Finished = [this] {
    return std::all_of(m_Nodes.begin(), m_Nodes.end(), [](const Node &Each) {
      return !Each.m_Alive || Each.m_Stalled || Each.m_Swarm->complete();
    });
  };
  while (!m_Events.empty() && m_Now - m_Start < Limit && !Finished()) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_When;
    Next.m_Do();
  }
  SimulationResult Result;
  Result.m_Complete = Finished();
  Result.m_Slots = static_cast<double>((m_Now - m_Start).count()) /
                   static_cast<double>(m_Options.m_ChunkTime.count());
  Result.m_Bound = m_Options.m_Chunks + std::bit_width(m_Options.m_Agents) - 1;
  Result.m_OriginCopies = static_cast<double>(m_OriginChunks) /
                          static_cast<double>(m_Options.m_Chunks);
  for (const Node &Each : m_Nodes) {
    Result.m_Duplicates += Each.m_Swarm->counters().m_Duplicates;
    Result.m_Crossings += Each.m_Swarm->counters().m_Crossings;
  }
  Result.m_ControlMessages = m_Messages;
  return Result;
}

} // namespace deckpitch::simulation
