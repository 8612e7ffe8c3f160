// Which entries act as relays for the states of a data centre's instances.
// Every process that sees the same entries computes the same choice.
#pragma once

#include "deckpitch/entry-choice.h"

#include <cstddef>
#include <vector>

namespace deckpitch {

/// Number of relays of a data centre: one of them may just have failed.
inline constexpr std::size_t RelaysPerDataCentre = 2;

/// Returns the relays of a data centre among its live entries, by highest
/// random weight; fewer if it has fewer entries. The position of a relay is its
/// rank. The order of the live entries does not matter. If a relay goes, an
/// entry that was none takes its place, and the other relays stay.
std::vector<InstanceId> chooseRelays(const DataCentreId &DataCentre,
                                     const std::vector<EntryCandidate> &Live,
                                     std::size_t Count = RelaysPerDataCentre);

} // namespace deckpitch
