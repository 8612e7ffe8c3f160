#include "deckpitch/fleet.h"

namespace deckpitch {

std::vector<WeightsSource> sourcesOf(const FleetDeclaration &Declaration) {
  std::string Origin;
  for (const ServiceDeclaration &Each : Declaration.m_Services)
    if (!Each.m_Origin.empty())
      Origin = Each.m_Origin;
  std::vector<WeightsSource> Out;
  if (Origin.empty())
    return Out;
  for (const ServiceDeclaration &Each : Declaration.m_Services)
    if (Each.m_Engine && !Each.m_Engine->m_Models.empty())
      Out.push_back({Each.m_Id, Each.m_Engine->m_Models.front(), Origin});
  return Out;
}

} // namespace deckpitch
