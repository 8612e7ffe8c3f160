#include "deckpitch/rate-limit.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};

/// An answer to a request sent at one time after Start that arrived at another.
RateObservation answer(std::optional<double> PerSecond, Duration Sent,
                       Duration Answered) {
  return {PerSecond, Start + Sent, Start + Answered};
}

TEST(ObservedRateLimit, LastsUntilAnAnswerWithoutIt) {
  ObservedRateLimit Limit;
  EXPECT_FALSE(Limit.note(answer({}, 0ms, 5ms)));
  EXPECT_FALSE(Limit.newest());
  EXPECT_TRUE(Limit.note(answer(2.4, 10ms, 20ms)));
  EXPECT_FALSE(Limit.note(answer(2.4, 30ms, 40ms)));
  EXPECT_EQ(Limit.perSecond(), 2.4);
  EXPECT_TRUE(Limit.note(answer(3, 50ms, 60ms)));
  EXPECT_TRUE(Limit.note(answer(0.4, 70ms, 80ms)));
  EXPECT_EQ(Limit.perSecond(), 0.4);
  EXPECT_TRUE(Limit.note(answer({}, 90ms, 100ms)));
  EXPECT_EQ(Limit.perSecond(), std::nullopt);
  // Other processes may still have the limit.
  EXPECT_TRUE(Limit.newest());
}

/// The answer to an earlier request, on another connection, ended the limit.
TEST(ObservedRateLimit, IsNotEndedByOvertakenAnswer) {
  ObservedRateLimit Limit;
  Limit.note(answer(1, 100ms, 200ms));
  EXPECT_FALSE(Limit.note(answer({}, 50ms, 210ms)));
  // Sent later than the other, but before the limit was known.
  EXPECT_FALSE(Limit.note(answer({}, 150ms, 220ms)));
  EXPECT_FALSE(Limit.note(answer(9, 50ms, 230ms)));
  EXPECT_EQ(Limit.perSecond(), 1);
  EXPECT_TRUE(Limit.note(answer({}, 200ms, 240ms)));
}

} // namespace
