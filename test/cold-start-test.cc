#include "deckpitch/cold-start.h"
#include "deckpitch/instance-grants.h"
#include "deckpitch/rate-limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};
constexpr double AcceptedPerSecond = 14;
constexpr ColdStartBound Bound{1.5, 5};
constexpr double MostInOneSecond =
    AcceptedPerSecond * Bound.m_Factor + Bound.m_Slack;

ColdStartLimit limitFrom(Duration Left) {
  return limitFor(AcceptedPerSecond, Bound, Left);
}

/// Counts the most grants in any span of one second.
class GrantCount {
public:
  void add(TimePoint At) {
    m_Recent.push_back(At);
    while (At - m_Recent.front() >= 1s)
      m_Recent.pop_front();
    m_Most = std::max(m_Most, m_Recent.size());
  }
  double most() const { return static_cast<double>(m_Most); }

private:
  std::deque<TimePoint> m_Recent;
  std::size_t m_Most = 0;
};

/// All entries send a returning instance what they have waited to send: it has
/// the fewest requests of all.
TEST(ColdStart, BoundHoldsUnderAnyDemand) {
  ColdStartGrants Grants(Start);
  GrantCount Count;
  Grants.note(limitFrom(5s), Start);
  for (TimePoint Now = Start; Now < Start + 5s; Now += 1ms) {
    // Idle in between, so that the burst fills up.
    const bool IsDemanded = (Now - Start) % 2s > 700ms;
    if (!IsDemanded || !Grants.canTake(Now))
      continue;
    Grants.take();
    Count.add(Now);
  }
  EXPECT_LE(Count.most(), MostInOneSecond);
  EXPECT_GE(Count.most(), AcceptedPerSecond);
}

/// The process that counts dies with its burst granted, and another one counts
/// from then on.
TEST(ColdStart, BoundHoldsWhenTheCountingProcessChanges) {
  GrantCount Count;
  for (TimePoint Begin = Start; Begin < Start + 4s; Begin += 400ms) {
    ColdStartGrants Grants(Begin);
    Grants.note(limitFrom(5s), Begin);
    for (TimePoint Now = Begin; Now < Begin + 400ms; Now += 1ms) {
      if (!Grants.canTake(Now))
        continue;
      Grants.take();
      Count.add(Now);
    }
  }
  EXPECT_LE(Count.most(), MostInOneSecond);
}

TEST(ColdStart, EndsWithTheLongestTimeThatIsKnown) {
  ColdStartGrants Grants(Start);
  EXPECT_TRUE(Grants.canTake(Start));
  Grants.note(limitFrom(2s), Start);
  Grants.note(limitFrom(1s), Start);
  EXPECT_FALSE(Grants.canTake(Start));
  EXPECT_TRUE(Grants.isCold(Start + 1'999ms));
  EXPECT_FALSE(Grants.isCold(Start + 2s));
}

/// A bound below the instance's own rate: never more than the bound.
TEST(ColdStart, TightBound) {
  const ColdStartLimit Limit = limitFor(20, {0.5, 0}, 1s);
  EXPECT_EQ(Limit.m_PerSecond, 10);
  EXPECT_EQ(Limit.m_Burst, 1);
}

TEST(ColdStart, AgentLimitsTheColdIncarnationOnly) {
  InstanceGrants Grants(Start);
  const PlaceQuery Query{.m_Slots = 100, .m_FirstWithin = 1s};
  Grants.noteColdStart({"i~1"}, limitFrom(3s), Start);
  EXPECT_FALSE(Grants.grant(Query, {"i~1"}, Start));
  EXPECT_TRUE(Grants.grant(Query, {"i~1"}, Start + 100ms));
  EXPECT_TRUE(Grants.grant(Query, {"i~2"}, Start + 101ms));
  EXPECT_TRUE(Grants.grant(Query, {"i~1"}, Start + 3s));
}

/// A slot that the instance does not have must not use up what it accepts.
TEST(ColdStart, RefusedSlotIsNotCounted) {
  InstanceGrants Grants(Start);
  Grants.noteColdStart({"i"}, limitFrom(3s), Start);
  Grants.reported(1, Start);
  const PlaceQuery Full{.m_Slots = 1, .m_FirstWithin = 1s};
  EXPECT_FALSE(Grants.grant(Full, {"i"}, Start + 80ms));
  const PlaceQuery Free{.m_Slots = 9, .m_FirstWithin = 1s};
  EXPECT_TRUE(Grants.grant(Free, {"i"}, Start + 80ms));
}

/// Without an agent, the entry that has the duty counts.
TEST(ColdStart, EntryCountsForInstancesWithoutAgent) {
  RateGrants Grants;
  EXPECT_FALSE(Grants.grant({"i"}, Start));
  Grants.noteColdStart({"i"}, limitFrom(3s), Start);
  EXPECT_FALSE(Grants.grant({"i"}, Start));
  EXPECT_TRUE(Grants.grant({"i"}, Start + 100ms));
  EXPECT_FALSE(Grants.grant({"i"}, Start + 100ms));
  EXPECT_FALSE(Grants.report({"i"}, Start + 100ms));
}

} // namespace
