// The platform's list of instances as one value, and what changed between two
// of them, so that a process can tell others of a change instead of the whole.
#pragma once

#include "deckpitch/fleet.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace deckpitch {

using InstanceList = std::map<InstanceId, FleetInstance>;

/// Equal for equal lists, in every process.
std::uint64_t fingerprintOf(const InstanceList &List);

/// Leads from the list with one fingerprint to that with the other.
struct InstanceListChange {
  std::uint64_t m_Before = 0;
  std::uint64_t m_After = 0;
  std::vector<FleetInstance> m_Put;
  std::vector<InstanceId> m_Removed;

  friend bool operator==(const InstanceListChange &,
                         const InstanceListChange &) = default;
};

InstanceListChange changeBetween(const InstanceList &Before,
                                 const InstanceList &After);

/// Nothing when the change does not lead from this list to the one it names.
std::optional<InstanceList> applyChange(InstanceList To,
                                        const InstanceListChange &Change);

} // namespace deckpitch
