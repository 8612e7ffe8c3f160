// Cost of the swarm's decisions, and complete copies in virtual time.
#include "deckpitch/assignment.h"
#include "simulation/swarm-simulation.h"

#include <benchmark/benchmark.h>

using namespace deckpitch;
using namespace deckpitch::simulation;

namespace {

std::vector<InstanceId> instances(std::int64_t Count) {
  std::vector<InstanceId> Out;
  for (std::int64_t I = 0; I < Count; ++I)
    Out.push_back(InstanceId{"agent-" + std::to_string(I)});
  return Out;
}

/// Decisions of one agent on one chunk: grant, request, arrival, staging.
void decisionsOfOneChunk(benchmark::State &State) {
  const auto Chunks = static_cast<std::uint32_t>(State.range(1));
  const std::vector<InstanceId> Pool = instances(State.range(0));
  constexpr PeerNumber Peers = 16;
  const TimePoint Now{std::chrono::seconds(1000)};
  ChunkSet All(Chunks);
  for (std::uint32_t I = 0; I < Chunks; ++I)
    All.insert(I);
  std::uint32_t ChunksLeft = 0;
  std::unique_ptr<Swarm> TestedSwarm;
  for (auto Each : State) {
    if (ChunksLeft == 0) {
      State.PauseTiming();
      TestedSwarm = std::make_unique<Swarm>(Pool.front(), DataCentreId{"a"},
                                            Chunks, SwarmOptions{}, 1);
      for (PeerNumber I = 0; I < Peers; ++I)
        TestedSwarm->onPeerJoined(I, InstanceId{"peer" + std::to_string(I)},
                                  DataCentreId{"a"}, All, All, Now);
      ChunksLeft = Chunks;
      State.ResumeTiming();
    }
    const PeerNumber From = ChunksLeft-- % Peers;
    const SwarmActions Actions = TestedSwarm->onGrant(From, Now);
    const std::uint32_t Chunk = std::get<SendRequest>(Actions.front()).m_Chunk;
    TestedSwarm->onArrived(From, Chunk, true, Now);
    benchmark::DoNotOptimize(TestedSwarm->onStaged(Chunk, true, Now));
  }
}
BENCHMARK(decisionsOfOneChunk)
    ->ArgNames({"pool", "chunks"})
    ->ArgsProduct({{12, 100, 910}, {256, 2048}});

/// Computes the order in which instances read a copy's chunks; runs once for
/// each change of a pool.
void rendezvousOrder(benchmark::State &State) {
  const std::vector<InstanceId> Pool = instances(State.range(0));
  Swarm TestedSwarm(Pool.front(), DataCentreId{"a"},
                    static_cast<std::uint32_t>(State.range(1)), SwarmOptions{},
                    1);
  for (auto Each : State)
    TestedSwarm.setInstances(Pool);
}
BENCHMARK(rendezvousOrder)
    ->ArgNames({"pool", "chunks"})
    ->ArgsProduct({{12, 100, 910}, {2048}})
    ->Unit(benchmark::kMicrosecond);

void assignmentPlan(benchmark::State &State) {
  DeclarationSet Declarations;
  MembershipView Members;
  Pool &Only = Declarations.m_Pools[PoolId{"chat"}].m_Value;
  Only.m_Id = PoolId{"chat"};
  Only.m_Model = "m";
  Only.m_Version = "1";
  Only.m_Readiness = {
      {DataCentreId{"a"}, static_cast<std::uint32_t>(State.range(0))}};
  for (const InstanceId &Id : instances(State.range(0))) {
    Member &Added = Members.m_Members[Id];
    Added.m_Id = Id;
    Added.m_DataCentre = DataCentreId{"a"};
  }
  for (auto Each : State)
    benchmark::DoNotOptimize(planAssignment(Declarations, Members));
}
BENCHMARK(assignmentPlan)
    ->ArgName("instances")
    ->Arg(12)
    ->Arg(100)
    ->Arg(910)
    ->Unit(benchmark::kMicrosecond);

/// Simulates a complete copy in virtual time; reports the ratio of its time to
/// the bound M + floor(log2 N) for M chunks and N agents.
void wholeCopy(benchmark::State &State) {
  SimulationOptions Options;
  Options.m_Agents = static_cast<std::uint32_t>(State.range(0));
  Options.m_Chunks = 256;
  Options.m_SharedLinks = State.range(1) != 0;
  SimulationResult Result;
  for (auto Each : State)
    Result = SwarmSimulation(Options).run();
  State.counters["ratio"] = Result.ratio();
  State.counters["originCopies"] = Result.m_OriginCopies;
  State.counters["messagesPerChunk"] =
      static_cast<double>(Result.m_ControlMessages) / Options.m_Agents /
      Options.m_Chunks;
}
BENCHMARK(wholeCopy)
    ->ArgNames({"agents", "shared"})
    ->ArgsProduct({{8, 16, 32, 64, 256, 910}, {0, 1}})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

} // namespace
