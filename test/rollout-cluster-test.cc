#include "cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

constexpr std::uint64_t MiB = std::uint64_t{1024} * 1024;
constexpr std::uint32_t ChunkBytes = 64 * 1024;

std::uint64_t originBytes(Cluster &TestCluster) {
  return counterOf(TestCluster.origin(), "bytes");
}

TEST(RolloutCluster, BringsEveryEngineToTheDeclaredWeights) {
  Cluster TestCluster({.m_Engines = 4});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", 4 * MiB, ChunkBytes);
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "1")) << TestCluster.logs();
  ASSERT_TRUE(eventually([&] {
    return TestCluster.enginesServing("m@1") == 4;
  })) << TestCluster.logs();
  EXPECT_LE(originBytes(TestCluster), 4 * MiB * 105 / 100);
}

TEST(RolloutCluster, AcceptsAddressesWithAScheme) {
  Cluster TestCluster({.m_Entries = 1,
                       .m_Engines = 1,
                       .m_Services = 1,
                       .m_Store = true,
                       .m_Scheme = "http://"});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", MiB, ChunkBytes);
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "1")) << TestCluster.logs();
  ASSERT_TRUE(TestCluster.declareServicePool("/orders")) << TestCluster.logs();
  const auto Succeeds = [&](const std::string &Target, const char *Body) {
    const auto Response =
        call(TestCluster.entry(0).m_Requests, "POST", Target, Body);
    return statusOf(Response) == 200;
  };
  EXPECT_TRUE(eventually([&] {
    return Succeeds("/v1/chat/completions", R"({"model":"chat"})");
  })) << TestCluster.logs();
  EXPECT_TRUE(eventually([&] { return Succeeds("/orders/1", "x"); }))
      << TestCluster.logs();
}

/// Returns the number of chunks that the engine reports in its staging.
std::size_t stagedChunks(Cluster &TestCluster, std::size_t Engine) {
  const auto Status = jsonOf(
      call(TestCluster.engine(Engine).m_Address, "GET", "/v1/engine/status"));
  std::size_t Count = 0;
  if (Status.is_object())
    for (const auto &Each : Status.at("staging").as_array())
      Count += Each.at("chunks").as_array().size();
  return Count;
}

constexpr std::uint64_t SlowOriginBytesPerSecond = 2 * MiB;
constexpr std::size_t ChunkCount = 4 * MiB / ChunkBytes;

bool throttleOrigin(Cluster &TestCluster) {
  return setFaults(TestCluster.origin(),
                   R"({"bytesPerSecond":)" +
                       std::to_string(SlowOriginBytesPerSecond) + "}");
}

TEST(RolloutCluster, ARestartedAgentContinuesFromItsStagedChunks) {
  Cluster TestCluster({.m_Engines = 3});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", 4 * MiB, ChunkBytes);
  ASSERT_TRUE(throttleOrigin(TestCluster));
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "1"));
  ASSERT_TRUE(eventually(
      [&] { return stagedChunks(TestCluster, 0) > ChunkCount / 2; }));
  TestCluster.agent(0).m_Process->signal(SIGKILL);
  EXPECT_EQ(TestCluster.enginesServing("m@1"), 0U);
  ASSERT_TRUE(TestCluster.restart(TestCluster.agent(0)))
      << TestCluster.failure();
  ASSERT_TRUE(eventually([&] {
    return TestCluster.enginesServing("m@1") == 3;
  })) << TestCluster.logs();
  EXPECT_LE(originBytes(TestCluster), 4 * MiB * 3 / 2);
}

TEST(RolloutCluster, AVersionChangedDuringTheCopyIsTheOnlyOneServed) {
  Cluster TestCluster({.m_Engines = 3});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", 4 * MiB, ChunkBytes, 1);
  TestCluster.addWeights("m@2", 4 * MiB, ChunkBytes, 2);
  ASSERT_TRUE(throttleOrigin(TestCluster));
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "1"));
  ASSERT_TRUE(eventually(
      [&] { return stagedChunks(TestCluster, 0) > ChunkCount / 2; }));
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "2"));
  ASSERT_TRUE(eventually([&] {
    return TestCluster.enginesServing("m@2") == 3;
  })) << TestCluster.logs();
  EXPECT_EQ(TestCluster.enginesServing("m@1"), 0U);
}

TEST(RolloutCluster, CorruptChunksFromTheOriginAreNeverServed) {
  Cluster TestCluster({.m_Engines = 2});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", 4 * MiB, ChunkBytes);
  ASSERT_TRUE(setFaults(TestCluster.origin(), R"({"corruptChunks":[3]})"));
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "1"));
  ASSERT_TRUE(eventually([&] {
    return TestCluster.logs().find("ChunkCorrupt") != std::string::npos &&
           stagedChunks(TestCluster, 0) >= ChunkCount - 1;
  })) << TestCluster.logs();
  EXPECT_EQ(TestCluster.enginesServing("m@1"), 0U);
  ASSERT_TRUE(setFaults(TestCluster.origin(), "{}"));
  ASSERT_TRUE(eventually([&] {
    return TestCluster.enginesServing("m@1") == 2;
  })) << TestCluster.logs();
}

} // namespace
