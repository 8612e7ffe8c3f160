// What an agent does next so that the instance beside it serves the declared
// weights.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace deckpitch {

/// What is known when the next step is decided.
struct WeightsState {
  DeclaredWeights m_Wanted;        ///< version 0: none is declared
  std::vector<HeldWeights> m_Held; ///< by the instance
  bool m_IsCopyComplete = false;   ///< all chunks are staged
  bool m_IsBusy = false;           ///< an order is under way
  std::size_t m_Rank = 0;          ///< of this instance in its pool
  std::size_t m_PoolSize = 1;
  TimePoint m_DeclaredAt{};                   ///< when the version was heard of
  TimePoint m_CopiedAt{};                     ///< when the copy became complete
  Duration m_Bound = std::chrono::seconds(8); ///< declared to served, for all

  friend bool operator==(const WeightsState &, const WeightsState &) = default;
};

enum class WeightsStep {
  Idle, ///< nothing is declared
  Copy, ///< fetch what is missing
  Wait, ///< others swap first, or an order is under way
  Load, ///< order the instance to load the staged weights
  Serve ///< the instance serves what it should
};

WeightsStep nextWeightsStep(const WeightsState &State, TimePoint Now);

/// When an instance that serves an older version may swap: the pool's swaps
/// are spread over the time that is left, so that only some are away at once.
Duration swapDelay(const WeightsState &State);

} // namespace deckpitch
