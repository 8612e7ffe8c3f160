// Decides which instance serves which pool, and how far a rollout may advance.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/membership.h"
#include "deckpitch/time.h"

namespace deckpitch {

/// Plans the next assignment from the previous one. An instance moves only if
/// its pool is gone, or has too many instances in a data centre where another
/// has too few; instances that hold a pool's weights already are preferred.
/// Surplus instances keep their pool. The function is pure, so two deciders
/// with the same views compute the same plan.
///
/// Suspect members keep their assignment; those gone or leaving lose it.
/// Weights advance in waves: all instances that can swap without downtime at
/// once, others at most Pool::m_MaxUnavailable at a time. The weights of a
/// paused pool do not change.
Assignment planAssignment(const DeclarationSet &Declarations,
                          const MembershipView &Members);

/// Maximum time that a new decider waits before it plans.
inline constexpr std::chrono::seconds MaxSettlingTime{3};

/// Whether a decider that took over SinceTakeover ago may plan. An instance
/// that is missing in its view would lose its assignment, as if it were gone;
/// so the decider waits until its view contains every instance of the
/// assignment in force, or until missing ones had enough time to report.
bool mayPlan(const Assignment &InForce, const MembershipView &Members,
             Duration SinceTakeover);

/// Values of ServingReport::m_Condition that gate the waves.
inline constexpr const char *ConditionStaged = "Staged";
inline constexpr const char *ConditionLoaded = "Loaded";

} // namespace deckpitch
