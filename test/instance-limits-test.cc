// Instances that limit their requests, or are cold.
#include "instance-table-fixture.h"

#include <gtest/gtest.h>

#include <optional>
#include <set>

using namespace deckpitch;
using namespace deckpitch::test;
using namespace std::chrono_literals;

namespace {

class ColdInstances : public InstanceTableTest {
protected:
  ColdInstances() {
    ServiceDeclaration Service;
    Service.m_Id = Pool;
    Service.m_ColdPerSecond = 10;
    m_Table.setServices({Service});
    m_Table.setColdStartBound(ColdStartBound{1.5, 5});
  }
  static FleetInstance cold(std::chrono::milliseconds Left) {
    FleetInstance Out = listed("i");
    Out.m_ColdLeft = Left;
    return Out;
  }
  std::optional<ColdStartLimit> limitAt(TimePoint Now) const {
    const auto Question = m_Table.slotQuestion({"i"}, m_Query, Now);
    return Question ? Question->m_ColdStart : std::nullopt;
  }
};

TEST_F(ColdInstances, EntryAsksBeforeItSendsToOne) {
  list({cold(3s)});
  ASSERT_TRUE(limitAt(Start));
  EXPECT_EQ(limitAt(Start)->m_PerSecond, 10);
  EXPECT_EQ(limitAt(Start + 1s)->m_Left, 2s);
  EXPECT_TRUE(m_Table.isRateLimited({"i"}, Start));
  EXPECT_EQ(m_Table.coldCount(Start), 1U);
  EXPECT_FALSE(limitAt(Start + 3s));
}

/// The list is read again before the platform has written another value.
TEST_F(ColdInstances, SameListDoesNotProlongIt) {
  list({cold(3s)});
  m_Table.setInstances({cold(3s)}, Start + 2s);
  EXPECT_FALSE(limitAt(Start + 3s));
}

/// An instance may become cold again at any moment.
TEST_F(ColdInstances, MayBecomeColdAgain) {
  list({cold(0s)});
  EXPECT_FALSE(limitAt(Start));
  m_Table.setInstances({cold(2s)}, Start + 1s);
  EXPECT_TRUE(limitAt(Start + 1s));
  m_Table.setInstances({cold(0s)}, Start + 2s);
  EXPECT_FALSE(limitAt(Start + 2s));
}

TEST_F(ColdInstances, WithoutABoundThereAreNone) {
  m_Table.setColdStartBound(std::nullopt);
  list({cold(3s)});
  EXPECT_FALSE(limitAt(Start));
}

/// Two instances whose agents report them as idle; the first limits its
/// requests.
class RateLimitedInstance : public InstanceTableTest {
protected:
  RateLimitedInstance() {
    list({m_First, m_Second});
    m_Query.m_Objective = 300ms;
    report(m_First, Start);
    report(m_Second, Start);
  }

  void report(const FleetInstance &Of, TimePoint Now,
              std::optional<RateLimitReport> Limit = {}) {
    InstanceReport Report{0, 0, true, true, Of.m_Weights};
    Report.m_RateLimit = std::move(Limit);
    m_Table.report(Of.m_Address, std::move(Report), Now);
  }
  /// The first instance's answer, to a request that took a millisecond.
  bool answered(std::optional<double> PerSecond, TimePoint Now) {
    return m_Table.rateObserved({"first"}, {PerSecond, Now - 1ms, Now});
  }
  static RateLimitReport limit(double PerSecond, Duration NextIn) {
    return {{"first"}, {PerSecond, Start, Start + 1ms}, true, NextIn};
  }

  const FleetInstance m_First = listed("first");
  const FleetInstance m_Second = listed("second");
};

/// While the agent's next grant was 2 s away, each request asked it in vain.
TEST_F(RateLimitedInstance, IsPassedOverUntilItsNextGrant) {
  report(m_First, Start, limit(0.5, 400ms));
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(chosen(Start + 100ms), "second");
  m_Query.m_Tried = {{"second"}};
  const InstanceChoice None = m_Table.choose(m_Query, Start + 100ms);
  EXPECT_EQ(None.m_Outcome, ChoiceOutcome::RateLimited);
  // It accepts one request in two seconds.
  EXPECT_EQ(None.m_RetryAfter, 2s);
  EXPECT_EQ(chosen(Start + 400ms), "first");
}

/// Callers were told to return within some tens of milliseconds, as to a full
/// engine.
TEST_F(RateLimitedInstance, RetryAfterCountsWhatTheLimitsAllow) {
  report(m_First, Start, limit(2, 100ms));
  m_Table.rateReported({{"second"}, {3, Start, Start + 1ms}, true, 100ms},
                       Start);
  const InstanceChoice None = m_Table.choose(m_Query, Start + 10ms);
  EXPECT_EQ(None.m_Outcome, ChoiceOutcome::RateLimited);
  EXPECT_EQ(None.m_RetryAfter, 200ms);
}

/// A request counts more at an instance that accepts few.
TEST_F(RateLimitedInstance, IsChosenAsASmallerInstance) {
  m_Table.started({"first"}, Start);
  for (int I = 0; I < 2; ++I)
    m_Table.started({"second"}, Start);
  EXPECT_EQ(chosen(), "first");
  report(m_First, Start, limit(0.5, 0ms));
  EXPECT_EQ(chosen(), "second");
}

TEST_F(RateLimitedInstance, IsLastChoiceOfRequestsThatRunOnce) {
  report(m_First, Start, limit(100, 0ms));
  m_Query.m_AvoidsLimited = true;
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(chosen(), "second");
  for (int I = 0; I < 50; ++I)
    m_Table.started({"second"}, Start);
  EXPECT_EQ(chosen(), "first");
}

/// An entry that could not reach the agent sent without a question.
TEST_F(RateLimitedInstance, IsAskedForWithoutAnAgentToo) {
  const TimePoint Later = Start + 5s;
  m_Table.dataReceived({"first"}, Start);
  EXPECT_FALSE(m_Table.slotQuestion({"first"}, m_Query, Later));
  EXPECT_TRUE(answered(0.5, Later));
  const auto Question = m_Table.slotQuestion({"first"}, m_Query, Later);
  ASSERT_TRUE(Question);
  EXPECT_EQ(Question->m_Grantor, SlotGrantor::Entry);
  EXPECT_EQ(Question->m_RateLimit->m_Newest.m_PerSecond, 0.5);
  report(m_First, Later);
  EXPECT_EQ(m_Table.slotQuestion({"first"}, m_Query, Later)->m_Grantor,
            SlotGrantor::Agent);
}

TEST_F(RateLimitedInstance, LimitOfAnotherProcessIsKeptUntilAnswersEndIt) {
  report(m_First, Start + 100ms, limit(0.5, 10s));
  ASSERT_EQ(m_Table.takeReportedLimits().size(), 1U);
  EXPECT_TRUE(m_Table.takeReportedLimits().empty());
  EXPECT_TRUE(m_Table.isAtRateLimit({"first"}, Start + 1s));
  ASSERT_EQ(m_Table.limitedInstances(Start + 1s).size(), 1U);
  EXPECT_EQ(m_Table.limitedInstances(Start + 1s)[0].m_Age, 1s);
  EXPECT_TRUE(answered(std::nullopt, Start + 2s));
  EXPECT_FALSE(m_Table.isRateLimited({"first"}, Start));
  EXPECT_TRUE(m_Table.limitedInstances(Start + 2s).empty());
  // The agent does not know yet that the limit has ended.
  report(m_First, Start + 3s, limit(0.5, 10s));
  EXPECT_FALSE(m_Table.isRateLimited({"first"}, Start));
  m_Query.m_Tried = {{"second"}};
  EXPECT_EQ(chosen(Start + 3s), "first");
  EXPECT_EQ(m_Table.slotQuestion({"first"}, m_Query, Start + 3s)
                ->m_RateLimit->m_Newest.m_PerSecond,
            std::nullopt);
}

TEST_F(RateLimitedInstance, NewIncarnationHasNoLimit) {
  EXPECT_TRUE(answered(0, Start));
  FleetInstance Next = m_First;
  Next.m_Id = {"first~2"};
  list({Next, m_Second});
  EXPECT_FALSE(m_Table.isRateLimited(Next.m_Id, Start));
  // The agent still reports the limit of the former incarnation.
  report(Next, Start, limit(0, 10s));
  EXPECT_FALSE(m_Table.isRateLimited(Next.m_Id, Start));
}

} // namespace
