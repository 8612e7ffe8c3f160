#include "cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

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

} // namespace
