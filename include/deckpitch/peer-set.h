// Choice of the peers that are sent to an agent.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/membership.h"

#include <cstdint>
#include <vector>

namespace deckpitch {

/// Returns instances that hold the weights or are assigned them: those of the
/// asker's data centre first, and one in five from others, so that copies cross
/// between data centres only a few times. Random by the seed; linear in the
/// number of members.
std::vector<const Member *>
choosePeers(const DeclarationSet &Declarations, const MembershipView &Members,
            const InstanceId &Asker, const WeightsId &Weights,
            std::uint32_t Count, std::uint64_t Seed);

} // namespace deckpitch
