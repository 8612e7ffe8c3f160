// Decides which instance serves which pool, and how far a rollout may go.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/membership.h"
#include "deckpitch/time.h"

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

/// How long a new decider waits at most before it plans.
inline constexpr std::chrono::seconds SettlingLimit{3};

/// True when a decider that took over that long ago may plan. An instance that
/// its view does not hold loses its place, as if it were gone; so it waits
/// until the view holds every instance of the assignment in force, or until
/// those that are missing had time enough to be heard.
bool mayPlan(const Assignment &InForce, const MembershipView &Members,
             Duration SinceTakeover);

/// Conditions in ServingReport that the waves rest on.
inline constexpr const char *ConditionStaged = "Staged";
inline constexpr const char *ConditionLoaded = "Loaded";

} // namespace deckpitch
