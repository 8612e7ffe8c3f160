// Admission of requests to an instance, decided by its agent.
#pragma once

#include "deckpitch/time.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace deckpitch {

/// Maximum number of requests that wait at an engine, as a share of its slots.
inline constexpr double MaxQueuedShare = 0.25;

/// Requirements of a request on an engine, and how soon it needs the first
/// token.
struct PlaceQuery {
  std::uint32_t m_Slots = 1;
  double m_Reserve = 0;            ///< slots to be left free for others
  Duration m_CompletionInterval{}; ///< between two freed slots of a full engine
  Duration m_ReadTime{};           ///< time to prefill the prompt
  Duration m_WriteTime{};          ///< time of a pass without prefill
  Duration m_FirstWithin{};        ///< latest first token, from now on

  friend bool operator==(const PlaceQuery &, const PlaceQuery &) = default;
};

/// Grants the slots of one instance to the requests of all entries.
///
/// Many entries see the same report of a free instance, and each sends it a few
/// prompts before the next report. An engine works in passes: each prefills all
/// prompts that arrived during the previous one and gives their first tokens at
/// its end. A burst of prompts therefore delays all of them, and also those
/// that arrive during their prefill. One ledger per instance counts what all
/// entries have been granted, so that no entry needs to know of the others.
class SlotLedger {
public:
  /// Records the number of requests that the instance reports. Grants that
  /// cannot show in that number yet remain counted.
  void reported(std::uint32_t Held, TimePoint Now);
  /// Returns whether the request may be sent, and counts it if so. A request
  /// that would begin only after the instance closes is refused.
  bool grant(const PlaceQuery &Query, TimePoint Now,
             TimePoint Closes = TimePoint::max());
  /// Returns the number of requests at the instance or granted a slot.
  std::uint32_t held() const;

private:
  void advance(Duration WriteTime, TimePoint Now);

  std::uint32_t m_Reported = 0;
  /// Grants that the report cannot show yet.
  std::deque<TimePoint> m_PendingGrants;
  TimePoint m_PassEnd{}; ///< end of the current pass
  /// Time to prefill the prompts granted for the next pass.
  Duration m_NextReadTime{};
  /// Time by which the next pass must end for these prompts.
  TimePoint m_NextDeadline = TimePoint::max();
};

} // namespace deckpitch
