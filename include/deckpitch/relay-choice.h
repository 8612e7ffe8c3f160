// Which entries pass on the states of a data centre's instances: every process
// that sees the same entries computes the same choice.
#pragma once

#include "deckpitch/entry-choice.h"

#include <cstddef>
#include <vector>

namespace deckpitch {

/// Relays of one data centre: one of them may just have failed.
inline constexpr std::size_t RelaysPerDataCentre = 2;

/// The relays of a data centre among its live entries, by highest random
/// weight; fewer where it has fewer entries. The position of one is its rank.
/// The order of the live ones doesn't matter; an entry that goes is followed
/// by one that was none, and the other relays stay.
std::vector<InstanceId> chooseRelays(const DataCentreId &Of,
                                     const std::vector<EntryCandidate> &Live,
                                     std::size_t Count = RelaysPerDataCentre);

} // namespace deckpitch
