#include "cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

constexpr std::uint64_t MiB = std::uint64_t{1024} * 1024;
constexpr std::uint32_t ChunkBytes = 64 * 1024;

std::uint64_t originBytes(Cluster &Under) {
  return counterOf(Under.origin(), "bytes");
}

TEST(RolloutCluster, BringsEveryEngineToTheDeclaredWeights) {
  Cluster Under({.m_Engines = 4});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", 4 * MiB, ChunkBytes);
  ASSERT_TRUE(Under.declarePool("chat", "m", "1")) << Under.logs();
  ASSERT_TRUE(eventually([&] { return Under.enginesServing("m@1") == 4; }))
      << Under.logs();
  EXPECT_LE(originBytes(Under), 4 * MiB * 105 / 100);
}

TEST(RolloutCluster, TakesAddressesThatNameTheirAdapter) {
  Cluster Under({.m_Entries = 1,
                 .m_Engines = 1,
                 .m_Services = 1,
                 .m_Store = true,
                 .m_Scheme = "http://"});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", MiB, ChunkBytes);
  ASSERT_TRUE(Under.declarePool("chat", "m", "1")) << Under.logs();
  ASSERT_TRUE(Under.declareServicePool("/orders")) << Under.logs();
  const auto Answered = [&](const std::string &Target, const char *Body) {
    const auto Got = call(Under.entry(0).m_Requests, "POST", Target, Body);
    return statusOf(Got) == 200;
  };
  EXPECT_TRUE(eventually([&] {
    return Answered("/v1/chat/completions", R"({"model":"chat"})");
  })) << Under.logs();
  EXPECT_TRUE(eventually([&] { return Answered("/orders/1", "x"); }))
      << Under.logs();
}

/// Chunks in the staging of one engine, by its own word.
std::size_t staged(Cluster &Under, std::size_t Engine) {
  const auto Status =
      jsonOf(call(Under.engine(Engine).m_Address, "GET", "/v1/engine/status"));
  std::size_t Count = 0;
  if (Status.is_object())
    for (const auto &Each : Status.at("staging").as_array())
      Count += Each.at("chunks").as_array().size();
  return Count;
}

constexpr std::uint64_t SlowOrigin = 2 * MiB;
constexpr std::size_t Chunks = 4 * MiB / ChunkBytes;

bool slowOrigin(Cluster &Under) {
  return setFaults(Under.origin(),
                   R"({"bytesPerSecond":)" + std::to_string(SlowOrigin) + "}");
}

TEST(RolloutCluster, AKilledAgentGoesOnFromWhatIsStaged) {
  Cluster Under({.m_Engines = 3});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", 4 * MiB, ChunkBytes);
  ASSERT_TRUE(slowOrigin(Under));
  ASSERT_TRUE(Under.declarePool("chat", "m", "1"));
  ASSERT_TRUE(eventually([&] { return staged(Under, 0) > Chunks / 2; }));
  Under.agent(0).m_Process->signal(SIGKILL);
  EXPECT_EQ(Under.enginesServing("m@1"), 0U);
  ASSERT_TRUE(Under.restart(Under.agent(0))) << Under.failure();
  ASSERT_TRUE(eventually([&] { return Under.enginesServing("m@1") == 3; }))
      << Under.logs();
  EXPECT_LE(originBytes(Under), 4 * MiB * 3 / 2);
}

TEST(RolloutCluster, AVersionThatChangesOnTheWayIsTheOnlyOneServed) {
  Cluster Under({.m_Engines = 3});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", 4 * MiB, ChunkBytes, 1);
  Under.addWeights("m@2", 4 * MiB, ChunkBytes, 2);
  ASSERT_TRUE(slowOrigin(Under));
  ASSERT_TRUE(Under.declarePool("chat", "m", "1"));
  ASSERT_TRUE(eventually([&] { return staged(Under, 0) > Chunks / 2; }));
  ASSERT_TRUE(Under.declarePool("chat", "m", "2"));
  ASSERT_TRUE(eventually([&] { return Under.enginesServing("m@2") == 3; }))
      << Under.logs();
  EXPECT_EQ(Under.enginesServing("m@1"), 0U);
}

TEST(RolloutCluster, CorruptChunksFromTheOriginAreNeverServed) {
  Cluster Under({.m_Engines = 2});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", 4 * MiB, ChunkBytes);
  ASSERT_TRUE(setFaults(Under.origin(), R"({"corruptChunks":[3]})"));
  ASSERT_TRUE(Under.declarePool("chat", "m", "1"));
  ASSERT_TRUE(eventually([&] {
    return Under.logs().find("ChunkCorrupt") != std::string::npos &&
           staged(Under, 0) >= Chunks - 1;
  })) << Under.logs();
  EXPECT_EQ(Under.enginesServing("m@1"), 0U);
  ASSERT_TRUE(setFaults(Under.origin(), "{}"));
  ASSERT_TRUE(eventually([&] { return Under.enginesServing("m@1") == 2; }))
      << Under.logs();
}

} // namespace
