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

/// Whole milliseconds since then, 0 for what is to come.
std::uint32_t ageMs(TimePoint Since, TimePoint Now);

/// A list as a change that puts all of it.
void writeWhole(const InstanceList &From, std::uint64_t Fingerprint,
                wire::InstancesNews &To);
InstanceList readWhole(const wire::InstancesNews &From);

void write(const InstanceListChange &From, wire::InstancesNews &To);
InstanceListChange read(const wire::InstancesNews &From);

} // namespace deckpitch::direct
