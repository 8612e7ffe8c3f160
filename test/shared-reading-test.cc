#include "deckpitch/shared-reading.h"

#include "deckpitch/instance-list.h"
#include "deckpitch/store-belief.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr ReadingPlan Plan{500ms, 840ms, 40ms, 280ms, 1'400ms};
constexpr TimePoint Start{1h};

SharedReading readingOf(ReadingTurn Turn) {
  SharedReading Out(Plan);
  Out.setTurn(Turn);
  return Out;
}

TEST(SharedReading, IsDueAtOnceWhileNothingIsKnown) {
  EXPECT_LE(readingOf({0, 0}).due(), Start);
  EXPECT_LE(readingOf({7, 3}).due(), Start);
}

TEST(SharedReading, FirstReadsAndOthersTakeOverByRank) {
  struct Row {
    ReadingTurn m_Turn;
    Duration m_Due;
  };
  // One process in each data centre reads first: reads from several data
  // centres cross different links.
  for (const Row &Each :
       {Row{{0, 0}, 500ms}, Row{{1, 0}, 840ms}, Row{{1, 1}, 880ms},
        Row{{12, 0}, 840ms}, Row{{13, 1}, 880ms}, Row{{19, 7}, 1'120ms},
        Row{{41, 41}, 1'120ms}}) {
    SharedReading Under = readingOf(Each.m_Turn);
    Under.confirm(Start);
    EXPECT_EQ(Under.due() - Start, Each.m_Due)
        << Each.m_Turn.m_All << " " << Each.m_Turn.m_Near;
  }
}

TEST(SharedReading, OlderUpdateDoesNotDelayRead) {
  SharedReading Under = readingOf({1, 1});
  Under.confirm(Start);
  Under.confirm(Start - 300ms);
  EXPECT_EQ(Under.asOf(), Start);
}

TEST(SharedReading, AnnouncedChangeIsReadByRank) {
  SharedReading Under = readingOf({5, 3});
  Under.confirm(Start);
  Under.noteBehind(Start + 50ms, Under.turnWait());
  EXPECT_EQ(Under.due(), Start + 50ms + 120ms);
  Under.noteBehind(Start + 60ms,
                   0ms); // A process of this data centre holds it now.
  EXPECT_EQ(Under.due(), Start + 60ms);
  Under.noteBehind(Start + 70ms, Under.turnWait());
  EXPECT_EQ(Under.due(), Start + 60ms);
  EXPECT_EQ(Under.behindFor(Start + 90ms), 40ms);
  Under.confirm(Start + 100ms);
  EXPECT_GT(Under.due(), Start + 100ms);
  EXPECT_EQ(Under.behindFor(Start + 200ms), 0ms);
}

TEST(SharedReading, CatchesUpFromOlderRead) {
  SharedReading Under = readingOf({1, 0});
  Under.confirm(Start);
  Under.noteBehind(Start, 0ms);
  Under.confirm(Start - 10ms);
  EXPECT_TRUE(Under.isBehind());
  Under.noteCaughtUp();
  EXPECT_FALSE(Under.isBehind());
  EXPECT_EQ(Under.asOf(), Start);
}

TEST(DeclarationFreshness, NewerVersionStopsDenialThenService) {
  constexpr Duration Bound = 2s;
  SharedReading Under = readingOf({1, 0});
  Under.confirm(Start);
  EXPECT_EQ(beliefOf(Under, Bound, Start + 100ms),
            (StoreBelief{100ms, false, false}));
  EXPECT_EQ(beliefOf(Under, Bound, Start + 2s), (StoreBelief{2s, true, false}));
  Under.confirm(Start + 2s);
  Under.noteBehind(Start + 2'100ms, 0ms);
  EXPECT_EQ(beliefOf(Under, Bound, Start + 2'100ms),
            (StoreBelief{100ms, true, false}));
  EXPECT_EQ(beliefOf(Under, Bound, Start + 3'100ms),
            (StoreBelief{1'100ms, true, true}));
  Under.confirm(Start + 3'200ms);
  EXPECT_EQ(beliefOf(Under, Bound, Start + 3'200ms),
            (StoreBelief{0ms, false, false}));
}

TEST(SharedReading, IsStaleAfterAllRanksFailed) {
  SharedReading Under = readingOf({3, 3});
  EXPECT_FALSE(Under.isStale(Start));
  Under.confirm(Start);
  EXPECT_FALSE(Under.isStale(Start + 1'300ms));
  EXPECT_TRUE(Under.isStale(Start + 1'500ms));
}

FleetInstance instanceOf(const std::string &Id, bool IsLeaving = false) {
  FleetInstance Out;
  Out.m_Id = {Id};
  Out.m_Address = "10.0.0." + Id.substr(0, 2) + ":80";
  Out.m_IsLeaving = IsLeaving;
  Out.m_Weights = {{"m", 1, true}};
  return Out;
}

InstanceList listOf(const std::vector<FleetInstance> &All) {
  InstanceList Out;
  for (const FleetInstance &Each : All)
    Out.emplace(Each.m_Id, Each);
  return Out;
}

TEST(InstanceList, ChangeLeadsToNextList) {
  const InstanceList Before = listOf({instanceOf("i1"), instanceOf("i2")});
  const InstanceList After = listOf({instanceOf("i2", true), instanceOf("i3")});
  const InstanceListChange Change = changeBetween(Before, After);
  EXPECT_EQ(Change.m_Put.size(), 2U);
  EXPECT_EQ(Change.m_Removed, std::vector<InstanceId>{{"i1"}});
  EXPECT_EQ(applyChange(Before, Change), After);
}

TEST(InstanceList, ChangeOfAnotherListIsRejected) {
  const InstanceList Before = listOf({instanceOf("i1")});
  const InstanceListChange Change =
      changeBetween(Before, listOf({instanceOf("i1"), instanceOf("i2")}));
  EXPECT_FALSE(applyChange(listOf({instanceOf("i9")}), Change));
  InstanceListChange Cut = Change; // Instances that did not fit are left out.
  Cut.m_Put.clear();
  EXPECT_FALSE(applyChange(Before, Cut));
}

TEST(InstanceList, FingerprintCoversEveryField) {
  const std::uint64_t Plain = fingerprintOf(listOf({instanceOf("i1")}));
  EXPECT_EQ(Plain, fingerprintOf(listOf({instanceOf("i1")})));
  EXPECT_NE(Plain, fingerprintOf(listOf({instanceOf("i1", true)})));
  FleetInstance Other = instanceOf("i1");
  Other.m_Weights.front().m_Version = 2;
  EXPECT_NE(Plain, fingerprintOf(listOf({Other})));
  Other = instanceOf("i1");
  Other.m_Slots = 7;
  EXPECT_NE(Plain, fingerprintOf(listOf({Other})));
  Other = instanceOf("i1");
  Other.m_Start = 7;
  EXPECT_NE(Plain, fingerprintOf(listOf({Other})));
  EXPECT_NE(Plain, fingerprintOf({}));
}

TEST(LapsedInstances, AreGoneAfterTwoSecondsUnlessListed) {
  const InstanceList Known = listOf({instanceOf("i1"), instanceOf("i2")});
  LapsedInstances Under;
  Under.storeReturned(Start);
  EXPECT_EQ(Under.complete({}, Known, Start), Known);
  const InstanceList Back = listOf({instanceOf("i1")});
  EXPECT_EQ(Under.complete(Back, Known, Start + 1s), Known);
  EXPECT_EQ(Under.complete(Back, Known, Start + 2s), Back);
}

TEST(LapsedInstances, MissingAfterBeingListedAgainIsGone) {
  const InstanceList Known = listOf({instanceOf("i1"), instanceOf("i2")});
  LapsedInstances Under;
  Under.storeReturned(Start);
  EXPECT_EQ(Under.complete(Known, Known, Start), Known);
  const InstanceList Left = listOf({instanceOf("i1")});
  EXPECT_EQ(Under.complete(Left, Known, Start + 100ms), Left);
}

TEST(LapsedInstances, GoneWhenAddressHasAnotherIncarnation) {
  const InstanceList Known = listOf({instanceOf("i1~1")});
  LapsedInstances Under;
  Under.storeReturned(Start);
  const InstanceList Next = listOf({instanceOf("i1~2")});
  EXPECT_EQ(Under.complete(Next, Known, Start), Next);
}

TEST(LapsedInstances, MissingWithoutOutageIsGone) {
  const InstanceList Known = listOf({instanceOf("i1")});
  LapsedInstances Under;
  EXPECT_TRUE(Under.complete({}, Known, Start).empty());
  Under.storeReturned(Start);
  const InstanceList Leaving = listOf({instanceOf("i1", true)});
  EXPECT_TRUE(Under.complete({}, Leaving, Start).empty());
}

} // namespace
