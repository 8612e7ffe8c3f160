#include "deckpitch/admission.h"
#include "deckpitch/retry.h"
#include "deckpitch/upstream-choice.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

AdmissionRequest request(AdmissionId Id, const std::string &Organisation,
                         Priority Level = Priority::Normal,
                         TimePoint Deadline = Start + 1h) {
  return {Id, {Organisation}, Level, Deadline};
}

std::vector<AdmissionId> admitted(AdmissionQueue &Queue) {
  std::vector<AdmissionId> Ids;
  for (const AdmissionDecision &Each : Queue.takeDecisions())
    if (Each.m_Admitted)
      Ids.push_back(Each.m_Id);
  return Ids;
}

TEST(AdmissionQueue, AdmitsUpToCapacityAndThenInOrder) {
  AdmissionQueue Queue;
  for (AdmissionId Id = 1; Id <= 3; ++Id)
    Queue.arrive(request(Id, "a"), 2, Start);
  EXPECT_EQ(admitted(Queue), (std::vector<AdmissionId>{1, 2}));
  Queue.leave({"a"}, 2, Start + 1s);
  EXPECT_EQ(admitted(Queue), (std::vector<AdmissionId>{3}));
}

// Idle time that counts towards the completion rate would make the first
// request that waits after a quiet night expect hours.
TEST(AdmissionQueue, IdleTimeDoesNotLowerTheCompletionRate) {
  const TimePoint Deadline = Start + 20h;
  AdmissionQueue Queue;
  for (int I = 0; I < 20; ++I) {
    Queue.arrive(request(1, "a", Priority::Normal, Deadline), 1,
                 Start + I * 10ms);
    Queue.leave({"a"}, 1, Start + I * 10ms + 5ms);
  }
  Queue.arrive(request(2, "a", Priority::Normal, Deadline), 1, Start + 10h);
  Queue.leave({"a"}, 1, Start + 10h + 5ms);
  for (AdmissionId Id : {3, 4})
    Queue.arrive(request(Id, "a", Priority::Normal, Deadline), 1,
                 Start + 10h + 6ms);
  EXPECT_EQ(Queue.waiting(), 1U);
  EXPECT_LT(Queue.expectedWait(Priority::Normal), 1s);
}

// Slow first bytes are no evidence of load while few requests are in flight.
TEST(ConcurrencyLimit, ShrinksOnlyUnderLoad) {
  ConcurrencyLimit Limit(16);
  for (int I = 0; I < 100; ++I)
    Limit.sample(I % 4 == 0 ? 20ms : 900ms, 2, Start + I * 200ms);
  EXPECT_EQ(Limit.limit(), 16);
}

TEST(AdmissionQueue, SharesByWeightAndReusesIdleCapacity) {
  AdmissionQueue Queue({.m_QueueLimit = 1'000});
  Queue.setShare({"large"}, 3, 1'000);
  Queue.setShare({"small"}, 1, 1'000);
  std::map<AdmissionId, std::string> OrganisationOf;
  AdmissionId Next = 1;
  for (int I = 0; I < 200; ++I)
    for (const char *Name : {"large", "small"}) {
      OrganisationOf[Next] = Name;
      Queue.arrive(request(Next++, Name), 1, Start);
    }
  std::map<std::string, int> Served;
  std::string Last = OrganisationOf[admitted(Queue).at(0)];
  for (int I = 1; I <= 160; ++I) {
    Queue.leave({Last}, 1, Start + I * 10ms);
    Last = OrganisationOf[admitted(Queue).at(0)];
    ++Served[Last];
  }
  EXPECT_NEAR(Served["large"], 120, 2);
  EXPECT_NEAR(Served["small"], 40, 2);
  for (int I = 0; I < 200; ++I) {
    Queue.leave({Last}, 1, Start + 2s + I * 10ms);
    Last = OrganisationOf[admitted(Queue).at(0)];
    ++Served[Last];
  }
  EXPECT_EQ(Served["large"] + Served["small"], 360);
  EXPECT_GE(Served["small"], 160);
}

TEST(AdmissionQueue, UrgentGoesFirstAndLowDoesNotStarve) {
  // The low-priority request waits while urgent requests of its own or another
  // organisation keep arriving.
  for (const std::string Other : {"a", "b"}) {
    AdmissionQueue Queue({.m_PromotionInterval = 2s});
    std::map<AdmissionId, std::string> OrganisationOf{
        {1, "a"}, {2, "a"}, {3, Other}};
    Queue.arrive(request(1, "a"), 1, Start);
    Queue.arrive(request(2, "a", Priority::Low), 1, Start);
    Queue.arrive(request(3, Other, Priority::Urgent), 1, Start);
    Queue.takeDecisions();
    Queue.leave({"a"}, 1, Start + 1s);
    AdmissionId Running = admitted(Queue).at(0);
    EXPECT_EQ(Running, 3u);
    std::optional<int> LowAt;
    AdmissionId Next = 10;
    for (int Second = 2; Second < 20 && !LowAt; ++Second) {
      const TimePoint Now = Start + Second * 1s;
      for (int I = 0; I < 2; ++I) {
        OrganisationOf[Next] = Other;
        Queue.arrive(request(Next++, Other, Priority::Urgent), 1, Now);
      }
      Queue.leave({OrganisationOf[Running]}, 1, Now);
      Running = admitted(Queue).at(0);
      if (Running == 2)
        LowAt = Second;
    }
    ASSERT_TRUE(LowAt) << Other;
    EXPECT_LE(*LowAt, 6);
  }
}

TEST(AdmissionQueue, RefusesImmediatelyIfDeadlineCannotBeMet) {
  AdmissionQueue Queue;
  Queue.arrive(request(1, "a"), 1, Start);
  for (AdmissionId Id = 2; Id <= 21; ++Id)
    Queue.arrive(request(Id, "a"), 1, Start);
  for (int I = 1; I <= 10; ++I)
    Queue.leave({"a"}, 1, Start + I * 100ms);
  Queue.takeDecisions();
  // Ten requests wait and one ends about every 100 ms, so a deadline of 300 ms
  // cannot be met.
  const TimePoint Now = Start + 1s;
  Queue.arrive(request(50, "a", Priority::Normal, Now + 300ms), 1, Now);
  const auto Decisions = Queue.takeDecisions();
  ASSERT_EQ(Decisions.size(), 1u);
  EXPECT_FALSE(Decisions[0].m_Admitted);
  EXPECT_GE(Decisions[0].m_RetryAfter, 500ms);
  EXPECT_LE(Decisions[0].m_RetryAfter, 30s);
}

TEST(AdmissionQueue, RefusesAtDeadlineAndWhenFull) {
  AdmissionQueue Queue({.m_QueueLimit = 2});
  Queue.arrive(request(1, "a"), 1, Start);
  Queue.arrive(request(2, "a", Priority::Low, Start + 1s), 1, Start);
  Queue.arrive(request(3, "a", Priority::Low), 1, Start);
  Queue.takeDecisions();
  Queue.arrive(request(4, "a", Priority::Low), 1, Start);
  EXPECT_EQ(Queue.takeDecisions().at(0).m_Id, 4u);
  Queue.arrive(request(5, "a", Priority::Urgent), 1, Start);
  const auto Evicted = Queue.takeDecisions();
  ASSERT_EQ(Evicted.size(), 1u);
  EXPECT_EQ(Evicted[0].m_Id, 3u);
  Queue.tick(1, Start + 1s);
  EXPECT_EQ(Queue.takeDecisions().at(0).m_Id, 2u);
  EXPECT_EQ(Queue.waiting(), 1u);
}

TEST(ConcurrencyLimit, GrowsWhileFastAndShrinksWhenLatencyDoubles) {
  ConcurrencyLimit Limit(16);
  TimePoint Now = Start;
  for (int I = 0; I < 400; ++I)
    Limit.sample(20ms, 16, Now += 10ms);
  const double Grown = Limit.limit();
  EXPECT_GT(Grown, 20);
  for (int I = 0; I < 200; ++I)
    Limit.sample(80ms, 30, Now += 10ms);
  EXPECT_LT(Limit.limit(), Grown / 2);
  ConcurrencyLimit Idle(16);
  for (int I = 0; I < 400; ++I)
    Idle.sample(20ms, 1, Start + I * 10ms);
  EXPECT_EQ(Idle.limit(), 16);
}

TEST(RetryBudget, RetriesOfAllEntriesStayWithinShareOfFreshRequests) {
  constexpr int Entries = 7;
  std::vector<std::unique_ptr<RetryBudget>> Budgets;
  Budgets.reserve(Entries);
  for (int I = 0; I < Entries; ++I)
    Budgets.push_back(std::make_unique<RetryBudget>(0.1, 10));
  int Retries = 0;
  constexpr int Fresh = 7'000;
  for (int I = 0; I < Fresh; ++I) {
    RetryBudget &Own = *Budgets[I % Entries];
    Own.deposit();
    for (int Try = 0; Try < 3 && Own.withdraw(); ++Try)
      ++Retries;
  }
  EXPECT_LE(Retries, Fresh / 10 + Entries * 10);
}

// A stream that stalls during a rollout must move before its weights are
// replaced; in a pool that stalls as a whole, moving streams only adds load.
TEST(RetryBudget, StreamsMoveEarlyOnlyWhileFewAttemptsAreLost) {
  RetryBudget Budget(0.1, 4);
  const auto Early = stallTimeout(true, Budget.isLow());
  EXPECT_LT(Early, stallTimeout(false, Budget.isLow()));
  for (int I = 0; I < 3; ++I)
    EXPECT_TRUE(Budget.withdraw());
  EXPECT_EQ(stallTimeout(true, Budget.isLow()), stallTimeout(false, false));
  for (int I = 0; I < 10; ++I)
    Budget.deposit();
  EXPECT_EQ(stallTimeout(true, Budget.isLow()), Early);
}

struct StepCase {
  const char *m_Name;
  AttemptEnd m_End;
  CallState m_State;
  NextStep m_Expected;
};

TEST(AfterAttempt, NeverRetriesNonIdempotentRequestThatMayHaveRun) {
  const CallState Free{.m_Idempotent = true,
                       .m_OtherUpstream = true,
                       .m_BudgetAllows = true,
                       .m_TimeLeft = true};
  CallState Once = Free;
  Once.m_Idempotent = false;
  CallState Keyed = Once;
  Keyed.m_Fenceable = true;
  CallState Late = Free;
  Late.m_TimeLeft = false;
  CallState Spent = Free;
  Spent.m_BudgetAllows = false;
  CallState Alone = Free;
  Alone.m_OtherUpstream = false;
  CallState Often = Free;
  Often.m_Attempts = MaxAttempts;
  const StepCase Cases[] = {
      {"whole", AttemptEnd::Complete, Once, NextStep::Deliver},
      {"lost", AttemptEnd::Lost, Free, NextStep::TryAnother},
      {"lost once", AttemptEnd::Lost, Once, NextStep::Unknown},
      {"lost keyed", AttemptEnd::Lost, Keyed, NextStep::Fence},
      {"lost late", AttemptEnd::Lost, Late, NextStep::Unknown},
      {"lost spent", AttemptEnd::Lost, Spent, NextStep::Unknown},
      {"lost alone", AttemptEnd::Lost, Alone, NextStep::Unknown},
      {"lost often", AttemptEnd::Lost, Often, NextStep::Unknown},
      {"refused once", AttemptEnd::Refused, Once, NextStep::TryAnother},
      {"refused spent", AttemptEnd::Refused, Spent, NextStep::TryAnother},
      {"refused late", AttemptEnd::Refused, Late, NextStep::NotRun},
      {"unreachable alone", AttemptEnd::Unreachable, Alone, NextStep::NotRun},
  };
  for (const StepCase &Each : Cases)
    EXPECT_EQ(afterAttempt(Each.m_End, Each.m_State), Each.m_Expected)
        << Each.m_Name;
}

TEST(UpstreamChoice, PrefersLocalHealthyUpstreamsWithFreeCapacity) {
  std::mt19937 Random(1);
  std::vector<Candidate> All;
  for (std::size_t I = 0; I < 6; ++I)
    All.push_back(
        {.m_Index = I, .m_Limit = 10, .m_OwnLimit = 10, .m_IsLocal = I < 3});
  All[0].m_Ejected = true;
  All[1].m_Suspect = true;
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(chooseUpstream(All, Random), 2u);
  All[2].m_OwnInFlight = 10;
  for (int I = 0; I < 20; ++I)
    EXPECT_GE(*chooseUpstream(All, Random), 3u);
  for (Candidate &Each : All)
    Each.m_Ejected = true;
  EXPECT_TRUE(chooseUpstream(All, Random));
  EXPECT_FALSE(chooseUpstream(std::span<const Candidate>(), Random));
}

TEST(UpstreamChoice, LeavesPrefixUpstreamUnderLoad) {
  std::mt19937 Random(1);
  std::vector<Candidate> All;
  for (std::size_t I = 0; I < 4; ++I)
    All.push_back({.m_Index = I,
                   .m_OwnInFlight = 2,
                   .m_Limit = 10,
                   .m_OwnLimit = 10,
                   .m_Rank = I + 1});
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(chooseUpstream(All, Random), 3u);
  All[3].m_OwnInFlight = 9;
  for (int I = 0; I < 20; ++I)
    EXPECT_LT(*chooseUpstream(All, Random), 3u);
}

TEST(Ejection, DoublesWithEachRepetition) {
  Ejection State;
  for (int I = 0; I < 4; ++I)
    State.failed(Start);
  EXPECT_LT(State.until(), Start);
  State.failed(Start);
  EXPECT_EQ(State.until(), Start + 2s);
  for (int I = 0; I < 5; ++I)
    State.failed(Start + 3s);
  EXPECT_EQ(State.until(), Start + 7s);
}

} // namespace
