// The platform's list of instances as one value, and what changed between two
// of them, so that a process can tell others of a change instead of the whole.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/time.h"

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

/// Instances whose entries lapsed while the store was away: those that live are
/// back soon after its return, and until then they count as listed.
class LapsedInstances {
public:
  /// The store was back at that moment, after it had been away for all. The
  /// next list is the first since, as far as this process knows. Heard of
  /// again, it changes nothing.
  void storeReturned(TimePoint At);
  /// When that was, while instances may still come back.
  std::optional<TimePoint> returnedLately(TimePoint Now) const;
  /// What counts as listed: what was read, and those of the known ones that may
  /// come back. One that a list since the return has held has not lapsed: when
  /// it is missing later, it has gone.
  InstanceList complete(InstanceList Read, const InstanceList &Known,
                        TimePoint Now);

private:
  TimePoint m_Returned{};
  bool m_IsFirst = false;
  InstanceList m_Lapsed;
};

} // namespace deckpitch
