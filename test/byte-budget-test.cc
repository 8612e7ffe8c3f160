// The common bound on the bytes of many answers.
#include "deckpitch/byte-budget.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <deque>

using namespace deckpitch;

namespace {

constexpr AnswerBounds Bounds{.m_Allowance = 100, .m_Most = 1'000};

/// Answers without an end took all of a process's memory.
TEST(ByteBudget, EndsTheAnswerThatExceedsTheBudget) {
  ByteBudget Budget(1'500);
  BudgetShare First(Budget, Bounds);
  BudgetShare Second(Budget, Bounds);
  EXPECT_TRUE(First.hold(1'000));
  EXPECT_TRUE(Second.hold(700));
  EXPECT_FALSE(Second.hold(701));
  EXPECT_EQ(Budget.used(), 1'500U);
}

/// Large answers that used up the budget would end small, sound ones.
TEST(ByteBudget, LargeAnswersLeaveSmallOnesTheirAllowance) {
  ByteBudget Budget(900);
  BudgetShare Large(Budget, Bounds);
  EXPECT_TRUE(Large.hold(1'000));
  std::deque<BudgetShare> Small;
  for (int I = 0; I < 10; ++I)
    EXPECT_TRUE(Small.emplace_back(Budget, Bounds).hold(100));
  EXPECT_FALSE(Small.back().hold(101));
}

/// A single answer could use up the whole budget.
TEST(ByteBudget, OneAnswerHasABoundOfItsOwn) {
  ByteBudget Budget(1'000'000);
  BudgetShare Share(Budget, Bounds);
  EXPECT_TRUE(Share.hold(1'000));
  EXPECT_FALSE(Share.hold(1'001));
}

/// Bytes that stayed charged would end all answers in the end.
TEST(ByteBudget, BytesThatWereForwardedAreFreeAgain) {
  ByteBudget Budget(900);
  {
    BudgetShare Share(Budget, Bounds);
    EXPECT_TRUE(Share.hold(1'000));
    EXPECT_TRUE(Share.hold(50));
    EXPECT_EQ(Budget.used(), 0U);
    EXPECT_TRUE(Share.hold(600));
  }
  EXPECT_EQ(Budget.used(), 0U);
}

} // namespace
