#include "deckpitch/rollout.h"

#include <algorithm>

namespace deckpitch {

namespace {

const CopyState *findCopy(const std::vector<CopyState> &Copies,
                          const WeightsId &Weights) {
  const auto Found =
      std::find_if(Copies.begin(), Copies.end(), [&](const CopyState &Each) {
        return Each.m_Weights == Weights;
      });
  return Found == Copies.end() ? nullptr : &*Found;
}

bool isBaseOf(const WeightsId &Weights, const WeightsId &Adapter,
              const std::vector<CopyState> &Copies) {
  const CopyState *Copy = findCopy(Copies, Adapter);
  return Copy && Copy->m_Base == Weights;
}

/// Finds loaded weights that are neither active nor needed.
const LoadedWeights *findUnwanted(const InstanceGoal &Goal,
                                  const EngineStatus &Engine,
                                  const std::vector<CopyState> &Copies) {
  const LoadedWeights *Active = Engine.active();
  for (const LoadedWeights &Each : Engine.m_Loaded) {
    const bool Wanted =
        Each.m_Weights == Goal.m_Activate ||
        Each.m_Weights == Goal.m_Prefetch ||
        isBaseOf(Each.m_Weights, Goal.m_Activate, Copies) ||
        isBaseOf(Each.m_Weights, Goal.m_Prefetch, Copies) ||
        (Active && isBaseOf(Each.m_Weights, Active->m_Weights, Copies));
    if (!Each.m_Active && !Wanted)
      return &Each;
  }
  return nullptr;
}

/// Counts used slots. Adapters ("model+adapter@version") share the slot of
/// their base.
std::size_t slotsUsed(const EngineStatus &Engine) {
  return static_cast<std::size_t>(std::count_if(
      Engine.m_Loaded.begin(), Engine.m_Loaded.end(),
      [](const LoadedWeights &Each) {
        return Each.m_Weights.m_Text.find('+') == std::string::npos;
      }));
}

/// The next step to load weights into a slot. MayDrain allows the active
/// weights to be unloaded for it.
RolloutStep stepTowards(const WeightsId &Wanted, bool MayDrain,
                        const InstanceGoal &Goal, const EngineStatus &Engine,
                        const std::vector<CopyState> &Copies, bool Ready,
                        std::uint32_t InFlight) {
  const CopyState *Copy = findCopy(Copies, Wanted);
  if (!Copy || !Copy->m_Complete)
    return {StepKind::Copy, Wanted, Ready, "Copying"};
  // An adapter needs no slot of its own, but its base must be loaded.
  const bool IsAdapter = !Copy->m_Base.empty();
  if (IsAdapter && !Engine.find(Copy->m_Base))
    return stepTowards(Copy->m_Base, MayDrain, Goal, Engine, Copies, Ready,
                       InFlight);
  // Active weights with this name but another digest must be unloaded first.
  const LoadedWeights *Other = Engine.find(Wanted);
  const bool InUse = Other && Other->m_Active;
  if (!InUse && (IsAdapter || slotsUsed(Engine) < Engine.m_Slots || Other))
    return {StepKind::Load, Wanted, Ready, "Loading"};
  if (const LoadedWeights *Unwanted = findUnwanted(Goal, Engine, Copies))
    return {StepKind::Unload, Unwanted->m_Weights, Ready, "Loading"};
  if (!MayDrain)
    return {StepKind::Idle, Wanted, Ready, "Staged"};
  const LoadedWeights *Active = Engine.active();
  const bool Busy =
      InFlight > 0 || Engine.m_Running > 0 || Engine.m_Waiting > 0;
  if (Active && Busy)
    return {StepKind::Drain, Active->m_Weights, false, "Draining"};
  const WeightsId &Evicted =
      Active ? Active->m_Weights : Engine.m_Loaded.front().m_Weights;
  return {StepKind::Unload, Evicted, false, "Draining"};
}

/// Finds loaded weights whose digest matches their manifest. Without a manifest
/// only active weights are accepted: they were activated by their digest before
/// the agent restarted.
const LoadedWeights *findVerified(const WeightsId &Weights,
                                  const EngineStatus &Engine,
                                  const std::vector<CopyState> &Copies) {
  const LoadedWeights *Held = Engine.find(Weights);
  const CopyState *Copy = findCopy(Copies, Weights);
  if (!Held)
    return nullptr;
  const bool Verified = Copy ? Held->m_Digest == Copy->m_Whole : Held->m_Active;
  return Verified ? Held : nullptr;
}

} // namespace

InstanceGoal goalOf(const DeclarationSet &Declarations,
                    const InstanceId &Instance) {
  InstanceGoal Goal;
  Goal.m_Fence = {Declarations.m_Assignment.m_Revision.m_Value};
  const auto &Assigned = Declarations.m_Assignment.m_Value.m_Instances;
  const auto Found = Assigned.find(Instance);
  if (Found == Assigned.end())
    return Goal;
  Goal.m_Pool = Found->second.m_Pool;
  Goal.m_Activate = Found->second.m_Weights;
  Goal.m_Prefetch = Goal.m_Activate;
  const auto Pool = Declarations.m_Pools.find(Goal.m_Pool);
  if (Pool == Declarations.m_Pools.end())
    return Goal;
  Goal.m_Preference = Pool->second.m_Value.m_Preference;
  Goal.m_Paused = Pool->second.m_Value.m_Paused;
  if (!Goal.m_Paused)
    Goal.m_Prefetch = weightsOf(Pool->second.m_Value);
  return Goal;
}

RolloutStep nextStep(const InstanceGoal &Goal, const EngineStatus &Engine,
                     const std::vector<CopyState> &Copies,
                     const AssignedPool &Served, std::uint32_t InFlight) {
  if (Goal.m_Pool.empty())
    return {StepKind::Idle, {}, false, "Unassigned"};
  const LoadedWeights *Active = Engine.active();
  const LoadedWeights *Verified = findVerified(Goal.m_Activate, Engine, Copies);
  if (Verified && Verified->m_Active) {
    if (Goal.m_Prefetch == Goal.m_Activate || Goal.m_Prefetch.empty())
      return {StepKind::Serve, Goal.m_Activate, true, "Serving"};
    if (findVerified(Goal.m_Prefetch, Engine, Copies))
      return {StepKind::Idle, Goal.m_Prefetch, true, "Loaded"};
    return stepTowards(Goal.m_Prefetch, false, Goal, Engine, Copies, true,
                       InFlight);
  }
  const bool Ready = Active && Served.m_Pool == Goal.m_Pool &&
                     Served.m_Weights == Active->m_Weights;
  if (Goal.m_Activate.empty()) {
    if (Goal.m_Prefetch.empty())
      return {StepKind::Idle, {}, false, "NoWeights"};
    return stepTowards(Goal.m_Prefetch, false, Goal, Engine, Copies, Ready,
                       InFlight);
  }
  if (Verified)
    return {StepKind::Activate, Goal.m_Activate, Ready, "Activating"};
  return stepTowards(Goal.m_Activate, true, Goal, Engine, Copies, Ready,
                     InFlight);
}

} // namespace deckpitch
