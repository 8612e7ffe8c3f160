#include "deckpitch/weights-plan.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};

WeightsState copied() {
  WeightsState Out;
  Out.m_Wanted = {"m", 2};
  Out.m_Held = {{"m", 1, true}};
  Out.m_IsCopyComplete = true;
  Out.m_PoolSize = 10;
  Out.m_DeclaredAt = Start;
  Out.m_CopiedAt = Start + 2s;
  Out.m_Margin = 1'800ms; // 2 s of the bound of 8 s, with the order's 200 ms.
  return Out;
}

TEST(WeightsPlan, CopiesThenLoadsThenServes) {
  WeightsState State = copied();
  State.m_IsCopyComplete = false;
  EXPECT_EQ(nextWeightsStep(State, Start), WeightsStep::Copy);
  State.m_IsCopyComplete = true;
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Load);
  State.m_IsBusy = true;
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Wait);
  State.m_Held = {{"m", 2, true}};
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Serve);
  EXPECT_EQ(nextWeightsStep({}, Start), WeightsStep::Idle);
}

TEST(WeightsPlan, AHigherRankSwapsLater) {
  WeightsState State = copied();
  State.m_Rank = 5;
  EXPECT_EQ(swapTime(State), Start + 4s);
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Wait);
  EXPECT_EQ(nextWeightsStep(State, Start + 4s), WeightsStep::Load);
}

/// Entries prefer instances that stay available until a request ends. An
/// instance whose agent was still checking the staged chunks of a due order
/// counted as one that does not swap at all.
TEST(WeightsPlan, ADueOrderIsReportedUntilItIsSent) {
  WeightsState State = copied();
  State.m_Rank = 5;
  EXPECT_EQ(timeToSwap(State, Start + 3s), 1s);
  EXPECT_EQ(timeToSwap(State, Start + 4s), 0s);
  EXPECT_EQ(timeToSwap(State, Start + 5s), 0s);
  // The order is held up: a serving instance must not stay without requests.
  EXPECT_EQ(timeToSwap(State, Start + 5'001ms), std::nullopt);
  State.m_IsBusy = true;
  EXPECT_EQ(timeToSwap(State, Start + 5s), std::nullopt);
  State.m_IsBusy = false;
  State.m_Held = {{"m", 2, true}};
  EXPECT_EQ(timeToSwap(State, Start + 5s), std::nullopt);
  State = copied();
  State.m_IsCopyComplete = false;
  EXPECT_EQ(timeToSwap(State, Start + 5s), std::nullopt);
}

TEST(WeightsPlan, AllSwapInTimeAndApart) {
  WeightsState State = copied();
  TimePoint Last = Start;
  for (std::size_t Rank = 0; Rank < State.m_PoolSize; ++Rank) {
    State.m_Rank = Rank;
    const TimePoint At = swapTime(State);
    EXPECT_GT(At, Last);
    Last = At;
  }
  EXPECT_LT(Last, Start + State.m_Bound - State.m_Margin);
}

TEST(WeightsPlan, ConsecutiveRanksAreInDifferentDataCentres) {
  const std::vector<PoolMember> Pool{{"10.1.0.1", {"a"}}, {"10.1.0.2", {"a"}},
                                     {"10.1.0.3", {"a"}}, {"10.1.0.4", {"a"}},
                                     {"10.2.0.1", {"b"}}, {"10.2.0.2", {"b"}}};
  std::vector<std::string> Order(Pool.size());
  for (const PoolMember &Each : Pool)
    Order.at(swapRank(Pool, Each.m_Address)) = Each.m_Address;
  EXPECT_EQ(Order,
            (std::vector<std::string>{"10.1.0.1", "10.2.0.1", "10.1.0.2",
                                      "10.1.0.3", "10.2.0.2", "10.1.0.4"}));
  EXPECT_EQ(swapRank(Pool, "10.9.0.1"), Pool.size());
}

TEST(WeightsPlan, FinishesAnAdvancedCopyBeforeTheNext) {
  EXPECT_TRUE(isWorthFinishing({45, 48, 100ms}));
  EXPECT_TRUE(isWorthFinishing({12, 48, 100ms}));
  EXPECT_FALSE(isWorthFinishing({11, 48, 100ms}));
  EXPECT_FALSE(isWorthFinishing({47, 48, 1'500ms})); // stalled
}

TEST(WeightsPlan, AnEmptyInstanceDoesNotWait) {
  WeightsState State = copied();
  State.m_Rank = 9;
  State.m_Held.clear();
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Load);
  // With incomplete layers it serves no requests either.
  State.m_Held = {{"m", 1, false}};
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Load);
}

TEST(WeightsPlan, ALateCopyDoesNotWaitForItsRank) {
  WeightsState State = copied();
  State.m_Rank = 9;
  State.m_CopiedAt = Start + 6s;
  EXPECT_EQ(nextWeightsStep(State, Start + 6s), WeightsStep::Load);
}

TEST(WeightsPlan, WeightsOfAnotherModelDoNotCount) {
  WeightsState State = copied();
  State.m_Held = {{"other", 9, true}};
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Load);
}

} // namespace
