#include "deckpitch/rate-limit.h"

#include "deckpitch/instance-grants.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};

/// An answer to a request sent at one time after Start that arrived at another.
RateObservation answer(std::optional<double> PerSecond, Duration Sent,
                       Duration Answered) {
  return {PerSecond, Start + Sent, Start + Answered};
}

/// What an entry reports that received the answer itself.
RateLimitReport known(const std::string &Incarnation,
                      const RateObservation &Newest) {
  return {{Incarnation}, Newest, true, {}};
}

/// Largest number of times that lie within four seconds.
std::size_t mostInWindow(const std::vector<TimePoint> &Times) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t I = 0; I < Times.size(); ++I) {
    while (Times[I] - Times[First] >= 4s)
      ++First;
    Most = std::max(Most, I - First + 1);
  }
  return Most;
}

/// Maximum number of requests that an instance may get within four seconds.
double allowedInWindow(double PerSecond) { return 1.5 * 4 * PerSecond + 5; }

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

class RateBuckets : public testing::TestWithParam<double> {};

INSTANTIATE_TEST_SUITE_P(Limits, RateBuckets,
                         testing::Values(0, 0.1, 0.4, 1, 2.4, 2.8, 10, 200));

/// Asked more often than allowed, a bucket grants all of the limit and no more.
TEST_P(RateBuckets, GrantTheWholeLimitAndNoMore) {
  const double PerSecond = GetParam();
  RequestRateBucket Bucket(Start);
  Bucket.setLimit(PerSecond, Start);
  std::vector<TimePoint> Granted;
  for (TimePoint Now = Start; Now < Start + 60s; Now += 1ms) {
    if (!Bucket.canTake(0, Now))
      continue;
    Bucket.take();
    Granted.push_back(Now);
  }
  EXPECT_LE(static_cast<double>(mostInWindow(Granted)),
            allowedInWindow(PerSecond));
  EXPECT_GE(static_cast<double>(Granted.size()), 0.95 * PerSecond * 60);
  // At least one request comes now and then: its answer can end the limit.
  EXPECT_GE(Granted.size(), 14U);
}

/// The duty to count passes to another process and back, which starts anew or
/// has saved a burst meanwhile.
TEST_P(RateBuckets, TwoThatTakeTurnsKeepTheLimit) {
  const double PerSecond = GetParam();
  RequestRateBucket One(Start);
  RequestRateBucket Other(Start);
  One.setLimit(PerSecond, Start);
  Other.setLimit(PerSecond, Start);
  std::vector<TimePoint> Granted;
  for (TimePoint Now = Start; Now < Start + 60s; Now += 1ms) {
    const bool IsFirstsTurn = (Now - Start) % 8s < 4s;
    RequestRateBucket &Current = IsFirstsTurn ? One : Other;
    if (!Current.canTake(0, Now))
      continue;
    Current.take();
    Granted.push_back(Now);
  }
  EXPECT_LE(static_cast<double>(mostInWindow(Granted)),
            allowedInWindow(PerSecond));
}

TEST(RequestRateBucket, FollowsAChangedLimitAtOnce) {
  RequestRateBucket Bucket(Start);
  Bucket.setLimit(20, Start);
  EXPECT_TRUE(Bucket.canTake(0, Start + 5s));
  Bucket.setLimit(0.5, Start + 5s);
  std::size_t Granted = 0;
  for (TimePoint Now = Start + 5s; Now < Start + 15s; Now += 10ms)
    if (Bucket.canTake(0, Now)) {
      Bucket.take();
      ++Granted;
    }
  EXPECT_LE(Granted, 7U); // A burst of 1.5 and 5.
  Bucket.setLimit(100, Start + 15s);
  EXPECT_LE(Bucket.timeUntilNext(Start + 15s), 20ms);
}

TEST(RequestRateBucket, TellsWhenTheNextRequestIsGranted) {
  RequestRateBucket Bucket(Start);
  Bucket.setLimit(0.5, Start);
  const Duration Next = Bucket.timeUntilNext(Start);
  EXPECT_EQ(Next, 2s);
  EXPECT_FALSE(Bucket.canTake(0, Start + Next - 1ms));
  EXPECT_TRUE(Bucket.canTake(0, Start + Next));
  EXPECT_EQ(Bucket.timeUntilNext(Start + Next), 0s);
}

/// Requests of little worth took all that a limited instance allows.
TEST(RequestRateBucket, LeavesTheReservedShareToOthers) {
  RequestRateBucket Bucket(Start);
  Bucket.setLimit(4, Start);
  EXPECT_TRUE(Bucket.canTake(0.5, Start + 1s));
  Bucket.take();
  Bucket.take();
  EXPECT_FALSE(Bucket.canTake(0.5, Start + 1s));
  EXPECT_TRUE(Bucket.canTake(0, Start + 1s));
  // A full bucket suffices for any share.
  EXPECT_TRUE(Bucket.canTake(1, Start + 3s));
}

TEST(RateGrants, CountEachInstanceByItself) {
  RateGrants Grants;
  EXPECT_FALSE(Grants.grant({"i"}, Start));
  EXPECT_FALSE(Grants.report({"i"}, Start));
  Grants.note(known("i", answer(1, 0ms, 10ms)), Start);
  Grants.note(known("j", answer(0.5, 0ms, 10ms)), Start);
  EXPECT_FALSE(Grants.grant({"i"}, Start));
  EXPECT_TRUE(Grants.grant({"i"}, Start + 1s));
  EXPECT_FALSE(Grants.grant({"j"}, Start + 1s));
  EXPECT_FALSE(Grants.grant({"i"}, Start + 1s));
  EXPECT_EQ(Grants.report({"i"}, Start + 1s)->m_NextIn, 1s);
  Grants.note(known("i", answer({}, 1s, 1'010ms)), Start + 2s);
  EXPECT_TRUE(Grants.grant({"i"}, Start + 2s));
  EXPECT_TRUE(Grants.grant({"i"}, Start + 2s));
  EXPECT_EQ(Grants.report({"i"}, Start + 2s)->m_NextIn, 0s);
  Grants.removeIdle(Start + 30s);
  EXPECT_EQ(Grants.size(), 2U);
  Grants.removeIdle(Start + 2min);
  EXPECT_EQ(Grants.size(), 0U);
}

/// An entry and an agent returned the limit to each other, a little younger
/// each time, so that no answer was new enough to end it.
TEST(ObservedRateLimit, ReturnedReportDoesNotKeepItAlive) {
  static constexpr Duration Transfer = 30ms;
  ObservedRateLimit Entry;
  CountedRateLimit Agent(Start);
  Entry.note(answer(0, 0ms, 10ms));
  TimePoint Now = Start + 10ms;
  const auto Exchange = [&] {
    // A receiver knows ages only, as of its own clock.
    const auto Received = [](RateObservation Out) {
      return RateObservation{Out.m_PerSecond, Out.m_Sent + Transfer,
                             Out.m_Answered + Transfer};
    };
    RateLimitReport Known = known("i", Received(*Entry.newest()));
    Known.m_IsFirstHand = Entry.isFirstHand();
    Agent.note(Known, Now);
    Entry.reported(Received(*Agent.newest()));
    Now += 2 * Transfer;
  };
  for (int I = 0; I < 50; ++I)
    Exchange();
  EXPECT_EQ(Agent.perSecond(), 0);
  Entry.note({std::nullopt, Now - 5ms, Now});
  EXPECT_EQ(Entry.perSecond(), std::nullopt);
  Exchange();
  EXPECT_EQ(Agent.perSecond(), std::nullopt);
  EXPECT_EQ(Entry.perSecond(), std::nullopt);
}

/// After a restart, an agent knows the limit from entries that have it from its
/// former process.
TEST(CountedRateLimit, TakesWhatIsSecondHandOnlyIfItKnowsNothing) {
  CountedRateLimit Agent(Start);
  RateLimitReport Heard = known("i", answer(2, 0ms, 10ms));
  Heard.m_IsFirstHand = false;
  EXPECT_TRUE(Agent.note(Heard, Start));
  EXPECT_EQ(Agent.perSecond(), 2);
  Heard.m_Newest = answer(9, 500ms, 510ms);
  EXPECT_FALSE(Agent.note(Heard, Start + 1s));
  EXPECT_TRUE(Agent.note(known("i", answer(3, 20ms, 30ms)), Start + 1s));
  EXPECT_EQ(Agent.perSecond(), 3);
}

class LimitedSlots : public testing::Test {
protected:
  bool isGranted(Duration After, const std::string &Incarnation = "i") {
    m_Grants.reported(0, Start + After);
    return m_Grants.grant({16, 0, 85ms, 32ms, 43ms, 255ms}, {Incarnation},
                          Start + After);
  }

  InstanceGrants m_Grants{Start};
};

/// The agent beside an instance granted slots whatever the instance had
/// announced.
TEST_F(LimitedSlots, AreGrantedAtTheRateLimitOnly) {
  EXPECT_TRUE(isGranted(0s));
  EXPECT_FALSE(m_Grants.rateLimit(Start));
  EXPECT_TRUE(m_Grants.noteRateLimit(known("i", answer(1, 0ms, 10ms)), Start));
  EXPECT_FALSE(isGranted(500ms));
  EXPECT_TRUE(isGranted(1s));
  EXPECT_FALSE(isGranted(1'500ms));
  const auto Report = m_Grants.rateLimit(Start + 1'500ms);
  ASSERT_TRUE(Report);
  EXPECT_EQ(Report->m_Instance, InstanceId{"i"});
  EXPECT_EQ(Report->m_NextIn, 500ms);
  EXPECT_TRUE(m_Grants.noteRateLimit(known("i", answer({}, 1'600ms, 1'700ms)),
                                     Start + 2s));
  EXPECT_TRUE(isGranted(2s));
  EXPECT_TRUE(isGranted(2'100ms));
}

/// A refusal for lack of slots counted as a request.
TEST_F(LimitedSlots, RefusedRequestUsesNothingOfTheLimit) {
  m_Grants.noteRateLimit(known("i", answer(1, 0ms, 10ms)), Start);
  m_Grants.reported(100, Start + 1s);
  EXPECT_FALSE(
      m_Grants.grant({16, 0, 85ms, 32ms, 43ms, 255ms}, {"i"}, Start + 1s));
  EXPECT_TRUE(isGranted(1s));
}

/// A restarted instance was held to the limit of its former incarnation.
TEST_F(LimitedSlots, NewIncarnationHasNoLimit) {
  m_Grants.noteRateLimit(known("i", answer(0, 100ms, 110ms)), Start);
  EXPECT_FALSE(isGranted(200ms));
  EXPECT_TRUE(isGranted(200ms, "i~2"));
  EXPECT_TRUE(isGranted(210ms, "i~2"));
  // An entry that does not know of the new incarnation yet.
  EXPECT_FALSE(isGranted(220ms));
  EXPECT_TRUE(
      m_Grants.noteRateLimit(known("i~2", answer(0.5, 250ms, 260ms)), Start));
  EXPECT_FALSE(isGranted(300ms, "i~2"));
  // What the former incarnation said before does not replace it.
  EXPECT_FALSE(
      m_Grants.noteRateLimit(known("i", answer(9, 240ms, 270ms)), Start));
  EXPECT_FALSE(isGranted(310ms, "i~2"));
}

} // namespace
