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

/// An engine whose reads take time and whose writes can time out or be lost.
class SlowEngine : public FakeEngine {
public:
  using FakeEngine::FakeEngine;

  net::asio::awaitable<Outcome<std::string>>
  staged(WeightsId Weights, std::uint32_t Index) override {
    m_Now += m_ReadTime;
    auto Bytes = co_await FakeEngine::staged(Weights, Index);
    if (Index == 0 && m_CorruptsOnce.exchange(false))
      co_await FakeEngine::stage(Weights, 0, "bad");
    co_return Bytes;
  }
  net::asio::awaitable<Outcome<bool>>
  stage(WeightsId Weights, std::uint32_t Index, std::string Bytes) override {
    if (m_TimesOut)
      co_return Error{ErrorCode::Timeout, "no answer"};
    if (m_DropsOnce.exchange(false))
      co_return true;
    co_return co_await FakeEngine::stage(Weights, Index, std::move(Bytes));
  }

  TimePoint m_Now{1h};
  Duration m_ReadTime{};
  std::atomic<bool> m_CorruptsOnce{false}; ///< corrupt chunk 0 after a read
  std::atomic<bool> m_DropsOnce{false}; ///< acknowledge a write, store nothing
  bool m_TimesOut = false;
};

class StagingCacheTest : public testing::Test {
protected:
  StagingCacheTest() {
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
  std::string stagedInEngine(std::uint32_t Index) {
    const auto Got = m_Loop.await(m_Engine.staged(Weights, Index));
    return Got ? *Got : "";
  }
  /// Corrupts a staged chunk behind the cache's back.
  void corrupt(std::uint32_t Index) {
    EXPECT_TRUE(m_Loop.await(m_Engine.stage(Weights, Index, "bad")));
  }
  StagedState verify() {
    return m_Loop.await(m_Cache.verifyAndRepair(m_Wanted));
  }
  bool verifyAndRepair() { return verify() == StagedState::Verified; }
  void declareNext() {
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

TEST_F(StagingCacheTest, WritesBehindAndServesFromMemory) {
  stage(0, "one");
  stage(1, "two");
  EXPECT_TRUE(verifyAndRepair());
  EXPECT_EQ(stagedInEngine(0), "one");
  EXPECT_EQ(stagedInEngine(1), "two");
  corrupt(0);
  const auto Served = m_Loop.await(m_Cache.staged(Weights, 0));
  ASSERT_TRUE(Served);
  EXPECT_EQ(*Served, "one");
}

TEST_F(StagingCacheTest, RepairsCorruptChunksBeforeAnOrder) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(verifyAndRepair());
  corrupt(1);
  EXPECT_TRUE(verifyAndRepair());
  EXPECT_EQ(stagedInEngine(1), "two");
}

TEST_F(StagingCacheTest, DoesNotOverwriteAVersionThatIsNotLoadedYet) {
  m_Cache.keepOnly({Weights, Next});
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(verifyAndRepair());
  EXPECT_TRUE(m_Loop.await(m_Cache.stage(Next, 0, "new")));
  EXPECT_TRUE(verifyAndRepair());
  EXPECT_EQ(stagedInEngine(0), "one");
  // Once that version is loaded, chunks that arrived meanwhile are written.
  m_Cache.writeBehind(Next);
  m_Wanted.m_Weights = Next;
  m_Wanted.m_Chunks = {digestOfBytes("new")};
  EXPECT_TRUE(verifyAndRepair());
  const auto Staged = m_Loop.await(m_Engine.staged(Next, 0));
  ASSERT_TRUE(Staged);
  EXPECT_EQ(*Staged, "new");
}

TEST_F(StagingCacheTest, ReportsChunksThatCannotBeRepaired) {
  stage(0, "one");
  EXPECT_EQ(verify(), StagedState::Unrepairable);
  corrupt(1);
  EXPECT_EQ(verify(), StagedState::Unrepairable);
  // Corrupt in the cache and in staging.
  stage(1, "twe");
  EXPECT_EQ(verify(), StagedState::Unrepairable);
}

TEST_F(StagingCacheTest, DropsOtherWeights) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(verifyAndRepair());
  m_Cache.keepOnly({WeightsId{"m@3"}});
  corrupt(0);
  EXPECT_EQ(verify(), StagedState::Unrepairable);
}

// Guards against a chunk that becomes corrupt after it was verified, when the
// order is sent much later.
TEST_F(StagingCacheTest, VerifiesAgainWhenAPassTookTooLong) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(verifyAndRepair());
  m_Engine.m_ReadTime = 700ms;
  m_Engine.m_CorruptsOnce = true;
  ASSERT_TRUE(verifyAndRepair());
  EXPECT_EQ(stagedInEngine(0),
            "bad"); // Within the time the platform tolerates it.
  m_Engine.m_ReadTime = 2s;
  EXPECT_EQ(verify(), StagedState::Uncertain);
  EXPECT_EQ(stagedInEngine(0), "one");
  m_Engine.m_ReadTime = 1ms;
  EXPECT_TRUE(verifyAndRepair());
}

// Guards against taking a write that was acknowledged but not stored for a
// repair.
TEST_F(StagingCacheTest, DetectsAnAcknowledgedWriteThatWasNotStored) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(verifyAndRepair());
  corrupt(0);
  m_Engine.m_DropsOnce = true;
  EXPECT_TRUE(verifyAndRepair());
  EXPECT_EQ(stagedInEngine(0), "one");
}

// Guards against a late write of the previous version that replaces a chunk
// after its verification.
TEST_F(StagingCacheTest, IsUncertainWhileATimedOutWriteMayStillBeStored) {
  m_Engine.m_TimesOut = true;
  stage(0, "one");
  stage(1, "two");
  m_Engine.m_TimesOut = false;
  declareNext();
  m_Cache.writeBehind(Next);
  EXPECT_EQ(verify(), StagedState::Uncertain);
  m_Engine.m_Now += 4s;
  EXPECT_TRUE(verifyAndRepair());
}

TEST_F(StagingCacheTest, DoesNotWaitForATimedOutWriteOfTheSameChunk) {
  m_Engine.m_TimesOut = true;
  stage(0, "one");
  stage(1, "two");
  m_Engine.m_TimesOut = false;
  EXPECT_TRUE(verifyAndRepair());
}

// Guards against a load order that is accepted late, when staging already holds
// the next version.
TEST_F(StagingCacheTest, IsNotOverwrittenWhileATimedOutOrderMayBeAccepted) {
  stage(0, "one");
  stage(1, "two");
  ASSERT_TRUE(verifyAndRepair());
  m_Cache.noteUnansweredOrder(Weights);
  EXPECT_TRUE(verifyAndRepair()); // The same weights may be ordered again.
  declareNext();
  m_Cache.writeBehind(Next);
  EXPECT_EQ(verify(), StagedState::Uncertain);
  EXPECT_FALSE(m_Loop.await(m_Engine.staged(Next, 0)));
  m_Engine.m_Now += 4s;
  m_Cache.writeBehind(Next);
  EXPECT_TRUE(verifyAndRepair());
}

} // namespace
