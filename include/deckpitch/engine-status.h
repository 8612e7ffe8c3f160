// The status that a model engine reports.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/manifest.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace deckpitch {

struct LoadedWeights {
  WeightsId m_Weights;
  Digest m_Digest;
  bool m_Active = false;

  friend bool operator==(const LoadedWeights &,
                         const LoadedWeights &) = default;
};

/// Staged chunks of weights that the engine may be ordered to load.
struct StagedWeights {
  WeightsId m_Weights;
  std::vector<std::uint32_t> m_Chunks;

  friend bool operator==(const StagedWeights &,
                         const StagedWeights &) = default;
};

struct EngineStatus {
  std::uint32_t m_Slots = 1; ///< versions that fit into memory
  std::vector<LoadedWeights> m_Loaded;
  std::vector<StagedWeights> m_Staging;
  FencingNumber m_Fence;       ///< of the last order
  std::uint32_t m_Running = 0; ///< requests; may be outdated
  std::uint32_t m_Waiting = 0; ///< requests; may be outdated

  const LoadedWeights *active() const;
  const LoadedWeights *find(const WeightsId &Weights) const;

  friend bool operator==(const EngineStatus &, const EngineStatus &) = default;
};

/// Parses the response of GET /v1/engine/status. Errors: InvalidInput.
Result<EngineStatus> parseEngineStatus(std::string_view Json);

} // namespace deckpitch
