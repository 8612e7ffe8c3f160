// Times in stored records, with clocks that are wrong or were set back.
#include "direct/unix-time.h"

#include "direct/entry-record.h"
#include "direct/state-link.h"
#include "direct/store-updates.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace deckpitch::direct;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Correct = 1'800'000'000'000;
const TimePoint Now{std::chrono::hours(100)};

/// The age of a declaration exceeded the time of day of a clock that had
/// started in 1970. The difference wrapped, and other entries refused the whole
/// record.
TEST(UnixTime, OfAClockThatStartsIn1970IsNotStored) {
  EXPECT_EQ(unixMsOf(Now - 5s, Now, 4'000), std::nullopt);
  EXPECT_EQ(unixMsOf(Now - 5s, Now, 5'000), std::nullopt);
  EXPECT_EQ(unixMsOf(Now - 5s, Now, 5'001), 1U);
  EXPECT_EQ(unixMsOf(Now - 5s, Now, Correct), Correct - 5'000);
  EXPECT_EQ(unixMsOf(Now + 5s, Now, Correct), Correct);
  const EntryRecord Record{
      {{"e"}, {"a"}, "127.0.0.1:1", "127.0.0.1:2"},
      {},
      {{{"m", 2}, unixMsOf(Now - 5s, Now, 5'001).value_or(0)}}};
  EXPECT_TRUE(outcomeOf([&] { return parseEntry("e", formatEntry(Record)); }));
}

TEST(UnixTime, SetBackSinceCountsAsNow) {
  for (const std::uint64_t Back : {1'000U, 3'600'000U})
    EXPECT_EQ(unixAge(Correct, Correct - Back), 0ms);
  EXPECT_EQ(unixAge(Correct, 5'000), 0ms);
  EXPECT_EQ(unixAge(Correct - 5'000, Correct), 5s);
}

/// A record written by a clock in 1970 made a new version look overdue to
/// entries whose clock is correct.
TEST(UnixTime, From1970IsIgnored) {
  EXPECT_EQ(unixAge(5'000, Correct), std::nullopt);
}

/// Ages above 49.7 days wrapped, so that old declarations seemed new.
TEST(UnixTime, LongAgesDoNotWrap) {
  EXPECT_EQ(ageMs(TimePoint{} - std::chrono::hours(24 * 50), TimePoint{}),
            UINT32_MAX);
}

class SetBackClock : public testing::TestWithParam<std::uint64_t> {};

/// A process whose clock was set back before its start has a lower incarnation
/// than the former one. It is believed after LivenessProof, well within the
/// 12 s of a recovery, and after that its former incarnation is not.
TEST_P(SetBackClock, ProcessIsBelievedAfterItsProof) {
  constexpr std::uint64_t Former = Correct * 1'000;
  const auto MessageAt = [](std::uint64_t Incarnation, std::uint64_t Sequence,
                            Duration At) {
    wire::LinkMessage Out;
    Out.set_incarnation(Incarnation);
    Out.set_sequence(Sequence);
    Out.set_sent_us(static_cast<std::uint64_t>(At / 1us));
    return Out;
  };
  const std::uint64_t Next = Former - GetParam();
  LinkOrder Receiver;
  EXPECT_TRUE(Receiver.isNewer(MessageAt(Former, 1, 50s)));
  EXPECT_FALSE(Receiver.isNewer(MessageAt(Next, 1, 60s)));
  EXPECT_FALSE(Receiver.isNewer(MessageAt(Next, 2, 62s)));
  EXPECT_TRUE(Receiver.isNewer(MessageAt(Next, 3, 60s + LivenessProof)));
  EXPECT_FALSE(Receiver.isNewer(MessageAt(Former, 2, 51s)));
  EXPECT_LT(LivenessProof, 12s);
}

constexpr std::uint64_t Second = 1'000'000; ///< in microseconds
INSTANTIATE_TEST_SUITE_P(Back, SetBackClock,
                         testing::Values(Second, 3'600 * Second,
                                         Correct * 1'000 - 5 * Second));

} // namespace
