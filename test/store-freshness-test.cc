// How far the cached view of the store may be used at every age, and how much
// updates from other processes count.
#include "deckpitch/store-freshness.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr ReadingPlan Plan{500ms, 840ms, 40ms, 7, 10ms, 1'400ms};
constexpr TimePoint Start{1h};
constexpr Duration Bound = 3s;

SharedReading readAt(TimePoint AsOf) {
  SharedReading Out(Plan);
  Out.setRank({1, 0});
  Out.confirm(AsOf);
  return Out;
}

/// The permitted delays added up to about the bound itself, and an entry did
/// not check whether its list was too old to send a new request: requests
/// reached instances 33, 64 and 154 ms after the end of their time.
TEST(StoreFreshness, NothingIsSentThatWouldArriveAfterBound) {
  for (Duration Reported = 0ms; Reported < Bound; Reported += 50ms) {
    SharedReading Subject = readAt(Start);
    Subject.noteBehind(Start + Reported, 0ms);
    for (Duration Age = Reported; Age < 2 * Bound; Age += 50ms) {
      const StoreFreshness Freshness = freshnessOf(Subject, Bound, Start + Age);
      EXPECT_EQ(Freshness.m_Age, Age);
      const bool WouldBeLate = Age + SendMargin >= Bound;
      EXPECT_TRUE(Freshness.m_IsOutdated || !WouldBeLate)
          << Reported.count() << " " << Age.count();
      const bool IsEarly =
          Age + SendMargin < Bound && Age - Reported < Bound / 2;
      EXPECT_FALSE(Freshness.m_IsOutdated && IsEarly)
          << Reported.count() << " " << Age.count();
    }
  }
}

/// If no process is known to have a newer version, the store is unavailable to
/// all, and refusing requests would help nobody.
TEST(StoreFreshness, LastViewServesWhileNothingNewerIsKnown) {
  const SharedReading Subject = readAt(Start);
  for (const Duration Age : {1s, 3s, 60s}) {
    const StoreFreshness Freshness = freshnessOf(Subject, Bound, Start + Age);
    EXPECT_FALSE(Freshness.m_IsOutdated);
    EXPECT_EQ(Freshness.m_MayBeStale, Age >= Bound);
  }
}

/// Entries that alone had lost the store, while others read it, kept an
/// instance for 4.2 s after it had left.
TEST(StoreFreshness, OwnOutageIsNoStoreReturn) {
  const TimePoint Late = Start + 1'500ms; // Later than the reads of all ranks.
  SharedReading Heard = readAt(Start);
  EXPECT_TRUE(showsStoreReturn(Heard, true, Late));
  // The process was paused and has not even tried to read.
  EXPECT_FALSE(showsStoreReturn(Heard, false, Late));
  EXPECT_FALSE(showsStoreReturn(Heard, true, Start + 1s));
  Heard.noteBehind(Start + 900ms, 0ms);
  EXPECT_FALSE(showsStoreReturn(Heard, true, Late));
}

/// Returns the detector of a loop that iterates every 100 ms and is then paused
/// for Length.
PauseDetector pausedAt(TimePoint From, Duration Length) {
  PauseDetector Out;
  for (Duration At = -1s; At <= 0ms; At += 100ms)
    Out.noteIteration(From + At);
  Out.noteIteration(From + Length);
  return Out;
}

/// Neither high load nor the start of the process counts as a pause, and
/// whatever runs first after a pause detects it.
TEST(PauseDetector, BusyLoopIsNoPause) {
  PauseDetector Subject;
  TimePoint Now = Start;
  EXPECT_FALSE(Subject.noteIteration(Now));
  for (const Duration Late : {100ms, 200ms, 300ms, 400ms, 100ms})
    EXPECT_FALSE(Subject.noteIteration(Now += Late)) << Late / 1ms;
  const TimePoint Before = Now;
  EXPECT_EQ(Subject.noteIteration(Now += 1'200ms), 1'200ms);
  EXPECT_FALSE(Subject.noteIteration(Now += 1ms));
  EXPECT_TRUE(Subject.hasPauseEndedSince(Before));
  EXPECT_FALSE(Subject.hasPauseEndedSince(Now));
}

/// An entry that was paused for longer than its list may be used sent requests
/// by it from its resumption until the first hello: it had received nothing and
/// took that for an outage of the store for all. Requests would have gone to
/// instances that had left, and revoked keys would have been served.
TEST(StoreFreshness, ViewIsNotUsedAfterPause) {
  for (const Duration Length : {1s, 2s, 3s, 60s}) {
    const SharedReading Subject = readAt(Start);
    const PauseDetector Still = pausedAt(Start, Length);
    for (Duration Late = 0ms; Late < ConfirmationTimeout; Late += 100ms) {
      const Duration Age = Length + Late;
      const StoreFreshness Freshness =
          freshnessOf(Subject, Bound, Start + Age, Still);
      const bool WouldBeLate = Age + SendMargin >= Bound;
      EXPECT_EQ(Freshness.m_IsOutdated, WouldBeLate) << Age / 1ms;
      EXPECT_EQ(Freshness.m_IsUnconfirmed, WouldBeLate) << Age / 1ms;
      EXPECT_EQ(Freshness.m_MayBeStale, Age >= Bound) << Age / 1ms;
    }
  }
}

/// An entry that receives nothing, or for which the store is unavailable to
/// all, continues to serve.
TEST(StoreFreshness, ServesAgainWhenNothingArrivesAfterPause) {
  const SharedReading Subject = readAt(Start);
  const PauseDetector Still = pausedAt(Start, 5s);
  const auto IsOutdatedAt = [&](Duration Age) {
    return freshnessOf(Subject, Bound, Start + Age, Still).m_IsOutdated;
  };
  EXPECT_TRUE(IsOutdatedAt(5s + ConfirmationTimeout - 1ms));
  EXPECT_FALSE(IsOutdatedAt(5s + ConfirmationTimeout));
}

TEST(StoreFreshness, UpdateAfterPauseConfirmsView) {
  const PauseDetector Still = pausedAt(Start, 5s);
  const TimePoint Now = Start + 5'100ms;
  SharedReading Read = readAt(Start);
  Read.confirm(Now - 50ms);
  EXPECT_FALSE(freshnessOf(Read, Bound, Now, Still).m_IsOutdated);
  // The store is unavailable to all, and the other processes know nothing
  // newer.
  SharedReading Reported = readAt(Start);
  Reported.noteReport(Now - 50ms);
  EXPECT_FALSE(freshnessOf(Reported, Bound, Now, Still).m_IsOutdated);
  // Datagrams that waited in the socket count from the time they were sent.
  SharedReading Early = readAt(Start);
  Early.confirm(Start + 100ms);
  Early.noteReport(Start + 1s);
  EXPECT_TRUE(freshnessOf(Early, Bound, Now, Still).m_IsOutdated);
  // The store was unavailable to all then, and a change made since is not due
  // yet.
  Early.noteReport(Start + 4s);
  EXPECT_FALSE(freshnessOf(Early, Bound, Now, Still).m_IsOutdated);
}

/// A change that the store accepts after the start of a pause is due one whole
/// bound later: a shorter pause changes nothing during an outage for all.
TEST(StoreFreshness, ShortPauseDuringOutageServesOn) {
  const SharedReading Subject = readAt(Start);
  for (const Duration Length : {500ms, 1'000ms, 2'000ms, 2'600ms, 5'000ms}) {
    const TimePoint Now = Start + 20s + Length;
    const PauseDetector Still = pausedAt(Start + 20s, Length);
    EXPECT_EQ(freshnessOf(Subject, Bound, Now, Still).m_IsOutdated,
              Length + SendMargin >= Bound)
        << Length / 1ms;
  }
}

TEST(StoreFreshness, PauseAfterUpdateGetsWholeTimeout) {
  PauseDetector Still = pausedAt(Start, 5s);
  SharedReading Subject = readAt(Start);
  Subject.confirm(Start + 5'100ms);
  const TimePoint Again = Start + 5'400ms;
  Still.noteIteration(Again);
  Still.noteIteration(Again + 5s);
  const auto IsOutdatedAt = [&](Duration After) {
    return freshnessOf(Subject, Bound, Again + After, Still).m_IsOutdated;
  };
  EXPECT_TRUE(IsOutdatedAt(5s + ConfirmationTimeout - 1ms));
  EXPECT_FALSE(IsOutdatedAt(5s + ConfirmationTimeout));
}

/// The event loop is paused again and again: a view that was unconfirmed before
/// a pause is not confirmed by it, and listening for ConfirmationTimeout in
/// total ends that state.
TEST(StoreFreshness, SuccessivePausesShareOneTimeout) {
  const SharedReading Subject = readAt(Start);
  PauseDetector Still = pausedAt(Start, 5s);
  TimePoint Now = Start + 5s;
  for (Duration Listened{}; Listened < ConfirmationTimeout; Listened += 100ms) {
    EXPECT_TRUE(freshnessOf(Subject, Bound, Now, Still).m_IsOutdated);
    Still.noteIteration(Now += 100ms);
    Still.noteIteration(Now += 600ms);
  }
  Still.noteIteration(Now += 100ms);
  EXPECT_FALSE(freshnessOf(Subject, Bound, Now, Still).m_IsOutdated);
}

/// The event loop is late while the store is unavailable to all.
TEST(StoreFreshness, LateLoopDuringOutageServesOn) {
  const SharedReading Subject = readAt(Start);
  PauseDetector Still;
  for (TimePoint Now = Start; Now < Start + 20s; Now += 400ms) {
    EXPECT_FALSE(Still.noteIteration(Now));
    EXPECT_FALSE(freshnessOf(Subject, Bound, Now, Still).m_IsOutdated);
  }
}

TEST(AsOfReport, IncludesSenderAgeAndDelay) {
  const ReportedReading Own{300ms, 40ms, false, false};
  EXPECT_EQ(asOfReport(Own, Start), Start - 340ms);
  const ReportedReading NearRelayed{300ms, 40ms, true, true};
  EXPECT_EQ(asOfReport(NearRelayed, Start), Start - 340ms - RelayMargin);
  const ReportedReading FarRelayed{300ms, 40ms, false, true};
  EXPECT_FALSE(asOfReport(FarRelayed, Start));
}

/// Neither process reads the store. Each sends the other every 10 ms what it
/// knows; the network delay of 3 ms is visible to neither.
TEST(AsOfReport, MutualReportsDoNotMakeViewFresher) {
  constexpr Duration Way = 3ms;
  SharedReading One = readAt(Start);
  SharedReading Other = readAt(Start - 200ms);
  TimePoint Now = Start + 10ms;
  const auto Send = [&](const SharedReading &From, SharedReading &To) {
    const Duration Age =
        std::chrono::floor<std::chrono::milliseconds>(Now - From.asOf());
    if (const auto AsOf = asOfReport({Age, 0ms, true, true}, Now + Way))
      To.confirm(*AsOf, true);
    Now += 10ms;
  };
  for (int I = 0; I < 1'000; ++I) {
    Send(One, Other);
    Send(Other, One);
  }
  EXPECT_LE(One.asOf(), Start);
  EXPECT_LE(Other.asOf(), Start);
  EXPECT_TRUE(Other.isRelayed());
}

} // namespace
