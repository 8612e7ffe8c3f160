// Faults during the distribution of weights, simulated in virtual time.
#include "simulation/swarm-simulation.h"
#include "simulation/tree-simulation.h"

#include <gtest/gtest.h>

#include <bit>
#include <chrono>
#include <functional>

using namespace deckpitch;
using namespace deckpitch::simulation;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Agents = 16;

SimulationOptions options() {
  SimulationOptions Out;
  Out.m_Agents = Agents;
  Out.m_Chunks = 128;
  Out.m_Peers = 8;
  return Out;
}

/// A fault and the limits of its cost.
struct Row {
  const char *m_Name;
  std::function<void(SwarmSimulation &)> m_Fault;
  double m_MaxRatio;  ///< of the bound without faults
  double m_MaxCopies; ///< read from the origin
};

void PrintTo(const Row &Value, std::ostream *Out) { *Out << Value.m_Name; }

constexpr Duration Half = 6s; ///< about half of the distribution is done

class SwarmFault : public testing::TestWithParam<Row> {};

/// Virtual time after which a run that does not complete is cut off and fails.
Duration limitOf(const Row &Of, const SimulationOptions &Options) {
  const double Bound = Options.m_Chunks + std::bit_width(Agents) - 1;
  const double Limit = 1.01 * Of.m_MaxRatio * Bound;
  return std::chrono::duration_cast<Duration>(Limit * Options.m_ChunkTime);
}

TEST_P(SwarmFault, EveryCopyCompletes) {
  for (std::uint64_t Seed : {1, 3, 5}) {
    SCOPED_TRACE(Seed);
    SimulationOptions Options = options();
    Options.m_Seed = Seed;
    SwarmSimulation Simulation(Options);
    GetParam().m_Fault(Simulation);
    const SimulationResult Result =
        Simulation.run(limitOf(GetParam(), Options));
    EXPECT_TRUE(Result.m_Complete);
    EXPECT_LE(Result.ratio(), GetParam().m_MaxRatio);
    EXPECT_LE(Result.m_OriginCopies, GetParam().m_MaxCopies);
  }
}

const Row Rows[] = {
    {"None", [](SwarmSimulation &) {}, 1.10, 1.05},
    {"OneKilled",
     [](SwarmSimulation &In) {
       In.at(Half, [](SwarmSimulation &Now) { Now.kill(0); });
     },
     1.5, 1.10},
    {"HalfReplaced",
     [](SwarmSimulation &In) {
       In.at(Half, [](SwarmSimulation &Now) {
         for (std::uint32_t I = 0; I < Agents; I += 2)
           Now.replace(I);
       });
     },
     2.5, 1.6},
    {"AllButOneReplaced",
     [](SwarmSimulation &In) {
       In.at(Half, [](SwarmSimulation &Now) {
         for (std::uint32_t I = 1; I < Agents; ++I)
           Now.replace(I);
       });
     },
     6.0, 2.0},
    {"OneStalls",
     [](SwarmSimulation &In) {
       In.at(Half, [](SwarmSimulation &Now) { Now.stall(1); });
     },
     1.6, 1.15},
    {"FourStall",
     [](SwarmSimulation &In) {
       In.at(Half, [](SwarmSimulation &Now) {
         for (std::uint32_t I = 1; I <= 4; ++I)
           Now.stall(I);
       });
     },
     3.5, 1.15},
    {"HalfStall",
     [](SwarmSimulation &In) {
       In.at(1s, [](SwarmSimulation &Now) {
         for (std::uint32_t I = 1; I <= Agents / 2; ++I)
           Now.stall(I);
       });
     },
     9.5, 1.15},
    {"OneLies",
     [](SwarmSimulation &In) {
       In.at(0s, [](SwarmSimulation &Now) { Now.corrupt(2); });
     },
     6.0, 2.2},
    {"OriginDownInTheMiddle",
     [](SwarmSimulation &In) {
       In.at(2s, [](SwarmSimulation &Now) { Now.setOriginUp(false); });
       In.at(20s, [](SwarmSimulation &Now) { Now.setOriginUp(true); });
     },
     3.5, 1.25},
    {"OriginDownAfterOneCopy",
     [](SwarmSimulation &In) {
       In.at(10s, [](SwarmSimulation &Now) { Now.setOriginUp(false); });
     },
     1.10, 1.05},
    {"OneStallsWhileOneIsReplaced",
     [](SwarmSimulation &In) {
       In.at(Half, [](SwarmSimulation &Now) {
         Now.stall(1);
         Now.replace(5);
       });
     },
     2.5, 1.3},
};

INSTANTIATE_TEST_SUITE_P(Table, SwarmFault, testing::ValuesIn(Rows),
                         [](const auto &Info) { return Info.param.m_Name; });

TEST(SwarmSimulation, ASlowLinkDoesNotDelayTheOthers) {
  SimulationOptions Options = options();
  Options.m_Slow[3] = 10.0;
  SwarmSimulation Simulation(Options);
  Simulation.run(17s); // 1.25 times the bound of 13.2 s
  EXPECT_EQ(Simulation.completeAgents(), Agents - 1);
}

TEST(SwarmSimulation, OneCopyIsReadFromTheOriginAtAnySize) {
  for (std::uint32_t Count : {8U, 32U, 64U}) {
    SimulationOptions Options = options();
    Options.m_Agents = Count;
    Options.m_Peers = 16;
    Options.m_Chunks = 256;
    const SimulationResult Result = SwarmSimulation(Options).run();
    EXPECT_LE(Result.m_OriginCopies, 1.05) << Count;
    EXPECT_LE(Result.ratio(), 1.10) << Count;
  }
}

/// Parallel reads over a slow link took longer than the delay of the next
/// reader, so 1.6 to 2.8 copies were read from the origin and the last instance
/// was complete after 4.2 s.
TEST(SwarmSimulation, ReadsNoChunkTwiceFromASlowOrigin) {
  constexpr double OriginMbps = 9;
  constexpr double LinkMbps = 9.4;
  constexpr std::uint32_t ChunkBytes = 49'152;
  constexpr double ChunkMs = ChunkBytes * 8 / LinkMbps / 1'000;
  SimulationOptions Options;
  Options.m_Agents = 76;
  Options.m_Chunks = 48;
  Options.m_DataCentres = 3;
  Options.m_OriginRate = OriginMbps / LinkMbps;
  Options.m_ChunkTime = std::chrono::round<Duration>(
      std::chrono::duration<double>(ChunkMs / 1e3));
  Options.m_Delay = 2ms;
  const OriginPacing Pacing = originPacing(OriginMbps, ChunkBytes);
  Options.m_Swarm.m_OriginWindow = Pacing.m_Window;
  Options.m_Swarm.m_OriginStep = Pacing.m_Step;
  Options.m_Swarm.m_OriginPace = Pacing.m_Chunk;
  for (std::uint64_t Seed : {1, 2}) {
    Options.m_Seed = Seed;
    const SimulationResult Result = SwarmSimulation(Options).run();
    EXPECT_LE(Result.m_OriginCopies, 1.05);
    EXPECT_LE(Result.m_Slots * ChunkMs, 3'200);
  }
}

TEST(OriginPacing, FollowsTheOriginsLink) {
  EXPECT_EQ(originPacing(9, 49'152).m_Window, 13U);
  EXPECT_EQ(std::chrono::round<std::chrono::milliseconds>(
                originPacing(9, 49'152).m_Chunk),
            44ms);
  EXPECT_EQ(originPacing(1e-300, 49'152).m_Chunk, 1min);
  EXPECT_EQ(originPacing(15, 49'152).m_Window, 22U);
  EXPECT_EQ(originPacing(9, 49'152).m_Step, 1'200ms);
  EXPECT_EQ(originPacing(0.1, 49'152).m_Window, 4U);
  // Four parallel chunks of 4 s each.
  EXPECT_GT(originPacing(0.1, 49'152).m_Step, 31s);
  EXPECT_EQ(originPacing(1e9, 49'152).m_Window, 32U);
  const OriginPacing Unknown{32, 800ms, 0ms};
  EXPECT_EQ(originPacing(0, 49'152), Unknown);
  EXPECT_EQ(originPacing(9, 0), Unknown);
  EXPECT_EQ(originPacing(-1, 49'152), Unknown);
}

SimulationResult baseline(Scheme By, bool Shared, std::uint32_t Count) {
  SimulationOptions Options = options();
  Options.m_Agents = Count;
  Options.m_SharedLinks = Shared;
  return runBaseline(Options, By);
}

TEST(TreeSimulation, MatchesTheKnownTimesOfTheSchemes) {
  // In copies, for delays and the first hop.
  constexpr double Tolerance = 0.05;
  constexpr std::uint32_t Count = 16;
  const auto Copies = [](Scheme By, bool Shared) {
    const SimulationResult Result = baseline(By, Shared, Count);
    EXPECT_TRUE(Result.m_Complete);
    return Result.m_Slots / options().m_Chunks;
  };
  for (const bool Shared : {false, true}) {
    SCOPED_TRACE(Shared);
    EXPECT_NEAR(Copies(Scheme::Chain, Shared), Count, 16 * Tolerance);
    // Agent 15 is the second receiver of 7, as 7 is of 3, and 3 of the first.
    EXPECT_NEAR(Copies(Scheme::BinaryTree, Shared), 1 + 3 * 2, 7 * Tolerance);
    EXPECT_NEAR(Copies(Scheme::EveryoneFromOrigin, Shared), Count / 2.0,
                Tolerance);
  }
  EXPECT_NEAR(Copies(Scheme::ChainOfChunks, false), 1 + 16.0 / 128, Tolerance);
  // Each link alternates between receiving and sending a chunk.
  EXPECT_NEAR(Copies(Scheme::ChainOfChunks, true), 2 + 16.0 / 128, Tolerance);
}

} // namespace
