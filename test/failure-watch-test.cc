#include "deckpitch/failure-watch.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};

/// So many requests, 100 ms apart, of which each of the last ones fails at
/// once.
std::optional<Duration> send(FailureWatch &To, int Count, int Failing,
                             TimePoint From = Start) {
  std::optional<Duration> Out;
  for (int I = 0; I < Count; ++I) {
    To.granted(From + I * 100ms);
    if (I >= Count - Failing)
      Out = To.failed(From + I * 100ms);
  }
  return Out;
}

TEST(FailureWatch, ThreeFailuresAreEnoughWhereLittleElseCame) {
  FailureWatch Watch;
  EXPECT_FALSE(send(Watch, 2, 2));
  EXPECT_FALSE(Watch.isFailing(Start + 200ms));
  Watch.granted(Start + 200ms);
  EXPECT_EQ(Watch.failed(Start + 200ms), Duration(2s));
  EXPECT_TRUE(Watch.isFailing(Start + 2'199ms));
  EXPECT_FALSE(Watch.isFailing(Start + 2'200ms));
}

/// A link loses some answers of an instance that is sound.
TEST(FailureWatch, FewFailuresAmongManyRequestsSayNothing) {
  FailureWatch Watch;
  EXPECT_FALSE(send(Watch, 14, 4));
  EXPECT_FALSE(Watch.isFailing(Start + 2s));
  FailureWatch Other;
  send(Other, 14, 5);
  EXPECT_TRUE(Other.isFailing(Start + 2s));
}

TEST(FailureWatch, OldFailuresAreForgotten) {
  FailureWatch Watch;
  EXPECT_FALSE(send(Watch, 2, 2));
  EXPECT_FALSE(send(Watch, 2, 2, Start + 2s));
  EXPECT_FALSE(Watch.isFailing(Start + 3s));
}

TEST(FailureWatch, OneThatFailsAgainCountsForLongerEachTime) {
  FailureWatch Watch;
  TimePoint Now = Start;
  for (const Duration Span : {2s, 4s, 8s, 16s, 16s}) {
    EXPECT_EQ(send(Watch, 3, 3, Now), Span);
    // What was under way comes to an end.
    EXPECT_FALSE(Watch.failed(Now + 300ms));
    Now += 200ms + Span;
    EXPECT_FALSE(Watch.isFailing(Now));
  }
  EXPECT_EQ(send(Watch, 3, 3, Now + 1min), Duration(2s));
}

} // namespace
