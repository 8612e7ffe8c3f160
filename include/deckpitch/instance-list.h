// The platform's list of instances as one value, and the difference between two
// lists, so that a process can send others a change instead of the whole list.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace deckpitch {

using InstanceList = std::map<InstanceId, FleetInstance>;

/// Returns a hash of the list that is the same in every process.
std::uint64_t fingerprintOf(const InstanceList &List);

/// The difference between two lists, which are named by their fingerprints.
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

/// Returns the list after the change, or nothing if a fingerprint of the change
/// does not match.
std::optional<InstanceList> applyChange(InstanceList To,
                                        const InstanceListChange &Change);

/// Instances that expired from the list during an outage of the store. Those
/// that are alive register again soon after it returns, and count as listed
/// until then.
class ExpiredInstances {
public:
  /// Records that the store returned at that time from an outage that affected
  /// all processes. The next list is the first one since then, as far as this
  /// process knows. A repeated notice of the same return changes nothing.
  void storeReturned(TimePoint At);
  /// Returns when the store returned, as long as instances may still register
  /// again.
  std::optional<TimePoint> recentReturn(TimePoint Now) const;
  /// Returns the instances that count as listed: those read, and those of the
  /// known ones that may still register again. An instance that was in a list
  /// since the return has not expired: if it is missing later, it is gone.
  InstanceList complete(InstanceList Read, const InstanceList &Known,
                        TimePoint Now);

private:
  TimePoint m_Returned{};
  bool m_IsFirst = false;
  InstanceList m_Expired;
};

} // namespace deckpitch
