#include "deckpitch/shared-reading.h"

#include "deckpitch/instance-list.h"
#include "deckpitch/store-freshness.h"

#include <gtest/gtest.h>

#include <set>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr ReadingPlan Plan{500ms, 840ms, 40ms, 7, 10ms, 1'400ms};
constexpr TimePoint Start{1h};

SharedReading readingOf(ReadRank Turn) {
  SharedReading Out(Plan);
  Out.setRank(Turn);
  return Out;
}

TEST(SharedReading, IsDueAtOnceWhileNothingIsKnown) {
  EXPECT_LE(readingOf({0, 0}).due(), Start);
  EXPECT_LE(readingOf({7, 3}).due(), Start);
}

TEST(SharedReading, FirstReadsAndOthersTakeOverByRank) {
  struct Row {
    ReadRank m_Turn;
    Duration m_Due;
  };
  // One process in each data centre reads first: reads from several data
  // centres cross different links.
  for (const Row &Each :
       {Row{{0, 0}, 500ms}, Row{{1, 0}, 840ms}, Row{{1, 1}, 880ms},
        Row{{12, 0}, 840ms}, Row{{13, 1}, 880ms}, Row{{19, 7}, 1'120ms},
        Row{{41, 41}, 1'460ms}}) {
    SharedReading Subject = readingOf(Each.m_Turn);
    Subject.confirm(Start);
    EXPECT_EQ(Subject.due() - Start, Each.m_Due)
        << Each.m_Turn.m_All << " " << Each.m_Turn.m_Near;
  }
}

/// All of a hundred processes after the fifth read at the same moment, and
/// filled the link between two regions so that none got an answer.
TEST(SharedReading, NoTwoOfManyProcessesReadAtTheSameTime) {
  std::set<TimePoint> Due;
  for (std::size_t Rank = 1; Rank <= 110; ++Rank) {
    SharedReading Subject(Plan);
    Subject.confirm(Start);
    Subject.setRank({Rank, Rank});
    Due.insert(Subject.due());
  }
  EXPECT_EQ(Due.size(), 110U);
}

TEST(SharedReading, OlderUpdateDoesNotDelayRead) {
  SharedReading Subject = readingOf({1, 1});
  Subject.confirm(Start);
  Subject.confirm(Start - 300ms);
  EXPECT_EQ(Subject.asOf(), Start);
}

TEST(SharedReading, AnnouncedChangeIsReadByRank) {
  SharedReading Subject = readingOf({5, 3});
  Subject.confirm(Start);
  Subject.noteBehind(Start + 50ms, Subject.rankDelay());
  EXPECT_EQ(Subject.due(), Start + 50ms + 120ms);
  Subject.noteBehind(Start + 60ms,
                     0ms); // A process of this data centre holds it now.
  EXPECT_EQ(Subject.due(), Start + 60ms);
  Subject.noteBehind(Start + 70ms, Subject.rankDelay());
  EXPECT_EQ(Subject.due(), Start + 60ms);
  EXPECT_EQ(Subject.behindFor(Start + 90ms), 40ms);
  Subject.confirm(Start + 100ms);
  EXPECT_GT(Subject.due(), Start + 100ms);
  EXPECT_EQ(Subject.behindFor(Start + 200ms), 0ms);
}

TEST(SharedReading, CatchesUpFromOlderRead) {
  SharedReading Subject = readingOf({1, 0});
  Subject.confirm(Start);
  Subject.noteBehind(Start, 0ms);
  Subject.confirm(Start - 10ms);
  EXPECT_TRUE(Subject.isBehind());
  Subject.noteCaughtUp();
  EXPECT_FALSE(Subject.isBehind());
  EXPECT_EQ(Subject.asOf(), Start);
}

TEST(DeclarationFreshness, NewerVersionStopsDenialThenService) {
  constexpr Duration Bound = 2s;
  SharedReading Subject = readingOf({1, 0});
  Subject.confirm(Start);
  EXPECT_EQ(freshnessOf(Subject, Bound, Start + 100ms),
            (StoreFreshness{100ms, false, false}));
  EXPECT_EQ(freshnessOf(Subject, Bound, Start + 2s),
            (StoreFreshness{2s, true, false}));
  Subject.confirm(Start + 2s);
  Subject.noteBehind(Start + 2'100ms, 0ms);
  EXPECT_EQ(freshnessOf(Subject, Bound, Start + 2'100ms),
            (StoreFreshness{100ms, true, false}));
  EXPECT_EQ(freshnessOf(Subject, Bound, Start + 3'100ms),
            (StoreFreshness{1'100ms, true, true}));
  Subject.confirm(Start + 3'200ms);
  EXPECT_EQ(freshnessOf(Subject, Bound, Start + 3'200ms),
            (StoreFreshness{0ms, false, false}));
}

TEST(SharedReading, IsStaleAfterAllRanksFailed) {
  SharedReading Subject = readingOf({3, 3});
  EXPECT_FALSE(Subject.isStale(Start));
  Subject.confirm(Start);
  EXPECT_FALSE(Subject.isStale(Start + 1'300ms));
  EXPECT_TRUE(Subject.isStale(Start + 1'500ms));
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

TEST(ExpiredInstances, AreGoneAfterTwoSecondsUnlessListed) {
  const InstanceList Known = listOf({instanceOf("i1"), instanceOf("i2")});
  ExpiredInstances Subject;
  Subject.storeReturned(Start);
  EXPECT_EQ(Subject.complete({}, Known, Start), Known);
  const InstanceList Back = listOf({instanceOf("i1")});
  EXPECT_EQ(Subject.complete(Back, Known, Start + 1s), Known);
  EXPECT_EQ(Subject.complete(Back, Known, Start + 2s), Back);
}

TEST(ExpiredInstances, MissingAfterBeingListedAgainIsGone) {
  const InstanceList Known = listOf({instanceOf("i1"), instanceOf("i2")});
  ExpiredInstances Subject;
  Subject.storeReturned(Start);
  EXPECT_EQ(Subject.complete(Known, Known, Start), Known);
  const InstanceList Left = listOf({instanceOf("i1")});
  EXPECT_EQ(Subject.complete(Left, Known, Start + 100ms), Left);
}

TEST(ExpiredInstances, GoneWhenAddressHasAnotherIncarnation) {
  const InstanceList Known = listOf({instanceOf("i1~1")});
  ExpiredInstances Subject;
  Subject.storeReturned(Start);
  const InstanceList Next = listOf({instanceOf("i1~2")});
  EXPECT_EQ(Subject.complete(Next, Known, Start), Next);
}

TEST(ExpiredInstances, MissingWithoutOutageIsGone) {
  const InstanceList Known = listOf({instanceOf("i1")});
  ExpiredInstances Subject;
  EXPECT_TRUE(Subject.complete({}, Known, Start).empty());
  Subject.storeReturned(Start);
  const InstanceList Leaving = listOf({instanceOf("i1", true)});
  EXPECT_TRUE(Subject.complete({}, Leaving, Start).empty());
}

} // namespace
