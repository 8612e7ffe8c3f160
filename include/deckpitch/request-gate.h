// Checks whether an agent may pass a request on to its engine or service.
#pragma once

#include "deckpitch/membership.h"

#include <optional>
#include <string>
#include <string_view>

namespace deckpitch {

/// The state of the instance that the entry relied on when it chose it.
struct RequestBinding {
  PoolId m_Pool;
  WeightsId m_Weights;  ///< empty for services
  std::string m_Digest; ///< hex; empty for services
  Incarnation m_Incarnation;

  friend bool operator==(const RequestBinding &,
                         const RequestBinding &) = default;
};

/// Why a request may not run on this instance; nullopt if it may.
std::optional<std::string_view> refusalReason(const RequestBinding &Bound,
                                              const ServingReport &Serving,
                                              Incarnation Own, bool Leaving);

} // namespace deckpitch
