// Conversion between an entry's view of the store and the messages that carry
// it.
#pragma once

#include "deckpitch/instance-list.h"
#include "proto/link.pb.h"

namespace deckpitch::direct {

/// A change of more instances than this is sent without its contents, so that a
/// datagram stays below 8 KB; a receiver that lacks the contents reads the
/// list.
inline constexpr std::size_t MaxChangesSent = 40;

void write(const DatedWeights &From, TimePoint Now,
           wire::DeclaredWeightsState &To);
DatedWeights read(const wire::DeclaredWeightsState &From, TimePoint Now);

void write(const WeightsSource &From, wire::WeightsSourceState &To);
WeightsSource read(const wire::WeightsSourceState &From);

void write(const HeldWeights &From, wire::HeldWeightsState &To);
HeldWeights read(const wire::HeldWeightsState &From);

/// Milliseconds from Since to Now, rounded up; 0 if Since is later.
std::uint32_t ageMs(TimePoint Since, TimePoint Now);

/// Writes a list as a change that puts all its instances.
void writeWhole(const InstanceList &From, std::uint64_t Fingerprint,
                wire::InstancesNews &To);
InstanceList readWhole(const wire::InstancesNews &From);

void write(const InstanceListChange &From, wire::InstancesNews &To);
InstanceListChange read(const wire::InstancesNews &From);

} // namespace deckpitch::direct
