// How far the cached view of the store may be used at every age, and how much
// updates from other processes count.
#include "deckpitch/store-belief.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr ReadingPlan Plan{500ms, 840ms, 40ms, 280ms, 1'400ms};
constexpr TimePoint Start{1h};
constexpr Duration Bound = 3s;

SharedReading readAt(TimePoint AsOf) {
  SharedReading Out(Plan);
  Out.setTurn({1, 0});
  Out.confirm(AsOf);
  return Out;
}

/// The permitted delays added up to about the bound itself, and an entry did
/// not check whether its list was too old to send a new request: requests
/// reached instances 33, 64 and 154 ms after the end of their time.
TEST(StoreBelief, NothingIsSentThatWouldArriveAfterBound) {
  for (Duration Told = 0ms; Told < Bound; Told += 50ms) {
    SharedReading Under = readAt(Start);
    Under.noteBehind(Start + Told, 0ms);
    for (Duration Age = Told; Age < 2 * Bound; Age += 50ms) {
      const StoreBelief Belief = beliefOf(Under, Bound, Start + Age);
      EXPECT_EQ(Belief.m_Age, Age);
      const bool WouldBeLate = Age + SendMargin >= Bound;
      EXPECT_TRUE(Belief.m_IsOutdated || !WouldBeLate)
          << Told.count() << " " << Age.count();
      const bool IsEarly = Age + SendMargin < Bound && Age - Told < Bound / 2;
      EXPECT_FALSE(Belief.m_IsOutdated && IsEarly)
          << Told.count() << " " << Age.count();
    }
  }
}

/// If no process is known to have a newer version, the store is unavailable to
/// all, and refusing requests would help nobody.
TEST(StoreBelief, LastViewServesWhileNothingNewerIsKnown) {
  const SharedReading Under = readAt(Start);
  for (const Duration Age : {1s, 3s, 60s}) {
    const StoreBelief Belief = beliefOf(Under, Bound, Start + Age);
    EXPECT_FALSE(Belief.m_IsOutdated);
    EXPECT_EQ(Belief.m_MayBeOld, Age >= Bound);
  }
}

/// Entries that alone had lost the store, while others read it, kept an
/// instance for 4.2 s after it had left.
TEST(StoreBelief, OwnOutageIsNoStoreReturn) {
  const TimePoint Late = Start + 1'500ms; // Later than the reads of all ranks.
  SharedReading Heard = readAt(Start);
  EXPECT_TRUE(showsReturn(Heard, true, Late));
  // The process was paused and has not even tried to read.
  EXPECT_FALSE(showsReturn(Heard, false, Late));
  EXPECT_FALSE(showsReturn(Heard, true, Start + 1s));
  Heard.noteBehind(Start + 900ms, 0ms);
  EXPECT_FALSE(showsReturn(Heard, true, Late));
}

/// Returns the detector of a loop that iterates every 100 ms and is then paused
/// for Length.
StandStill pausedAt(TimePoint From, Duration Length) {
  StandStill Out;
  for (Duration At = -1s; At <= 0ms; At += 100ms)
    Out.running(From + At);
  Out.running(From + Length);
  return Out;
}

/// Neither high load nor the start of the process counts as a pause, and
/// whatever runs first after a pause detects it.
TEST(StandStill, BusyLoopIsNoPause) {
  StandStill Under;
  TimePoint Now = Start;
  EXPECT_FALSE(Under.running(Now));
  for (const Duration Late : {100ms, 200ms, 300ms, 400ms, 100ms})
    EXPECT_FALSE(Under.running(Now += Late)) << Late / 1ms;
  const TimePoint Before = Now;
  EXPECT_EQ(Under.running(Now += 1'200ms), 1'200ms);
  EXPECT_FALSE(Under.running(Now += 1ms));
  EXPECT_TRUE(Under.hasEndedSince(Before));
  EXPECT_FALSE(Under.hasEndedSince(Now));
}

/// An entry that was paused for longer than its list may be used sent requests
/// by it from its resumption until the first hello: it had received nothing and
/// took that for an outage of the store for all. Requests would have gone to
/// instances that had left, and revoked keys would have been served.
TEST(StoreBelief, ViewIsNotUsedAfterPause) {
  for (const Duration Length : {1s, 2s, 3s, 60s}) {
    const SharedReading Under = readAt(Start);
    const StandStill Still = pausedAt(Start, Length);
    for (Duration Late = 0ms; Late < ConfirmationTimeout; Late += 100ms) {
      const Duration Age = Length + Late;
      const StoreBelief Belief = beliefOf(Under, Bound, Start + Age, Still);
      const bool WouldBeLate = Age + SendMargin >= Bound;
      EXPECT_EQ(Belief.m_IsOutdated, WouldBeLate) << Age / 1ms;
      EXPECT_EQ(Belief.m_IsUnsure, WouldBeLate) << Age / 1ms;
      EXPECT_EQ(Belief.m_MayBeOld, Age >= Bound) << Age / 1ms;
    }
  }
}

/// An entry that receives nothing, or for which the store is unavailable to
/// all, continues to serve.
TEST(StoreBelief, ServesAgainWhenNothingArrivesAfterPause) {
  const SharedReading Under = readAt(Start);
  const StandStill Still = pausedAt(Start, 5s);
  const auto IsOutdatedAt = [&](Duration Age) {
    return beliefOf(Under, Bound, Start + Age, Still).m_IsOutdated;
  };
  EXPECT_TRUE(IsOutdatedAt(5s + ConfirmationTimeout - 1ms));
  EXPECT_FALSE(IsOutdatedAt(5s + ConfirmationTimeout));
}

TEST(StoreBelief, UpdateAfterPauseConfirmsView) {
  const StandStill Still = pausedAt(Start, 5s);
  const TimePoint Now = Start + 5'100ms;
  SharedReading Read = readAt(Start);
  Read.confirm(Now - 50ms);
  EXPECT_FALSE(beliefOf(Read, Bound, Now, Still).m_IsOutdated);
  // The store is unavailable to all, and the other processes know nothing
  // newer.
  SharedReading Told = readAt(Start);
  Told.noteTold(Now - 50ms);
  EXPECT_FALSE(beliefOf(Told, Bound, Now, Still).m_IsOutdated);
  // Datagrams that waited in the socket count from the time they were sent.
  SharedReading Early = readAt(Start);
  Early.confirm(Start + 100ms);
  Early.noteTold(Start + 1s);
  EXPECT_TRUE(beliefOf(Early, Bound, Now, Still).m_IsOutdated);
  // The store was unavailable to all then, and a change made since is not due
  // yet.
  Early.noteTold(Start + 4s);
  EXPECT_FALSE(beliefOf(Early, Bound, Now, Still).m_IsOutdated);
}

/// A change that the store accepts after the start of a pause is due one whole
/// bound later: a shorter pause changes nothing during an outage for all.
TEST(StoreBelief, ShortPauseDuringOutageServesOn) {
  const SharedReading Under = readAt(Start);
  for (const Duration Length : {500ms, 1'000ms, 2'000ms, 2'600ms, 5'000ms}) {
    const TimePoint Now = Start + 20s + Length;
    const StandStill Still = pausedAt(Start + 20s, Length);
    EXPECT_EQ(beliefOf(Under, Bound, Now, Still).m_IsOutdated,
              Length + SendMargin >= Bound)
        << Length / 1ms;
  }
}

TEST(StoreBelief, PauseAfterUpdateGetsWholeTimeout) {
  StandStill Still = pausedAt(Start, 5s);
  SharedReading Under = readAt(Start);
  Under.confirm(Start + 5'100ms);
  const TimePoint Again = Start + 5'400ms;
  Still.running(Again);
  Still.running(Again + 5s);
  const auto IsOutdatedAt = [&](Duration After) {
    return beliefOf(Under, Bound, Again + After, Still).m_IsOutdated;
  };
  EXPECT_TRUE(IsOutdatedAt(5s + ConfirmationTimeout - 1ms));
  EXPECT_FALSE(IsOutdatedAt(5s + ConfirmationTimeout));
}

/// The event loop is paused again and again: a view that was unconfirmed before
/// a pause is not confirmed by it, and listening for ConfirmationTimeout in
/// total ends that state.
TEST(StoreBelief, SuccessivePausesShareOneTimeout) {
  const SharedReading Under = readAt(Start);
  StandStill Still = pausedAt(Start, 5s);
  TimePoint Now = Start + 5s;
  for (Duration Listened{}; Listened < ConfirmationTimeout; Listened += 100ms) {
    EXPECT_TRUE(beliefOf(Under, Bound, Now, Still).m_IsOutdated);
    Still.running(Now += 100ms);
    Still.running(Now += 600ms);
  }
  Still.running(Now += 100ms);
  EXPECT_FALSE(beliefOf(Under, Bound, Now, Still).m_IsOutdated);
}

/// The event loop is late while the store is unavailable to all.
TEST(StoreBelief, LateLoopDuringOutageServesOn) {
  const SharedReading Under = readAt(Start);
  StandStill Still;
  for (TimePoint Now = Start; Now < Start + 20s; Now += 400ms) {
    EXPECT_FALSE(Still.running(Now));
    EXPECT_FALSE(beliefOf(Under, Bound, Now, Still).m_IsOutdated);
  }
}

TEST(AsOfReport, IncludesSenderAgeAndDelay) {
  const ToldReading Own{300ms, 40ms, false, false};
  EXPECT_EQ(asOfTold(Own, Start), Start - 340ms);
  const ToldReading NearRelayed{300ms, 40ms, true, true};
  EXPECT_EQ(asOfTold(NearRelayed, Start), Start - 340ms - RelayMargin);
  const ToldReading FarRelayed{300ms, 40ms, false, true};
  EXPECT_FALSE(asOfTold(FarRelayed, Start));
}

/// Neither process reads the store. Each sends the other every 10 ms what it
/// knows; the network delay of 3 ms is visible to neither.
TEST(AsOfReport, MutualReportsDoNotMakeViewFresher) {
  constexpr Duration Way = 3ms;
  SharedReading One = readAt(Start);
  SharedReading Other = readAt(Start - 200ms);
  TimePoint Now = Start + 10ms;
  const auto Tell = [&](const SharedReading &From, SharedReading &To) {
    const Duration Age =
        std::chrono::floor<std::chrono::milliseconds>(Now - From.asOf());
    if (const auto AsOf = asOfTold({Age, 0ms, true, true}, Now + Way))
      To.confirm(*AsOf, true);
    Now += 10ms;
  };
  for (int I = 0; I < 1'000; ++I) {
    Tell(One, Other);
    Tell(Other, One);
  }
  EXPECT_LE(One.asOf(), Start);
  EXPECT_LE(Other.asOf(), Start);
  EXPECT_TRUE(Other.isRelayed());
}

} // namespace
