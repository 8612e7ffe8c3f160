#include "deckpitch/planned-share.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr Duration Objective = 300ms;

/// Returns the share of late first tokens at engines that are loaded as planned
/// but take Factor times the declared time, with a spread of a fifth either
/// way.
double lateShare(PlannedShare &Share, double Factor, int Requests) {
  int Late = 0;
  for (int I = 0; I < Requests; ++I) {
    const double Spread = 0.8 + 0.4 * ((I * 37) % 100) / 100;
    const Duration First(
        static_cast<Duration::rep>(Share.value() * Factor * Spread *
                                   static_cast<double>(Objective.count())));
    Late += First > Objective;
    Share.observe(First, Objective);
  }
  return static_cast<double>(Late) / Requests;
}

TEST(PlannedShare, EnginesThatMatchTheirProfileKeepTheFullShare) {
  PlannedShare Share;
  const double AtFirst = Share.value();
  EXPECT_EQ(lateShare(Share, 0.9, 1'000), 0);
  EXPECT_EQ(Share.value(), AtFirst);
}

TEST(PlannedShare, AboutOneInTenIsLateUnderLastingOverload) {
  PlannedShare Share;
  // Without adaptation a third or more would be late.
  EXPECT_GT(lateShare(Share, 1.5, 100), 0.15);
  EXPECT_LT(lateShare(Share, 1.5, 1'000), 0.13);
  EXPECT_LT(Share.value(), 0.7);
}

TEST(PlannedShare, RecoversAfterTheOverload) {
  PlannedShare Share;
  const double AtFirst = Share.value();
  lateShare(Share, 1.6, 500);
  ASSERT_LT(Share.value(), AtFirst);
  lateShare(Share, 0.9, 500);
  EXPECT_EQ(Share.value(), AtFirst);
}

TEST(PlannedShare, NeverFallsBelowWhatIdleEnginesNeed) {
  PlannedShare Share;
  for (int I = 0; I < 1'000; ++I)
    Share.observe(10s, Objective);
  EXPECT_GE(Share.value(), 0.5);
}

} // namespace
