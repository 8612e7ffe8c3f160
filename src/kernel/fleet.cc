#include "deckpitch/fleet.h"

namespace deckpitch {

std::vector<WeightsSource> sourcesOf(const FleetDeclaration &Declaration) {
  const ServiceDeclaration *Origin = nullptr;
  for (const ServiceDeclaration &Each : Declaration.m_Services)
    if (!Each.m_Origin.empty())
      Origin = &Each;
  std::vector<WeightsSource> Out;
  if (!Origin)
    return Out;
  for (const ServiceDeclaration &Each : Declaration.m_Services)
    if (Each.m_Engine && !Each.m_Engine->m_Models.empty())
      Out.push_back({Each.m_Id, Each.m_Engine->m_Models.front(),
                     Origin->m_Origin, Origin->m_OriginMbps});
  return Out;
}

} // namespace deckpitch
