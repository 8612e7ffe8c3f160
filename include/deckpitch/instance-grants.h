// Admission of all entries' requests to one instance, decided beside it: by its
// slots, by its rate limit if it has one, and by what it accepts while cold.
#pragma once

#include "deckpitch/cold-start.h"
#include "deckpitch/id.h"
#include "deckpitch/rate-limit.h"
#include "deckpitch/slot-ledger.h"
#include "deckpitch/time.h"

#include <cstdint>
#include <optional>

namespace deckpitch {

/// Grants the slots of the instance at one address. Another incarnation there
/// does not have the rate limit of the former one.
class InstanceGrants {
public:
  explicit InstanceGrants(TimePoint Now) : m_Limit(Now), m_ColdStart(Now) {}

  /// Records the number of requests that the instance reports.
  void reported(std::uint32_t Held, TimePoint Now) {
    m_Slots.reported(Held, Now);
  }
  /// Records what an entry knows of an incarnation's rate limit. Returns true
  /// if the limit is another one than before.
  bool noteRateLimit(const RateLimitReport &Known, TimePoint Now);
  /// Records that an incarnation is cold, as an entry knows it.
  void noteColdStart(const InstanceId &Incarnation, const ColdStartLimit &Known,
                     TimePoint Now);
  /// Returns whether the request may be sent, and counts it if so; see
  /// SlotLedger::grant().
  bool grant(const PlaceQuery &Query, const InstanceId &Incarnation,
             TimePoint Now, TimePoint Closes = TimePoint::max());
  /// Returns what entries are to know of the rate limit; nothing: the instance
  /// never named one.
  std::optional<RateLimitReport> rateLimit(TimePoint Now);
  /// Requests per second; nothing: no limit.
  std::optional<double> perSecond() const { return m_Limit.perSecond(); }
  /// Returns the number of requests at the instance or granted a slot.
  std::uint32_t held() const { return m_Slots.held(); }

private:
  SlotLedger m_Slots;
  InstanceId m_Limited; ///< the incarnation that m_Limit is about
  CountedRateLimit m_Limit;
  InstanceId m_Cold; ///< the incarnation that m_ColdStart is about
  ColdStartGrants m_ColdStart;
};

} // namespace deckpitch
