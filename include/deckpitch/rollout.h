// What an agent orders its engine to do next, so that it serves what it should.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/engine-status.h"

#include <optional>
#include <string>

namespace deckpitch {

/// What one instance should do, as the declarations in force say.
struct InstanceGoal {
  PoolId m_Pool;         ///< empty: assigned to none
  WeightsId m_Activate;  ///< may serve now
  WeightsId m_Prefetch;  ///< declared for the pool; equals m_Activate at rest
  FencingNumber m_Fence; ///< revision of the assignment
  Preference m_Preference = Preference::OriginBytes;
  bool m_Paused = false;

  friend bool operator==(const InstanceGoal &, const InstanceGoal &) = default;
};

InstanceGoal goalOf(const DeclarationSet &Declarations,
                    const InstanceId &Instance);

/// A copy of weights in the engine's staging, as the agent knows it.
struct CopyState {
  WeightsId m_Weights;
  WeightsId m_Base; ///< adapters: what they are used over
  Digest m_Whole;
  bool m_Complete = false; ///< every chunk verified and staged

  friend bool operator==(const CopyState &, const CopyState &) = default;
};

enum class StepKind {
  Idle,     ///< nothing to do, or nothing to serve
  Copy,     ///< fetch m_Weights into staging
  Load,     ///< order the engine to load m_Weights
  Activate, ///< order the engine to serve m_Weights
  Unload,   ///< order the engine to forget m_Weights
  Drain,    ///< take no requests, until none is in progress
  Serve     ///< the engine serves what it should
};

/// The next step, and what the instance can serve meanwhile.
struct RolloutStep {
  StepKind m_Kind = StepKind::Idle;
  WeightsId m_Weights;
  /// The engine's active weights may take requests of the pool.
  bool m_Ready = false;
  std::string m_Condition;

  friend bool operator==(const RolloutStep &, const RolloutStep &) = default;
};

/// Decides the next step from the engine's own word. The engine swaps without
/// a gap when a second slot is free; otherwise it is drained first, which
/// happens only for weights the assignment lets it activate.
/// Copies: what the agent knows of the weights in staging, and of those that
/// it loaded; weights are activated only with the digest named there. Served:
/// what the instance last served; those weights stay ready for their pool until
/// others replace them, and never for another pool.
RolloutStep nextStep(const InstanceGoal &Goal, const EngineStatus &Engine,
                     const std::vector<CopyState> &Copies,
                     const AssignedPool &Served, std::uint32_t InFlight);

} // namespace deckpitch
