// Decides what an agent orders its engine to do next, so that it serves the
// assigned weights.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/engine-status.h"

#include <optional>
#include <string>

namespace deckpitch {

/// The goal of one instance according to the declarations in force.
struct InstanceGoal {
  PoolId m_Pool;        ///< empty: unassigned
  WeightsId m_Activate; ///< may serve now
  WeightsId
      m_Prefetch; ///< declared for the pool; equals m_Activate outside rollouts
  FencingNumber m_Fence; ///< revision of the assignment
  Preference m_Preference = Preference::OriginBytes;
  bool m_Paused = false;

  friend bool operator==(const InstanceGoal &, const InstanceGoal &) = default;
};

InstanceGoal goalOf(const DeclarationSet &Declarations,
                    const InstanceId &Instance);

/// The agent's state of a copy of weights in the engine's staging.
struct CopyState {
  WeightsId m_Weights;
  WeightsId m_Base; ///< for adapters: the weights they apply to
  Digest m_Whole;
  bool m_Complete = false; ///< every chunk verified and staged

  friend bool operator==(const CopyState &, const CopyState &) = default;
};

enum class StepKind {
  Idle,     ///< nothing to do or to serve
  Copy,     ///< fetch m_Weights into staging
  Load,     ///< order the engine to load m_Weights
  Activate, ///< order the engine to serve m_Weights
  Unload,   ///< order the engine to unload m_Weights
  Drain,    ///< accept no requests until none is in progress
  Serve     ///< the engine serves the goal's weights
};

/// The next step, and whether the instance can serve meanwhile.
struct RolloutStep {
  StepKind m_Kind = StepKind::Idle;
  WeightsId m_Weights;
  /// The engine's active weights may take requests of the pool.
  bool m_Ready = false;
  std::string m_Condition;

  friend bool operator==(const RolloutStep &, const RolloutStep &) = default;
};

/// Decides the next step from the status that the engine reports. The engine
/// swaps without downtime if a second slot is free; otherwise it is drained
/// first, which happens only for weights that the assignment lets it activate.
/// Copies are the weights in staging and those that the agent loaded; weights
/// are activated only with the digest given there. Served is what the instance
/// served last; those weights stay ready for their pool until others replace
/// them, and are never ready for another pool.
RolloutStep nextStep(const InstanceGoal &Goal, const EngineStatus &Engine,
                     const std::vector<CopyState> &Copies,
                     const AssignedPool &Served, std::uint32_t InFlight);

} // namespace deckpitch
