// How an engine that batches continuously spends its time: what it may hold,
// and how long a request takes there.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/place-ledger.h"
#include "deckpitch/time.h"

#include <chrono>
#include <cstdint>

namespace deckpitch {

/// How many requests an engine may hold so that the newest one's first token
/// still comes in time, and how soon a place becomes free.
struct EngineCapacity {
  double m_Limit = 1;
  Duration m_BetweenEnds{}; ///< mean time between two ends at a full engine

  friend bool operator==(const EngineCapacity &,
                         const EngineCapacity &) = default;
};

EngineCapacity capacityOf(const EngineProfile &Profile,
                          std::chrono::milliseconds Objective);

/// What a stream asks of an engine.
struct StreamSize {
  std::uint32_t m_PromptTokens = 0; ///< to be read
  std::uint32_t m_AnswerTokens = 0; ///< likely to be written; 0: unknown

  friend bool operator==(const StreamSize &, const StreamSize &) = default;
};

/// From a stream's begin to its end at an engine whose places are all taken:
/// the usual answer's length where its own is unknown.
Duration streamTime(const EngineProfile &Profile, const StreamSize &Size);

/// What a stream may ask of an engine whose first token is wanted so soon.
PlaceQuery placeQueryFor(const EngineProfile &Profile, const StreamSize &Size,
                         Duration FirstWithin, double Reserve);

/// Until a request begins that comes to an engine which holds so many.
Duration waitUntilBegin(const EngineProfile &Profile, double Held);

} // namespace deckpitch
