#include "deckpitch/link-delay.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
/// The sender's clock began elsewhere.
constexpr Duration SenderStart = 5min;

/// What a message that was sent and taken so long after the start is late by.
Duration lateness(LinkDelay &Under, Duration Sent, Duration Taken,
                  std::uint64_t Incarnation = 1) {
  return Under.note(Incarnation, SenderStart + Sent, Start + Taken);
}

TEST(LinkDelay, IsWhatAMessageTookLongerThanTheQuickest) {
  LinkDelay Under;
  EXPECT_EQ(lateness(Under, 0s, 5ms), 0s);
  EXPECT_EQ(lateness(Under, 1s, 1s + 3ms), 0s);
  EXPECT_EQ(lateness(Under, 2s, 2s + 3ms), 0s);
  EXPECT_EQ(lateness(Under, 3s, 4'703ms), 1'700ms);
  EXPECT_EQ(lateness(Under, 5s, 5s + 13ms), 10ms);
}

TEST(LinkDelay, ARestartedSenderHasAnotherClock) {
  LinkDelay Under;
  EXPECT_EQ(lateness(Under, 10s, 10s), 0s);
  EXPECT_EQ(lateness(Under, 0s, 12s, 2), 0s);
  EXPECT_EQ(lateness(Under, 1s, 13'400ms, 2), 400ms);
}

/// A sender was started anew behind a link with a queue of 2 s: what its former
/// life had sent last came after the first words of the new one, and counted as
/// quick, since each change of life began the count anew. News in it would have
/// been taken for 2 s fresher than it was.
TEST(LinkDelay, LateWordsOfTheFormerLifeAreLate) {
  LinkDelay Under;
  EXPECT_EQ(lateness(Under, 10s, 10s), 0s);
  EXPECT_EQ(lateness(Under, 0s, 12s, 2), 0s);
  EXPECT_EQ(lateness(Under, 11s, 13s), 2s);
  EXPECT_EQ(lateness(Under, 1'500ms, 13'600ms, 2), 100ms);
  EXPECT_EQ(lateness(Under, 11'900ms, 13'900ms), 2s);
}

TEST(LinkDelay, FollowsClocksThatDriftApart) {
  LinkDelay Under;
  // The receiver's clock gains 0.1 ms a second.
  Duration Last{};
  for (int Second = 0; Second <= 3'600; ++Second)
    Last = lateness(Under, Second * 1s, Second * 1'000'100us);
  EXPECT_LE(Last, 12ms);
}

TEST(LinkDelay, AQueueThatLastsLessThanTheWindowIsSeenToItsEnd) {
  LinkDelay Under;
  EXPECT_EQ(lateness(Under, 0s, 0s), 0s);
  for (int Second = 1; Second < 55; ++Second)
    EXPECT_EQ(lateness(Under, Second * 1s, Second * 1s + 2s), 2s);
}

} // namespace
