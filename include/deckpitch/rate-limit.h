// The rate of requests that an instance accepts from all entries together.
#pragma once

#include "deckpitch/time.h"

#include <optional>

namespace deckpitch {

/// What one answer of an instance says about its rate limit.
struct RateObservation {
  std::optional<double> m_PerSecond; ///< nothing: the answer names no limit
  TimePoint m_Sent{};                ///< when the answer's request was sent
  TimePoint m_Answered{};            ///< when the answer arrived

  friend bool operator==(const RateObservation &,
                         const RateObservation &) = default;
};

/// The rate limit of one incarnation of an instance, as of its newest answer.
/// Answers overtake each other: one to a request that was sent earlier changes
/// nothing, and one without a limit ends the limit only if its request was sent
/// after the limit had been received.
class ObservedRateLimit {
public:
  /// Returns true if the limit is another one than before.
  bool note(const RateObservation &Answer);
  /// Requests per second; nothing: no limit.
  std::optional<double> perSecond() const { return m_Newest.m_PerSecond; }
  /// Returns the newest observation; nothing if none ever named a limit.
  std::optional<RateObservation> newest() const;

private:
  RateObservation m_Newest;
  bool m_WasLimited = false;
};

} // namespace deckpitch
