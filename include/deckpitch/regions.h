// Regions: which of them a data centre belongs to, and in which a request may
// be served.
#pragma once

#include "deckpitch/id.h"

#include <map>
#include <set>
#include <utility>

namespace deckpitch {

using RegionId = Id<struct RegionTag>;

/// The regions in which requests may be served: any, or the named ones only.
/// None are left if two restrictions have no region in common.
class AllowedRegions {
public:
  /// Any region.
  AllowedRegions() = default;
  /// The named regions only; no region at all if none is named.
  explicit AllowedRegions(std::set<RegionId> Named)
      : m_IsRestricted(true), m_Named(std::move(Named)) {}

  bool isRestricted() const { return m_IsRestricted; }
  /// The regions that are named if there is a restriction.
  const std::set<RegionId> &named() const { return m_Named; }
  /// Whether requests may be served in the region; an empty one is unknown.
  bool permits(const RegionId &Region) const {
    return !m_IsRestricted || m_Named.contains(Region);
  }

  friend bool operator==(const AllowedRegions &,
                         const AllowedRegions &) = default;

private:
  bool m_IsRestricted = false;
  std::set<RegionId> m_Named;
};

/// The regions that both permit.
AllowedRegions intersectionOf(const AllowedRegions &One,
                              const AllowedRegions &Other);

/// The region of each data centre.
class RegionMap {
public:
  RegionMap() = default;
  explicit RegionMap(std::map<DataCentreId, RegionId> Regions)
      : m_Regions(std::move(Regions)) {}

  /// Returns an empty id for an unknown data centre, which only unrestricted
  /// requests may be served in.
  RegionId regionOf(const DataCentreId &DataCentre) const;
  /// Whether any data centre belongs to the region.
  bool contains(const RegionId &Region) const;

  friend bool operator==(const RegionMap &, const RegionMap &) = default;

private:
  std::map<DataCentreId, RegionId> m_Regions;
};

} // namespace deckpitch
