// Decides which instance serves which pool, and how far a rollout may go.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/membership.h"

namespace deckpitch {

/// Plans the next assignment from the previous one: an instance moves only
/// when its pool is gone or has too many in a data centre where another has
/// too few, and those that hold a pool's weights already are taken first.
/// Spare instances keep what they serve. Pure: two deciders with the same
/// views plan the same.
///
/// Members that are suspect keep their place; those gone or leaving lose it.
/// Weights advance in waves: every instance that can swap without a gap at
/// once, others at most Pool::m_MaxUnavailable at a time; a paused pool's
/// weights stay where they are.
Assignment planAssignment(const DeclarationSet &Declarations,
                          const MembershipView &Members);

/// Conditions in ServingReport that the waves rest on.
inline constexpr const char *ConditionStaged = "Staged";
inline constexpr const char *ConditionLoaded = "Loaded";

} // namespace deckpitch
