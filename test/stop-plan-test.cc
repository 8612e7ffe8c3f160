// What an entry does with each kind of request at each moment of its stop.
#include "deckpitch/stop-plan.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Begin{1h};
constexpr Duration Grace = 8s;
constexpr Duration Step = 50ms;

const StopPlan Plan(Begin, Grace);

/// Requests were sent on 1.8 s and 2.2 s after the stop signal with 6 s of work
/// and cut at the end of the grace of 8 s, without an answer.
TEST(StopPlan, NothingThatMayRunOnceIsSentIfItMayBeCut) {
  for (Duration Age = 0s; Age < Grace + 1s; Age += Step)
    for (Duration Left = 0s; Left < 2 * Grace; Left += Step) {
      const TimePoint Now = Begin + Age;
      const StopSubject Once{Now + Left, false};
      for (const StopDecision &Each :
           {Plan.onArrival(Once, Now), Plan.onSend(Once, Now)}) {
        EXPECT_NE(Each.m_Action, StopAction::ServeWithin);
        if (Each.m_Action == StopAction::Serve) {
          EXPECT_LE(Each.m_Deadline, Plan.cutsAt());
          EXPECT_EQ(Each.m_Deadline, Once.m_Deadline);
        }
      }
    }
}

TEST(StopPlan, NoDeadlineIsLaterThanTheCutOrThanTheRequestsOwn) {
  for (Duration Age = 0s; Age < Grace + 1s; Age += Step)
    for (Duration Left = 0s; Left < 2 * Grace; Left += Step) {
      const TimePoint Now = Begin + Age;
      const StopSubject Often{Now + Left, true};
      for (const StopDecision &Each :
           {Plan.onArrival(Often, Now), Plan.onSend(Often, Now)}) {
        if (Each.m_Action == StopAction::Refuse)
          continue;
        EXPECT_LE(Each.m_Deadline, Plan.cutsAt());
        EXPECT_LE(Each.m_Deadline, Often.m_Deadline);
        EXPECT_EQ(Each.m_Action == StopAction::Serve,
                  Each.m_Deadline == Often.m_Deadline);
      }
    }
}

/// Callers that still use the address are served as long as their requests can
/// be, and are refused once others have learned that the entry leaves.
TEST(StopPlan, ServesWhatFitsWhileCallersStillUseTheAddress) {
  for (Duration Age = 0s; Begin + Age < Plan.acceptsUntil(); Age += Step) {
    const TimePoint Now = Begin + Age;
    for (const bool IsRepeatable : {false, true})
      EXPECT_EQ(Plan.onArrival({Now + 1s, IsRepeatable}, Now),
                (StopDecision{StopAction::Serve, Now + 1s}));
    EXPECT_EQ(Plan.onArrival({Now + 30s, true}, Now),
              (StopDecision{StopAction::ServeWithin, Plan.cutsAt()}));
    EXPECT_EQ(Plan.onArrival({Now + 30s, false}, Now), StopDecision{});
  }
  for (const bool IsRepeatable : {false, true})
    EXPECT_EQ(Plan.onArrival({Plan.acceptsUntil() + 1ms, IsRepeatable},
                             Plan.acceptsUntil()),
              StopDecision{});
}

/// A request that was received in time is still sent, and sent again, after the
/// last new one has been taken.
TEST(StopPlan, RequestsInProgressAreSentUntilTheCut) {
  const TimePoint Now = Plan.cutsAt() - 1s;
  EXPECT_EQ(Plan.onSend({Now + 500ms, false}, Now).m_Action, StopAction::Serve);
  EXPECT_EQ(Plan.onSend({Now + 5s, true}, Now).m_Action,
            StopAction::ServeWithin);
  EXPECT_EQ(Plan.onSend({Now + 5s, false}, Now).m_Action, StopAction::Refuse);
  EXPECT_EQ(Plan.onSend({Plan.cutsAt(), true}, Plan.cutsAt()).m_Action,
            StopAction::Refuse);
}

/// A decision to refuse by a request's head must still hold once its body has
/// been read: its caller then has all its time from a later moment.
TEST(StopPlan, ARefusalIsNotWithdrawnLater) {
  for (const bool IsRepeatable : {false, true})
    for (Duration Left = 0s; Left < 2 * Grace; Left += Step) {
      bool IsRefused = false;
      for (TimePoint Now = Begin; Now < Begin + Grace; Now += Step) {
        const bool IsNow =
            Plan.onArrival({Now + Left, IsRepeatable}, Now).m_Action ==
            StopAction::Refuse;
        EXPECT_FALSE(IsRefused && !IsNow);
        IsRefused = IsNow;
      }
    }
}

/// The moments are in order for every grace, and leave some time for answers.
TEST(StopPlan, MomentsAreInOrderForEveryGrace) {
  for (const Duration Each : {Duration(1ms), Duration(100ms), Duration(1s),
                              Duration(8s), Duration(60s), Duration(1h)}) {
    const StopPlan Of(Begin, Each);
    EXPECT_LE(Of.begin(), Of.acceptsUntil());
    EXPECT_LT(Of.acceptsUntil(), Of.cutsAt());
    EXPECT_LT(Of.cutsAt(), Of.end());
    EXPECT_LT(Of.end(), Begin + Each);
    EXPECT_LE(Of.acceptsUntil(), Begin + 2'500ms);
  }
}

/// With the usual grace nothing is ended before its last sixth.
TEST(StopPlan, TheCutIsInTheLastSixthOfTheUsualGrace) {
  EXPECT_GT(Plan.cutsAt(), Begin + 5 * Grace / 6);
}

} // namespace
