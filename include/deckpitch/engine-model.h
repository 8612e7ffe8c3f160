// Performance model of an engine with continuous batching: its capacity and the
// duration of requests.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/slot-ledger.h"
#include "deckpitch/time.h"

#include <chrono>
#include <cstdint>

namespace deckpitch {

/// The number of requests that an engine may hold so that the first token of
/// the newest one is still in time, and how often a slot becomes free.
struct EngineCapacity {
  double m_Limit = 1;
  Duration
      m_CompletionInterval{}; ///< mean interval of completions at a full engine

  friend bool operator==(const EngineCapacity &,
                         const EngineCapacity &) = default;
};

EngineCapacity capacityOf(const EngineProfile &Profile,
                          std::chrono::milliseconds Objective);

/// The size of a streaming request.
struct StreamSize {
  std::uint32_t m_PromptTokens = 0; ///< to prefill
  std::uint32_t m_AnswerTokens = 0; ///< expected to be generated; 0: unknown

  friend bool operator==(const StreamSize &, const StreamSize &) = default;
};

/// Duration of a stream at an engine whose slots are all taken. Assumes the
/// usual answer length if the stream's own is unknown.
Duration streamTime(const EngineProfile &Profile, const StreamSize &Size);

/// Builds the slot query of a stream whose first token is due within
/// FirstWithin.
PlaceQuery placeQueryFor(const EngineProfile &Profile, const StreamSize &Size,
                         Duration FirstWithin, double Reserve);

/// Time until a request starts that arrives at an engine with Held requests.
Duration expectedStartDelay(const EngineProfile &Profile, double Held);

} // namespace deckpitch
