#include "deckpitch/regions.h"

#include <algorithm>
#include <iterator>

namespace deckpitch {

AllowedRegions intersectionOf(const AllowedRegions &One,
                              const AllowedRegions &Other) {
  if (!One.isRestricted())
    return Other;
  if (!Other.isRestricted())
    return One;
  std::set<RegionId> Both;
  std::set_intersection(One.named().begin(), One.named().end(),
                        Other.named().begin(), Other.named().end(),
                        std::inserter(Both, Both.end()));
  return AllowedRegions(std::move(Both));
}

RegionId RegionMap::regionOf(const DataCentreId &DataCentre) const {
  const auto Found = m_Regions.find(DataCentre);
  return Found == m_Regions.end() ? RegionId{} : Found->second;
}

bool RegionMap::contains(const RegionId &Region) const {
  return std::any_of(m_Regions.begin(), m_Regions.end(),
                     [&](const auto &Each) { return Each.second == Region; });
}

} // namespace deckpitch
