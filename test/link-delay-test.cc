#include "deckpitch/link-delay.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
/// The sender's clock has another origin.
constexpr Duration SenderStart = 5min;

/// Returns the lateness of a message that was sent and received at these times
/// after the start.
Duration lateness(LinkDelay &Subject, Duration Sent, Duration Taken,
                  std::uint64_t Incarnation = 1) {
  return Subject.note(Incarnation, SenderStart + Sent, Start + Taken);
}

TEST(LinkDelay, LatenessIsRelativeToFastest) {
  LinkDelay Subject;
  EXPECT_EQ(lateness(Subject, 0s, 5ms), 0s);
  EXPECT_EQ(lateness(Subject, 1s, 1s + 3ms), 0s);
  EXPECT_EQ(lateness(Subject, 2s, 2s + 3ms), 0s);
  EXPECT_EQ(lateness(Subject, 3s, 4'703ms), 1'700ms);
  EXPECT_EQ(lateness(Subject, 5s, 5s + 13ms), 10ms);
}

TEST(LinkDelay, RestartedSenderHasAnotherClock) {
  LinkDelay Subject;
  EXPECT_EQ(lateness(Subject, 10s, 10s), 0s);
  EXPECT_EQ(lateness(Subject, 0s, 12s, 2), 0s);
  EXPECT_EQ(lateness(Subject, 1s, 13'400ms, 2), 400ms);
}

/// A sender was restarted behind a link with a queue of 2 s. The last messages
/// of its earlier incarnation arrived after the first ones of the new one and
/// counted as fast, since each change of incarnation reset the measurement.
/// Updates in them would have been taken for 2 s fresher than they were.
TEST(LinkDelay, LateMessagesOfEarlierIncarnationAreLate) {
  LinkDelay Subject;
  EXPECT_EQ(lateness(Subject, 10s, 10s), 0s);
  EXPECT_EQ(lateness(Subject, 0s, 12s, 2), 0s);
  EXPECT_EQ(lateness(Subject, 11s, 13s), 2s);
  EXPECT_EQ(lateness(Subject, 1'500ms, 13'600ms, 2), 100ms);
  EXPECT_EQ(lateness(Subject, 11'900ms, 13'900ms), 2s);
}

TEST(LinkDelay, FollowsClockDrift) {
  LinkDelay Subject;
  // The receiver's clock gains 0.1 ms per second.
  Duration Last{};
  for (int Second = 0; Second <= 3'600; ++Second)
    Last = lateness(Subject, Second * 1s, Second * 1'000'100us);
  EXPECT_LE(Last, 12ms);
}

TEST(LinkDelay, QueueShorterThanWindowIsSeenToItsEnd) {
  LinkDelay Subject;
  EXPECT_EQ(lateness(Subject, 0s, 0s), 0s);
  for (int Second = 1; Second < 55; ++Second)
    EXPECT_EQ(lateness(Subject, Second * 1s, Second * 1s + 2s), 2s);
}

} // namespace
