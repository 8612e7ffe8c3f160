#include "direct/staging-cache.h"

#include "fake-engine.h"
#include "port-subjects.h"

#include <atomic>

using namespace deckpitch;
using namespace deckpitch::test;
using direct::StagedState;
using namespace std::chrono_literals;

namespace {

const WeightsId Weights{"m@2"};
const WeightsId Next{"m@3"};

Digest digestOfBytes(const std::string &Text) {
  return digestOf(
      {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()});
}

/// An engine whose reads take time, and one of whose writes gets no answer.
class SlowEngine : public FakeEngine {
public:
  using FakeEngine::FakeEngine;

  net::asio::awaitable<Outcome<std::string>>
  staged(WeightsId Weights, std::uint32_t Index) override {
    m_Now += m_ReadTime;
    auto Bytes = co_await FakeEngine::staged(Weights, Index);
    if (Index == 0 && m_SpoilsOnce.exchange(false))
      co_await FakeEngine::stage(Weights, 0, "bad");
    co_return Bytes;
  }
  net::asio::awaitable<Outcome<bool>>
  stage(WeightsId Weights, std::uint32_t Index, std::string Bytes) override {
    if (m_LosesAnswers)
      co_return Error{ErrorCode::Timeout, "no answer"};
    if (m_DropsOnce.exchange(false))
      co_return true;
    co_return co_await FakeEngine::stage(Weights, Index, std::move(Bytes));
  }

  TimePoint m_Now{1h};
  Duration m_ReadTime{};
  std::atomic<bool> m_SpoilsOnce{false}; ///< the first chunk, after a look
  std::atomic<bool> m_DropsOnce{false};  ///< a write, and says it is stored
  bool m_LosesAnswers = false;
};

class Staging : public testing::Test {
protected:
  Staging() {
    m_Wanted.m_Weights = Weights;
    m_Wanted.m_ChunkBytes = 3;
    m_Wanted.m_Bytes = 6;
    m_Wanted.m_Chunks = {digestOfBytes("one"), digestOfBytes("two")};
    m_Cache.keepOnly({Weights});
    m_Cache.writeBehind(Weights);
  }

  void stage(std::uint32_t Index, const std::string &Bytes) {
    EXPECT_TRUE(m_Loop.await(m_Cache.stage(Weights, Index, Bytes)));
  }
  std::string behind(std::uint32_t Index) {
    const auto Got = m_Loop.await(m_Engine.staged(Weights, Index));
    return Got ? *Got : "";
  }
  /// The instance's staging goes bad, or is written by another.
  void spoil(std::uint32_t Index) {
    EXPECT_TRUE(m_Loop.await(m_Engine.stage(Weights, Index, "bad")));
  }
  StagedState look() { return m_Loop.await(m_Cache.repair(m_Wanted)); }
  bool repair() { return look() == StagedState::Right; }
  void wantNext() {
    m_Cache.keepOnly({Weights, Next});
    m_Wanted.m_Weights = Next;
    m_Wanted.m_Chunks = {digestOfBytes("new")};
    EXPECT_TRUE(m_Loop.await(m_Cache.stage(Next, 0, "new")));
  }

  Loop m_Loop;
  SlowEngine m_Engine{1};
  direct::StagingCache m_Cache{m_Loop.io(), m_Engine,
                               [this] { return m_Engine.m_Now; }};
  Manifest m_Wanted;
};

TEST_F(Staging, WritesBehindAndServesFromMemory) {
  stage(0, "one");
  stage(1, "two");
  EXPECT_TRUE(repair());
  EXPECT_EQ(behind(0), "one");
  EXPECT_EQ(behind(1), "two");
  spoil(0);
  const auto Served = m_Loop.await(m_Cache.staged(Weights, 0));
  ASSERT_TRUE(Served);
  EXPECT_EQ(*Served, "one");
}

TEST_F(Staging, RepairsWhatWentBadBeforeAnOrder) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(repair());
  spoil(1);
  EXPECT_TRUE(repair());
  EXPECT_EQ(behind(1), "two");
}

TEST_F(Staging, KeepsANewerVersionFromOverwritingOneThatIsYetToBeLoaded) {
  m_Cache.keepOnly({Weights, Next});
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(repair());
  EXPECT_TRUE(m_Loop.await(m_Cache.stage(Next, 0, "new")));
  EXPECT_TRUE(repair());
  EXPECT_EQ(behind(0), "one");
  // Once that one is loaded, what came meanwhile is written.
  m_Cache.writeBehind(Next);
  m_Wanted.m_Weights = Next;
  m_Wanted.m_Chunks = {digestOfBytes("new")};
  EXPECT_TRUE(repair());
  const auto Staged = m_Loop.await(m_Engine.staged(Next, 0));
  ASSERT_TRUE(Staged);
  EXPECT_EQ(*Staged, "new");
}

TEST_F(Staging, SaysWhatCannotBeRepaired) {
  stage(0, "one");
  EXPECT_EQ(look(), StagedState::Lost);
  spoil(1);
  EXPECT_EQ(look(), StagedState::Lost);
  // Bad here and there.
  stage(1, "twe");
  EXPECT_EQ(look(), StagedState::Lost);
}

TEST_F(Staging, ForgetsOtherWeights) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(repair());
  m_Cache.keepOnly({WeightsId{"m@3"}});
  spoil(0);
  EXPECT_EQ(look(), StagedState::Lost);
}

// A chunk turned bad after the look at it, long before the order.
TEST_F(Staging, LooksAgainWhereTheFirstChunkWasLookedAtLongBeforeTheLast) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(repair());
  m_Engine.m_ReadTime = 700ms;
  m_Engine.m_SpoilsOnce = true;
  ASSERT_TRUE(repair());
  EXPECT_EQ(behind(0), "bad"); // Less than the time for which it is excused.
  m_Engine.m_ReadTime = 2s;
  EXPECT_EQ(look(), StagedState::Unsure);
  EXPECT_EQ(behind(0), "one");
  m_Engine.m_ReadTime = 1ms;
  EXPECT_TRUE(repair());
}

// A write that was answered and not stored passed for a repair.
TEST_F(Staging, SeesThatAChunkWasNotStoredThoughTheWriteWasAnswered) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(repair());
  spoil(0);
  m_Engine.m_DropsOnce = true;
  EXPECT_TRUE(repair());
  EXPECT_EQ(behind(0), "one");
}

// A chunk of the version before was stored after the look at its place.
TEST_F(Staging, IsUnsureWhileAWriteOfOtherChunksMayStillBeStored) {
  m_Engine.m_LosesAnswers = true;
  stage(0, "one");
  stage(1, "two");
  m_Engine.m_LosesAnswers = false;
  wantNext();
  m_Cache.writeBehind(Next);
  EXPECT_EQ(look(), StagedState::Unsure);
  m_Engine.m_Now += 4s;
  EXPECT_TRUE(repair());
}

TEST_F(Staging, AWriteOfTheSameChunkIsNoReasonToWait) {
  m_Engine.m_LosesAnswers = true;
  stage(0, "one");
  stage(1, "two");
  m_Engine.m_LosesAnswers = false;
  EXPECT_TRUE(repair());
}

// An order was accepted late, when the next version lay in staging.
TEST_F(Staging, IsNotOverwrittenWhileAnOrderMayStillBeAccepted) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(repair());
  m_Cache.orderUnanswered(Weights);
  EXPECT_TRUE(repair()); // The same may be ordered again.
  wantNext();
  m_Cache.writeBehind(Next);
  EXPECT_EQ(look(), StagedState::Unsure);
  EXPECT_FALSE(m_Loop.await(m_Engine.staged(Next, 0)));
  m_Engine.m_Now += 4s;
  m_Cache.writeBehind(Next);
  EXPECT_TRUE(repair());
}

} // namespace
