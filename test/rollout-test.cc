#include "deckpitch/rollout.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

const WeightsId Old{"m@1"};
const WeightsId New{"m@2"};
const AssignedPool ServedOld{PoolId{"chat"}, Old};

Digest digestNamed(std::uint8_t Value) {
  Digest Out;
  Out.m_Bytes.fill(Value);
  return Out;
}

InstanceGoal goal(const WeightsId &Activate, const WeightsId &Prefetch) {
  InstanceGoal Out;
  Out.m_Pool = PoolId{"chat"};
  Out.m_Activate = Activate;
  Out.m_Prefetch = Prefetch;
  return Out;
}

EngineStatus engine(std::uint32_t Slots, std::vector<LoadedWeights> Loaded) {
  EngineStatus Out;
  Out.m_Slots = Slots;
  Out.m_Loaded = std::move(Loaded);
  return Out;
}

CopyState copyOf(const WeightsId &Weights, bool Complete,
                 std::uint8_t Whole = 2) {
  return {Weights, {}, digestNamed(Whole), Complete};
}

const LoadedWeights OldActive{Old, digestNamed(1), true};
const LoadedWeights NewLoaded{New, digestNamed(2), false};

TEST(Rollout, TwoSlotsSwapWithoutDowntime) {
  const InstanceGoal Prefetch = goal(Old, New);
  EXPECT_EQ(nextStep(Prefetch, engine(2, {OldActive}), {}, ServedOld, 5),
            (RolloutStep{StepKind::Copy, New, true, "Copying"}));
  EXPECT_EQ(nextStep(Prefetch, engine(2, {OldActive}), {copyOf(New, true)},
                     ServedOld, 5),
            (RolloutStep{StepKind::Load, New, true, "Loading"}));
  EXPECT_EQ(nextStep(Prefetch, engine(2, {OldActive, NewLoaded}),
                     {copyOf(New, true)}, ServedOld, 5),
            (RolloutStep{StepKind::Idle, New, true, "Loaded"}));
  EXPECT_EQ(nextStep(goal(New, New), engine(2, {OldActive, NewLoaded}),
                     {copyOf(New, true)}, ServedOld, 5),
            (RolloutStep{StepKind::Activate, New, true, "Activating"}));
}

TEST(Rollout, OneSlotDrainsOnlyForWeightsToActivate) {
  const std::vector Copies{copyOf(New, true)};
  const EngineStatus One = engine(1, {OldActive});
  EXPECT_EQ(nextStep(goal(Old, New), One, Copies, ServedOld, 0),
            (RolloutStep{StepKind::Idle, New, true, "Staged"}));
  EXPECT_EQ(nextStep(goal(New, New), One, Copies, ServedOld, 1),
            (RolloutStep{StepKind::Drain, Old, false, "Draining"}));
  EXPECT_EQ(nextStep(goal(New, New), One, Copies, ServedOld, 0),
            (RolloutStep{StepKind::Unload, Old, false, "Draining"}));
}

TEST(Rollout, RunningRequestsDelayTheUnload) {
  EngineStatus One = engine(1, {OldActive});
  One.m_Running = 1;
  EXPECT_EQ(
      nextStep(goal(New, New), One, {copyOf(New, true)}, ServedOld, 0).m_Kind,
      StepKind::Drain);
}

TEST(Rollout, WeightsOfAnotherPoolAreNeverReady) {
  const AssignedPool Elsewhere{PoolId{"other"}, Old};
  EXPECT_FALSE(
      nextStep(goal(New, New), engine(2, {OldActive}), {}, Elsewhere, 0)
          .m_Ready);
}

TEST(Rollout, AnUnassignedInstanceIsNotReady) {
  EXPECT_EQ(nextStep({}, engine(2, {OldActive}), {}, ServedOld, 0),
            (RolloutStep{StepKind::Idle, {}, false, "Unassigned"}));
}

TEST(Rollout, OtherContentUnderTheSameNameDoesNotServe) {
  const LoadedWeights NewActive{New, digestNamed(9), true};
  const RolloutStep Step = nextStep(goal(New, New), engine(1, {NewActive}),
                                    {copyOf(New, true)}, {}, 0);
  EXPECT_EQ(Step, (RolloutStep{StepKind::Unload, New, false, "Draining"}));
}

TEST(Rollout, AnAdapterWaitsForItsBase) {
  const WeightsId Adapter{"m+a@1"};
  const CopyState Copy{Adapter, Old, digestNamed(3), true};
  const RolloutStep First =
      nextStep(goal(Adapter, Adapter), engine(2, {}), {Copy}, {}, 0);
  EXPECT_EQ(First, (RolloutStep{StepKind::Copy, Old, false, "Copying"}));
  const RolloutStep Then =
      nextStep(goal(Adapter, Adapter),
               engine(1, {{Old, digestNamed(1), false}}), {Copy}, {}, 0);
  EXPECT_EQ(Then, (RolloutStep{StepKind::Load, Adapter, false, "Loading"}));
}

} // namespace
