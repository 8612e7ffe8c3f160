#include "deckpitch/request-gate.h"

namespace deckpitch {

std::optional<std::string_view> refusalReason(const RequestBinding &Bound,
                                              const ServingReport &Serving,
                                              Incarnation Own, bool Leaving) {
  if (Leaving)
    return "the instance is leaving";
  if (Bound.m_Incarnation != Own)
    return "meant for another life of the instance";
  if (!Serving.m_Ready)
    return "the instance is not ready";
  if (Bound.m_Pool != Serving.m_Pool)
    return "the instance serves another pool";
  if (Bound.m_Weights != Serving.m_Weights)
    return "the instance serves other weights";
  if (!Bound.m_Weights.empty() && Bound.m_Digest != toHex(Serving.m_Digest))
    return "the instance's weights have another digest";
  return std::nullopt;
}

} // namespace deckpitch
