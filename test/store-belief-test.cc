// What may still be done by what is known of the store, at every age of it, and
// what knowledge from other processes is worth.
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

/// The sum of delays that the design allowed was about the bound itself, and
/// nothing in an entry said that its list was too old to send something new by:
/// requests reached instances 33, 64 and 154 ms after the end of their time.
TEST(StoreBelief, WhoIsBehindSendsNothingThatWouldArriveAfterTheBound) {
  for (Duration Told = 0ms; Told < Bound; Told += 50ms) {
    SharedReading Under = readAt(Start);
    Under.noteBehind(Start + Told, 0ms);
    for (Duration Age = Told; Age < 2 * Bound; Age += 50ms) {
      const StoreBelief Belief = beliefOf(Under, Bound, Start + Age);
      EXPECT_EQ(Belief.m_Age, Age);
      const bool WouldBeLate = Age + SendSpare >= Bound;
      EXPECT_TRUE(Belief.m_IsOutdated || !WouldBeLate)
          << Told.count() << " " << Age.count();
      const bool IsEarly = Age + SendSpare < Bound && Age - Told < Bound / 2;
      EXPECT_FALSE(Belief.m_IsOutdated && IsEarly)
          << Told.count() << " " << Age.count();
    }
  }
}

/// Where nobody is known to have more, the store is away for all, and refusing
/// would serve nobody.
TEST(StoreBelief, WhatWasKnownLastServesOnWhileNobodyKnowsMore) {
  const SharedReading Under = readAt(Start);
  for (const Duration Age : {1s, 3s, 60s}) {
    const StoreBelief Belief = beliefOf(Under, Bound, Start + Age);
    EXPECT_FALSE(Belief.m_IsOutdated);
    EXPECT_EQ(Belief.m_MayBeOld, Age >= Bound);
  }
}

/// An instance was kept for 4.2 s after it had left, by entries that the store
/// had turned away alone, while others read it.
TEST(StoreBelief, OnlyAnOutageForAllShowsAReturn) {
  const TimePoint Late = Start + 1'500ms; // Past the time of all turns.
  SharedReading Heard = readAt(Start);
  EXPECT_TRUE(showsReturn(Heard, true, Late));
  // Paused, and not turned away: it has not even tried.
  EXPECT_FALSE(showsReturn(Heard, false, Late));
  EXPECT_FALSE(showsReturn(Heard, true, Start + 1s));
  Heard.noteBehind(Start + 900ms, 0ms);
  EXPECT_FALSE(showsReturn(Heard, true, Late));
}

/// A loop that takes its turns each 100 ms, then stands still so long.
StandStill pausedAt(TimePoint From, Duration Length) {
  StandStill Out;
  for (Duration At = -1s; At <= 0ms; At += 100ms)
    Out.running(From + At);
  Out.running(From + Length);
  return Out;
}

/// Neither a loaded machine nor a start is a pause, and the first thing that
/// runs after one notices it, whatever it is.
TEST(StandStill, IsAGapThatNoBusyLoopHas) {
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

/// An entry that stood still for longer than its list may be old sent requests
/// by it when it ran again, until the first hello: it had heard nothing, and
/// took that for an outage of the store for all. Instances that had left
/// meanwhile would have been sent to, and revoked keys been served.
TEST(StoreBelief, AfterAPauseNothingIsDoneByWhatWasKnownBefore) {
  for (const Duration Length : {1s, 2s, 3s, 60s}) {
    const SharedReading Under = readAt(Start);
    const StandStill Still = pausedAt(Start, Length);
    for (Duration Late = 0ms; Late < LongestUnsure; Late += 100ms) {
      const Duration Age = Length + Late;
      const StoreBelief Belief = beliefOf(Under, Bound, Start + Age, Still);
      const bool WouldBeLate = Age + SendSpare >= Bound;
      EXPECT_EQ(Belief.m_IsOutdated, WouldBeLate) << Age / 1ms;
      EXPECT_EQ(Belief.m_IsUnsure, WouldBeLate) << Age / 1ms;
      EXPECT_EQ(Belief.m_MayBeOld, Age >= Bound) << Age / 1ms;
    }
  }
}

/// One that hears nobody, or where the store is away for all, serves on.
TEST(StoreBelief, APausedOneThatLearnsNothingServesOnSoon) {
  const SharedReading Under = readAt(Start);
  const StandStill Still = pausedAt(Start, 5s);
  const auto IsOutdatedAt = [&](Duration Age) {
    return beliefOf(Under, Bound, Start + Age, Still).m_IsOutdated;
  };
  EXPECT_TRUE(IsOutdatedAt(5s + LongestUnsure - 1ms));
  EXPECT_FALSE(IsOutdatedAt(5s + LongestUnsure));
}

TEST(StoreBelief, WhatWasLearntAfterAPauseEndsIt) {
  const StandStill Still = pausedAt(Start, 5s);
  const TimePoint Now = Start + 5'100ms;
  SharedReading Read = readAt(Start);
  Read.confirm(Now - 50ms);
  EXPECT_FALSE(beliefOf(Read, Bound, Now, Still).m_IsOutdated);
  // The store is away for all: the others know no more.
  SharedReading Told = readAt(Start);
  Told.noteTold(Now - 50ms);
  EXPECT_FALSE(beliefOf(Told, Bound, Now, Still).m_IsOutdated);
  // What lay in the socket counts as of when it was sent.
  SharedReading Early = readAt(Start);
  Early.confirm(Start + 100ms);
  Early.noteTold(Start + 1s);
  EXPECT_TRUE(beliefOf(Early, Bound, Now, Still).m_IsOutdated);
  // The store was away for all then, and what came since is not due yet.
  Early.noteTold(Start + 4s);
  EXPECT_FALSE(beliefOf(Early, Bound, Now, Still).m_IsOutdated);
}

/// What the store takes after the start of a pause is due a whole bound later:
/// a loop that stands still for less changes nothing in an outage for all.
TEST(StoreBelief, AShortPauseInAnOutageServesOn) {
  const SharedReading Under = readAt(Start);
  for (const Duration Length : {500ms, 1'000ms, 2'000ms, 2'600ms, 5'000ms}) {
    const TimePoint Now = Start + 20s + Length;
    const StandStill Still = pausedAt(Start + 20s, Length);
    EXPECT_EQ(beliefOf(Under, Bound, Now, Still).m_IsOutdated,
              Length + SendSpare >= Bound)
        << Length / 1ms;
  }
}

TEST(StoreBelief, APauseAfterAWordHasItsWholeTime) {
  StandStill Still = pausedAt(Start, 5s);
  SharedReading Under = readAt(Start);
  Under.confirm(Start + 5'100ms);
  const TimePoint Again = Start + 5'400ms;
  Still.running(Again);
  Still.running(Again + 5s);
  const auto IsOutdatedAt = [&](Duration After) {
    return beliefOf(Under, Bound, Again + After, Still).m_IsOutdated;
  };
  EXPECT_TRUE(IsOutdatedAt(5s + LongestUnsure - 1ms));
  EXPECT_FALSE(IsOutdatedAt(5s + LongestUnsure));
}

/// A machine on which the loop stands still again and again: what was not sure
/// before a pause is not sure by it, and listening for LongestUnsure in all
/// ends that.
TEST(StoreBelief, PausesInARowNeitherHideNorExtendEachOther) {
  const SharedReading Under = readAt(Start);
  StandStill Still = pausedAt(Start, 5s);
  TimePoint Now = Start + 5s;
  for (Duration Listened{}; Listened < LongestUnsure; Listened += 100ms) {
    EXPECT_TRUE(beliefOf(Under, Bound, Now, Still).m_IsOutdated);
    Still.running(Now += 100ms);
    Still.running(Now += 600ms);
  }
  Still.running(Now += 100ms);
  EXPECT_FALSE(beliefOf(Under, Bound, Now, Still).m_IsOutdated);
}

/// A loop that is late while the store is away for all.
TEST(StoreBelief, ALateLoopInAnOutageServesOn) {
  const SharedReading Under = readAt(Start);
  StandStill Still;
  for (TimePoint Now = Start; Now < Start + 20s; Now += 400ms) {
    EXPECT_FALSE(Still.running(Now));
    EXPECT_FALSE(beliefOf(Under, Bound, Now, Still).m_IsOutdated);
  }
}

TEST(AsOfTold, CountsTheSendersAgeAndTheWay) {
  const ToldReading Own{300ms, 40ms, false, false};
  EXPECT_EQ(asOfTold(Own, Start), Start - 340ms);
  const ToldReading NearRelayed{300ms, 40ms, true, true};
  EXPECT_EQ(asOfTold(NearRelayed, Start), Start - 340ms - RelayAllowance);
  const ToldReading FarRelayed{300ms, 40ms, false, true};
  EXPECT_FALSE(asOfTold(FarRelayed, Start));
}

/// Neither reads the store, each tells the other each 10 ms what it knows, and
/// the way, which neither sees, takes 3 ms.
TEST(AsOfTold, TwoWhoTellEachOtherMakeNothingFresher) {
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
