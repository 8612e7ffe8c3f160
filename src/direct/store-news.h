// Between what an entry knows of the store and the datagrams that tell it.
#pragma once

#include "deckpitch/instance-list.h"
#include "proto/link.pb.h"

namespace deckpitch::direct {

/// Changes of more instances than these are not told: a datagram stays below
/// 8 KB, and who misses one reads the list itself.
inline constexpr std::size_t MostChangesTold = 40;

void write(const HeardWeights &From, TimePoint Now,
           wire::DeclaredWeightsState &To);
HeardWeights read(const wire::DeclaredWeightsState &From, TimePoint Now);

void write(const WeightsSource &From, wire::WeightsSourceState &To);
WeightsSource read(const wire::WeightsSourceState &From);

void write(const HeldWeights &From, wire::HeldWeightsState &To);
HeldWeights read(const wire::HeldWeightsState &From);

void write(const InstanceListChange &From, wire::InstancesNews &To);
InstanceListChange read(const wire::InstancesNews &From);

} // namespace deckpitch::direct
