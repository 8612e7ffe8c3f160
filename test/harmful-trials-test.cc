// Refusals of requests that may have been the failure of many machines: single
// ones are tried.
#include "deckpitch/harmful-requests.h"
#include "deckpitch/recent-answers.h"

#include <gtest/gtest.h>

#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
constexpr TimePoint Due = Start + 2s + HarmfulRequests::TrialPause;
const RequestFingerprint Part = fingerprintOf(PromptPart{0xa1});
const RequestFingerprint Other = fingerprintOf(PromptPart{0xb2});
const ServiceId Pool{"pool"};

/// Records three losses, one second apart.
void loseThree(HarmfulRequests &At, bool HasControl) {
  for (int I = 0; I < 3; ++I)
    At.lost(Part, {"i-" + std::to_string(I)}, Start + I * 1s - 500ms,
            Start + I * 1s, HasControl);
}

void exchange(HarmfulRequests &From, HarmfulRequests &To, TimePoint Now) {
  for (const SuspectRequest &Each : From.updatesToSend(100, Now))
    To.receive(Each, Now);
}

/// A power failure before anything was answered refused all prompts for two
/// minutes.
TEST(HarmfulTrials, AnswerToATrialEndsTheRefusalForAll) {
  HarmfulRequests One;
  HarmfulRequests Two;
  loseThree(One, /*HasControl=*/false);
  exchange(One, Two, Start + 2s);
  ASSERT_TRUE(Two.refusalOf({Part}, Due));
  EXPECT_FALSE(One.beginTrial({Part}, 0, Due - 1ms));
  EXPECT_TRUE(One.beginTrial({Part}, 0, Due));
  EXPECT_FALSE(One.beginTrial({Part}, 0, Due + 500ms));
  One.answered(Part, Due + 600ms);
  EXPECT_FALSE(One.refusalOf({Part}, Due + 600ms));
  exchange(One, Two, Due + 600ms);
  EXPECT_FALSE(Two.refusalOf({Part}, Due + 600ms));
}

/// Callers were told to return after minutes, though a trial could end the
/// refusal after seconds.
TEST(HarmfulTrials, RefusalIsTentativeUntilATrialFails) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  EXPECT_TRUE(All.refusalOf({Part}, Due)->m_IsTentative);
  EXPECT_EQ(pauseFor(*All.refusalOf({Part}, Due), Due),
            HarmfulRequests::TrialPause);
  ASSERT_TRUE(All.beginTrial({Part}, 0, Due));
  All.lost(Part, {"i-9"}, Due, Due + 1s, /*HasControl=*/false);
  const auto Refusal = All.refusalOf({Part}, Due + 1s);
  EXPECT_FALSE(Refusal->m_IsTentative);
  EXPECT_EQ(pauseFor(*Refusal, Due + 1s), Refusal->m_Until - Due - 1s);
}

/// A trial that finds no instance says nothing.
TEST(HarmfulTrials, TrialWithoutOutcomeIsRepeated) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  EXPECT_TRUE(All.beginTrial({Part}, 0, Due));
  EXPECT_TRUE(All.beginTrial({Part}, 0, Due + HarmfulRequests::TrialInterval));
}

/// A harmful part costs one more instance, whichever entry tries it.
TEST(HarmfulTrials, LossUnderATrialEndsTrialsOfAll) {
  HarmfulRequests One;
  HarmfulRequests Two;
  loseThree(One, /*HasControl=*/false);
  exchange(One, Two, Start + 2s);
  ASSERT_TRUE(One.beginTrial({Part}, 0, Due));
  One.lost(Part, {"i-9"}, Due, Due + 100ms, /*HasControl=*/false);
  exchange(One, Two, Due + 100ms);
  for (HarmfulRequests *Each : {&One, &Two}) {
    EXPECT_TRUE(Each->refusalOf({Part}, Due + 60s));
    EXPECT_FALSE(Each->beginTrial({Part}, 1, Due + 60s));
  }
}

/// A power failure that hit the only trial refused the part for minutes.
TEST(HarmfulTrials, TrialLostTogetherWithOtherInstancesIsRepeated) {
  HarmfulRequests One;
  HarmfulRequests Two;
  loseThree(One, /*HasControl=*/false);
  exchange(One, Two, Start + 2s);
  ASSERT_TRUE(One.beginTrial({Part}, 0, Due));
  One.lost(Part, {"i-9"}, Due, Due + 1s, /*HasControl=*/false);
  Two.lost(Other, {"i-8"}, Due, Due + 1400ms, /*HasControl=*/false);
  exchange(One, Two, Due + 1400ms);
  exchange(Two, One, Due + 1400ms);
  const TimePoint Next = Due + 1s + HarmfulRequests::TrialPause;
  EXPECT_FALSE(One.beginTrial({Part}, 0, Next - 1ms));
  EXPECT_TRUE(Two.beginTrial({Part}, 0, Next));
  EXPECT_TRUE(One.beginTrial({Part}, 0, Next));
}

/// While the part was refused, other prompts were answered and it was not, as
/// if they had been compared.
TEST(HarmfulTrials, TrialIsNotComparedWithPromptsAnsweredMeanwhile) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  ASSERT_TRUE(All.beginTrial({Part}, 0, Due));
  All.lost(Part, {"i-9"}, Due, Due + 1s, /*HasControl=*/true);
  All.lost(Other, {"i-8"}, Due, Due + 1s, /*HasControl=*/false);
  EXPECT_TRUE(
      All.beginTrial({Part}, 0, Due + 1s + HarmfulRequests::TrialPause));
}

/// Failures of other instances do not let a harmful part be tried for ever.
TEST(HarmfulTrials, TrialsEndWhenTwoAreLostTogetherWithOtherInstances) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  TimePoint Now = Due;
  for (int I = 0; I < 2; ++I) {
    ASSERT_TRUE(All.beginTrial({Part}, 0, Now));
    const std::string Trial = std::to_string(I);
    All.lost(Part, {"t-" + Trial}, Now, Now + 1s, /*HasControl=*/false);
    All.lost(Other, {"o-" + Trial}, Now, Now + 1s, /*HasControl=*/false);
    Now += 1s + HarmfulRequests::TrialPause;
  }
  EXPECT_FALSE(All.beginTrial({Part}, 0, Now + 60s));
}

/// Two entries may try the part at once: their losses do not excuse each other.
TEST(HarmfulTrials, TrialsLostTogetherAreNoOtherInstances) {
  HarmfulRequests One;
  HarmfulRequests Two;
  loseThree(One, /*HasControl=*/false);
  exchange(One, Two, Start + 2s);
  const TimePoint Now = Due + HarmfulRequests::TrialPause;
  ASSERT_TRUE(One.beginTrial({Part}, 0, Due));
  ASSERT_TRUE(Two.beginTrial({Part}, 1, Now));
  One.lost(Part, {"i-8"}, Due, Now + 100ms, /*HasControl=*/false);
  Two.lost(Part, {"i-9"}, Now, Now + 100ms, /*HasControl=*/false);
  exchange(One, Two, Now + 200ms);
  exchange(Two, One, Now + 200ms);
  EXPECT_FALSE(One.beginTrial({Part}, 0, Now + 60s));
  EXPECT_FALSE(Two.beginTrial({Part}, 0, Now + 60s));
}

/// Some seconds after a failure all entries tried at once.
TEST(HarmfulTrials, OneProcessTriesAtATime) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  for (const Duration Pause : {2s, 5s, 15s, 31s}) {
    std::size_t Trying = 0;
    for (std::size_t Rank = 0; Rank < HarmfulRequests::TrialTurns; ++Rank) {
      HarmfulRequests Each = All;
      Trying += Each.beginTrial({Part}, Rank, Start + 2s + Pause) ? 1 : 0;
    }
    EXPECT_EQ(Trying, 1U) << Pause / 1s << " s";
  }
}

/// The losses of trials that lasted longer than the time between two did not
/// end the trials.
TEST(HarmfulTrials, LateLossUnderAnEarlierTrialEndsTrials) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  ASSERT_TRUE(All.beginTrial({Part}, 0, Due));
  ASSERT_TRUE(All.beginTrial({Part}, 0, Due + 1s));
  All.lost(Part, {"i-8"}, Due, Due + 5s, /*HasControl=*/false);
  for (Duration Later = 5s; Later < 60s; Later += 1s)
    EXPECT_FALSE(All.beginTrial({Part}, 0, Due + Later)) << Later / 1s;
}

/// A request that crashes its instance late was tried each second.
TEST(HarmfulTrials, TrialsWithoutOutcomeBecomeRare) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  int Trials = 0;
  for (Duration Later = 0s; Later < 60s; Later += 100ms)
    Trials += All.beginTrial({Part}, 0, Due + Later) ? 1 : 0;
  EXPECT_GE(Trials, 3);
  EXPECT_LE(Trials, 6);
}

/// A request sent before a refusal counted as a trial if an earlier refusal had
/// been tried.
TEST(HarmfulTrials, TrialOfAnEarlierRefusalIsNoneOfTheNext) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  ASSERT_TRUE(All.beginTrial({Part}, 0, Due));
  All.answered(Part, Due + 500ms);
  const TimePoint Later = Start + 300s;
  for (int I = 0; I < 3; ++I)
    All.lost(Part, {"j-" + std::to_string(I)}, Later + I * 1s - 500ms,
             Later + I * 1s, /*HasControl=*/false);
  for (const char *Name : {"j-8", "j-9"})
    All.lost(Part, {Name}, Later + 1900ms, Later + 2100ms,
             /*HasControl=*/false);
  EXPECT_TRUE(
      All.beginTrial({Part}, 0, Later + 2100ms + HarmfulRequests::TrialPause));
}

/// Requests that were under way when the part was refused are no trials.
TEST(HarmfulTrials, LossOfAnEarlierRequestEndsNoTrials) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  All.lost(Part, {"i-9"}, Start + 1s, Start + 3s, /*HasControl=*/false);
  EXPECT_TRUE(All.beginTrial({Part}, 0, Due + 1s));
}

/// A request that many callers send alike was refused for two minutes after a
/// power failure, in which it was at each instance.
TEST(HarmfulTrials, EqualRequestsAreTriedLikeParts) {
  const RequestFingerprint Poll =
      fingerprintOf(RequestParts{"shops", "h.example", "GET", "/status", ""});
  for (const bool HasControl : {false, true}) {
    HarmfulRequests All;
    for (int I = 0; I < 3; ++I)
      All.lost(Poll, {"i-" + std::to_string(I)}, Start + I * 1s - 500ms,
               Start + I * 1s, HasControl);
    ASSERT_TRUE(All.refusalOf({Poll}, Due));
    EXPECT_EQ(All.beginTrial({Poll}, 0, Due), !HasControl);
  }
}

/// Other prompts were answered meanwhile: the part explains the losses.
TEST(HarmfulTrials, PartThatOthersAreComparedWithIsNotTried) {
  HarmfulRequests One;
  HarmfulRequests Two;
  loseThree(One, /*HasControl=*/true);
  loseThree(Two, /*HasControl=*/false);
  exchange(One, Two, Start + 2s);
  EXPECT_FALSE(One.beginTrial({Part}, 0, Due + 60s));
  EXPECT_FALSE(Two.beginTrial({Part}, 0, Due + 60s));
}

TEST(HarmfulTrials, SecondProcessWaitsForTheFirst) {
  HarmfulRequests All;
  loseThree(All, /*HasControl=*/false);
  EXPECT_FALSE(All.beginTrial({Part}, 1, Due));
  EXPECT_TRUE(All.beginTrial({Part}, 1, Due + HarmfulRequests::TrialPause));
}

/// An entry that has started again reads refusals from the store, and may find
/// that all others have started again too.
TEST(HarmfulTrials, RestoredRefusalIsTriedUnlessAnotherProcessKnowsMore) {
  HarmfulRequests Restored;
  HarmfulRequests Witness;
  loseThree(Witness, /*HasControl=*/true);
  SuspectRequest Stored{Part, {}, false};
  const std::vector<SuspectRequest> Seen = Witness.updatesToSend(1, Start);
  ASSERT_EQ(Seen.size(), 1U);
  for (const InstanceLoss &Each : Seen[0].m_Losses)
    Stored.m_Losses.push_back({Each.m_Instance, Each.m_At, Each.m_At});
  Restored.receive(Stored, Start + 5s);
  ASSERT_TRUE(Restored.refusalOf({Part}, Start + 5s));
  EXPECT_FALSE(Restored.beginTrial({Part}, 0, Start + 6s));
  EXPECT_TRUE(Restored.beginTrial({Part}, 0, Start + 7s));
  exchange(Witness, Restored, Start + 7s);
  EXPECT_FALSE(Restored.beginTrial({Part}, 0, Start + 60s));
}

void addAnswers(RecentAnswers &To, const RequestFingerprint &Has,
                std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    To.add(Pool, {Has}, Start);
}

/// A part that some prompts have is at each failing instance.
TEST(HarmfulTrials, OnlyPartsOfNoAnsweredPromptAreRare) {
  RecentAnswers All;
  EXPECT_FALSE(All.isRare(Pool, Part, Start));
  addAnswers(All, Part, RecentAnswers::MinCompared - 1);
  EXPECT_FALSE(All.isRare(Pool, Other, Start));
  addAnswers(All, Part, 1);
  EXPECT_TRUE(All.isRare(Pool, Other, Start));
  EXPECT_FALSE(All.isRare(Pool, Part, Start));
  EXPECT_FALSE(All.isRare({"desk"}, Other, Start));
  EXPECT_FALSE(All.isRare(Pool, Other, Start + RecentAnswers::Retention));
  addAnswers(All, Other, 1);
  EXPECT_FALSE(All.isRare(Pool, Other, Start));
  addAnswers(All, Part, RecentAnswers::MaxCompared);
  EXPECT_TRUE(All.isRare(Pool, Other, Start));
}

} // namespace
