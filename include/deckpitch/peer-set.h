// Which peers an agent is told of.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/membership.h"

#include <cstdint>
#include <vector>

namespace deckpitch {

/// Instances that hold or are to hold the weights: of the asker's data centre
/// first, one in five from others, so that copies cross between data centres
/// only a few times. Random by the seed; linear in the members.
std::vector<const Member *>
choosePeers(const DeclarationSet &Declarations, const MembershipView &Members,
            const InstanceId &Asker, const WeightsId &Weights,
            std::uint32_t Count, std::uint64_t Seed);

} // namespace deckpitch
