#include "deckpitch/harmful-requests.h"

#include <gtest/gtest.h>

#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr std::size_t Many = 100;

RequestParts partsOf(std::string_view Body) {
  return {"shops", "h.example", "POST", "/stream/1", Body};
}

const RequestFingerprint Harmful = fingerprintOf(partsOf("crashes"));
const RequestFingerprint Harmless = fingerprintOf(partsOf("is only there"));

InstanceId instance(int Number) { return {"i-" + std::to_string(Number)}; }

/// Records a loss half a second after the request was sent.
bool lose(HarmfulRequests &At, const RequestFingerprint &Request,
          const InstanceId &Instance, TimePoint Now) {
  return At.lost(Request, Instance, Now - 500ms, Now);
}

/// Records the losses of several instances, one second apart.
void lose(HarmfulRequests &At, const RequestFingerprint &Request, int Count,
          TimePoint From = Start) {
  for (int I = 0; I < Count; ++I)
    lose(At, Request, instance(I), From + I * 1s);
}

TEST(HarmfulRequests, RefusesRequestThatCrashedThreeInstances) {
  HarmfulRequests All;
  EXPECT_FALSE(lose(All, Harmful, instance(1), Start));
  EXPECT_FALSE(lose(All, Harmful, instance(2), Start + 1s));
  EXPECT_FALSE(All.refusedUntil(Harmful, Start + 1s));
  EXPECT_TRUE(lose(All, Harmful, instance(3), Start + 2s));
  EXPECT_EQ(All.refusedUntil(Harmful, Start + 2s),
            Start + 2s + HarmfulRequests::RefusalPeriod);
  EXPECT_FALSE(All.refusedUntil(Harmless, Start + 2s));
}

/// A faulty instance loses many requests, and the same one many times.
TEST(HarmfulRequests, CountsEachInstanceOnce) {
  HarmfulRequests All;
  for (int I = 0; I < 10; ++I)
    lose(All, Harmless, instance(1), Start + I * 1s);
  EXPECT_EQ(All.lossCount(Harmless), 1U);
}

TEST(HarmfulRequests, CompleteAnswerClearsLosses) {
  HarmfulRequests All;
  lose(All, Harmless, 2);
  All.answered(Harmless, Start + 3s);
  EXPECT_EQ(All.lossCount(Harmless), 0U);
  EXPECT_FALSE(lose(All, Harmless, instance(8), Start + 4s));
  EXPECT_FALSE(lose(All, Harmless, instance(9), Start + 5s));
  EXPECT_FALSE(All.refusedUntil(Harmless, Start + 5s));
}

TEST(HarmfulRequests, RefusalExpiresAndDoublesAfterFurtherLoss) {
  HarmfulRequests All;
  lose(All, Harmful, 3);
  const TimePoint Later = Start + 2s + HarmfulRequests::RefusalPeriod;
  EXPECT_TRUE(All.refusedUntil(Harmful, Later - 1ns));
  EXPECT_FALSE(All.refusedUntil(Harmful, Later));
  EXPECT_TRUE(lose(All, Harmful, instance(7), Later));
  EXPECT_EQ(All.refusedUntil(Harmful, Later),
            Later + 2 * HarmfulRequests::RefusalPeriod);
}

/// Several instances lose power at once, each with the same harmless request
/// that many callers send.
TEST(HarmfulRequests, CountsSimultaneousLossesOnce) {
  HarmfulRequests All;
  for (int I = 0; I < 20; ++I)
    EXPECT_FALSE(
        All.lost(Harmless, instance(I), Start - I * 10ms, Start + I * 1ms));
  EXPECT_EQ(All.lossCount(Harmless), 1U);
  // Simultaneous losses do not displace earlier ones either.
  EXPECT_FALSE(lose(All, Harmless, instance(20), Start + 1s));
  for (int I = 30; I < 50; ++I)
    All.lost(Harmless, instance(I), Start + 900ms, Start + 1s + I * 1ms);
  EXPECT_EQ(All.lossCount(Harmless), 2U);
  EXPECT_TRUE(lose(All, Harmless, instance(21), Start + 2s));
}

/// Other requests crash three instances in a row, each of which also has a
/// harmless request that many callers send and that was just answered.
TEST(HarmfulRequests, DoesNotSuspectRecentlyAnsweredRequest) {
  HarmfulRequests One;
  HarmfulRequests Other;
  Other.answered(Harmless, Start - 10s);
  lose(One, Harmless, 3);
  ASSERT_TRUE(One.refusedUntil(Harmless, Start + 3s));
  EXPECT_FALSE(
      Other.receive(One.updatesToSend(Many, Start + 3s)[0], Start + 3s));
  One.receive(Other.updatesToSend(Many, Start + 3s)[0], Start + 3s);
  EXPECT_FALSE(One.refusedUntil(Harmless, Start + 3s));
  // An old answer proves nothing, since other weights may be served by now.
  for (int I = 0; I < 3; ++I)
    lose(Other, Harmless, instance(10 + I), Start + 130s + I * 1s);
  EXPECT_TRUE(Other.refusedUntil(Harmless, Start + 133s));
}

/// The attempts arrive at different entries, none of which sees three losses.
TEST(HarmfulRequests, MergesLossesOfSeveralEntries) {
  HarmfulRequests One;
  HarmfulRequests Other;
  lose(One, Harmful, 2);
  lose(Other, Harmful, instance(5), Start + 2s);
  const auto Updates = One.updatesToSend(Many, Start + 2s);
  ASSERT_EQ(Updates.size(), 1U);
  EXPECT_TRUE(Other.receive(Updates[0], Start + 2s));
  EXPECT_FALSE(Other.receive(Updates[0], Start + 2s));
  EXPECT_TRUE(Other.refusedUntil(Harmful, Start + 2s));
  EXPECT_EQ(Other.lossCount(Harmful), 3U);
}

/// Each message shifts the times by its delay. Updates that circulate must not
/// appear newer and so renew or end a refusal.
TEST(HarmfulRequests, CirculatingUpdatesDoNotChangeRefusal) {
  HarmfulRequests One;
  HarmfulRequests Other;
  lose(One, Harmful, 1);
  One.answered(Harmful, Start + 1s);
  for (int I = 5; I < 8; ++I)
    lose(One, Harmful, instance(I), Start + 60s + I * 1s);
  const auto Until = One.refusedUntil(Harmful, Start + 67s);
  ASSERT_TRUE(Until);
  TimePoint Now = Start + 67s;
  for (int I = 0; I < 300; ++I, Now += 300ms)
    for (auto [From, To] : {std::pair(&One, &Other), std::pair(&Other, &One)})
      for (SuspectRequest Updates : From->updatesToSend(Many, Now)) {
        for (InstanceLoss &Each : Updates.m_Losses) {
          Each.m_Sent += 50ms;
          Each.m_At += 50ms;
        }
        To->receive(Updates, Now);
      }
  EXPECT_EQ(One.refusedUntil(Harmful, Now), Until);
  EXPECT_EQ(Other.lossCount(Harmful), 3U);
}

/// A clearance must reach an entry that knows only the losses, and must win
/// over losses that arrive later.
TEST(HarmfulRequests, PropagatesClearance) {
  HarmfulRequests One;
  HarmfulRequests Other;
  lose(One, Harmless, 2);
  Other.receive(One.updatesToSend(Many, Start + 2s)[0], Start + 2s);
  const auto Before = Other.updatesToSend(Many, Start + 2s);
  One.answered(Harmless, Start + 3s);
  Other.receive(One.updatesToSend(Many, Start + 3s)[0], Start + 3s);
  EXPECT_EQ(Other.lossCount(Harmless), 0U);
  One.receive(Before[0], Start + 4s);
  EXPECT_EQ(One.lossCount(Harmless), 0U);
}

TEST(HarmfulRequests, SendsRecentChangesAndAllRefusedRequests) {
  HarmfulRequests All;
  lose(All, Harmful, 3);
  lose(All, Harmless, instance(1), Start + 2s);
  EXPECT_EQ(All.updatesToSend(Many, Start + 3s).size(), 2U);
  const auto Later = All.updatesToSend(Many, Start + 60s);
  ASSERT_EQ(Later.size(), 1U);
  EXPECT_EQ(Later[0].m_Request, Harmful);
  ASSERT_EQ(All.updatesToSend(1, Start + 3s).size(), 1U);
  EXPECT_EQ(All.updatesToSend(1, Start + 3s)[0].m_Request, Harmful);
}

TEST(HarmfulRequests, IsBoundedAndKeepsRefusedRequests) {
  HarmfulRequests All;
  lose(All, Harmful, 3);
  for (int I = 0; I < 10'000; ++I)
    lose(All, fingerprintOf(partsOf(std::to_string(I))), instance(1),
         Start + 3s + I * 1ms);
  EXPECT_LE(All.size(), 2'048U);
  EXPECT_TRUE(All.refusedUntil(Harmful, Start + 20s));
  All.forgetOld(Start + 2h);
  EXPECT_EQ(All.size(), 0U);
}

const RequestFingerprint HarmfulPart = fingerprintOf(PromptPart{0xbad});
const RequestFingerprint OtherPart = fingerprintOf(PromptPart{0xa1});

/// Records losses of requests of which no two are alike, one second apart.
void loseParts(HarmfulRequests &At,
               const std::vector<RequestFingerprint> &Parts, int First,
               int Count) {
  for (int I = First; I < First + Count; ++I)
    for (const RequestFingerprint &Each : Parts)
      lose(At, Each, instance(I), Start + I * 1s);
}

TEST(HarmfulPrompts, RefusesAPartUnderWhichThreeInstancesWereLost) {
  HarmfulRequests All;
  loseParts(All, {HarmfulPart}, 0, 3);
  const auto Refusal = All.refusalOf({Harmless, HarmfulPart}, Start + 2s);
  ASSERT_TRUE(Refusal);
  EXPECT_EQ(*Refusal,
            (HarmRefusal{HarmfulPart,
                         Start + 2s + HarmfulRequests::RefusalPeriod, 3}));
  EXPECT_FALSE(All.refusalOf({Harmless, OtherPart}, Start + 2s));
}

/// The other part was in all requests that crashed instances: without the
/// harmful one it must get the chance to be answered.
TEST(HarmfulPrompts, PartWhoseLossesAnotherExplainsIsNoReasonAlone) {
  HarmfulRequests All;
  loseParts(All, {HarmfulPart, OtherPart}, 0, 3);
  EXPECT_TRUE(All.refusalOf({HarmfulPart, OtherPart}, Start + 2s));
  EXPECT_FALSE(All.refusalOf({OtherPart}, Start + 2s));
  All.answered(OtherPart, Start + 3s);
  EXPECT_TRUE(All.refusalOf({HarmfulPart}, Start + 3s));
  EXPECT_FALSE(All.refusalOf({OtherPart}, Start + 3s));
}

/// Of two parts that always came together, the harmful one alone crashes one
/// more instance at most.
TEST(HarmfulPrompts, HarmfulPartAloneIsRefusedAfterOneMoreLoss) {
  HarmfulRequests All;
  loseParts(All, {HarmfulPart, OtherPart}, 0, 3);
  EXPECT_FALSE(All.refusalOf({HarmfulPart}, Start + 3s));
  loseParts(All, {HarmfulPart}, 4, 1);
  EXPECT_TRUE(All.refusalOf({HarmfulPart}, Start + 4s));
  EXPECT_FALSE(All.refusalOf({OtherPart}, Start + 4s));
}

TEST(HarmfulPrompts, TwoHarmfulPartsAreRefusedAtOnce) {
  HarmfulRequests All;
  loseParts(All, {HarmfulPart}, 0, 3);
  loseParts(All, {OtherPart}, 10, 3);
  EXPECT_TRUE(All.refusalOf({HarmfulPart}, Start + 13s));
  EXPECT_TRUE(All.refusalOf({OtherPart}, Start + 13s));
}

/// The part of a large route is in flight at most instances that a series of
/// failures ends, and is answered by others all the time.
TEST(HarmfulPrompts, PartThatIsAnsweredAllTheTimeIsNotRefused) {
  HarmfulRequests All;
  for (int I = 0; I < 50; ++I) {
    All.answered(OtherPart, Start + I * 1s - 700ms);
    loseParts(All, {OtherPart}, I, 1);
    EXPECT_FALSE(All.refusalOf({OtherPart}, Start + I * 1s)) << I;
  }
}

/// A part that was answered lately became harmful by a change of the weights;
/// the memory of its answers protected it for up to a minute.
TEST(HarmfulPrompts, PartThatBecomesHarmfulIsRefused) {
  HarmfulRequests All;
  All.answered(HarmfulPart, Start);
  loseParts(All, {HarmfulPart}, 1, 8);
  EXPECT_TRUE(All.refusalOf({HarmfulPart}, Start + 8s));
}

TEST(HarmfulPrompts, PartsAreSentBeforeRequestsWithAsManyLosses) {
  HarmfulRequests All;
  lose(All, HarmfulPart, instance(1), Start);
  lose(All, Harmless, instance(1), Start + 1s);
  const auto Updates = All.updatesToSend(1, Start + 1s);
  ASSERT_EQ(Updates.size(), 1U);
  EXPECT_EQ(Updates[0].m_Request, HarmfulPart);
}

} // namespace
