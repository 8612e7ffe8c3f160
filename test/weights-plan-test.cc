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

TEST(WeightsPlan, ALaterPlaceInThePoolSwapsLater) {
  WeightsState State = copied();
  State.m_Rank = 5;
  EXPECT_EQ(swapDelay(State), 1'200ms);
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Wait);
  EXPECT_EQ(nextWeightsStep(State, Start + 3'200ms), WeightsStep::Load);
}

TEST(WeightsPlan, AnEmptyInstanceWaitsForNobody) {
  WeightsState State = copied();
  State.m_Rank = 9;
  State.m_Held.clear();
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Load);
  // Some layers are no model: it serves nobody either.
  State.m_Held = {{"m", 1, false}};
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Load);
}

TEST(WeightsPlan, ALateCopyDoesNotWaitForItsPlace) {
  WeightsState State = copied();
  State.m_Rank = 9;
  State.m_CopiedAt = Start + 5s;
  EXPECT_EQ(nextWeightsStep(State, Start + 5s), WeightsStep::Load);
}

TEST(WeightsPlan, AnotherModelsWeightsDoNotCount) {
  WeightsState State = copied();
  State.m_Held = {{"other", 9, true}};
  EXPECT_EQ(nextWeightsStep(State, Start + 2s), WeightsStep::Load);
}

} // namespace
