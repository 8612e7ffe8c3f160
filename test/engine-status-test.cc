#include "deckpitch/engine-status.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

TEST(EngineStatus, IgnoresUnknownMembers) {
  const std::string Digest(64, 'a');
  const auto Parsed = outcomeOf([&] {
    return parseEngineStatus(
        R"({"role":"mixed","fence":4,"slots":2,"loaded":[{"weights":"m@1",)"
        R"("digest":")" +
        Digest +
        R"(","state":"active"}],"staging":[{"weights":"m@1","chunks":[0,2]}],)"
        R"("load":{"running":3,"waiting":1,"limit":8,"cacheUsed":0E0}})");
  });
  ASSERT_TRUE(Parsed) << Parsed.error().m_Message;
  EXPECT_EQ(Parsed->active()->m_Weights, WeightsId{"m@1"});
  EXPECT_EQ(Parsed->m_Staging.at(0).m_Chunks, (std::vector{0U, 2U}));
  EXPECT_EQ(Parsed->m_Running, 3U);
  EXPECT_EQ(Parsed->m_Fence.m_Value, 4U);
}

TEST(EngineStatus, RefusesAnInvalidDigest) {
  const auto Parsed = outcomeOf([] {
    return parseEngineStatus(
        R"({"loaded":[{"weights":"m@1","digest":"x","state":"active"}]})");
  });
  ASSERT_FALSE(Parsed);
  EXPECT_NE(Parsed.error().m_Message.find("loaded[0].digest"),
            std::string::npos);
}

} // namespace
