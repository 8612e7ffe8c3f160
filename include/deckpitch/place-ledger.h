// Which requests an instance may still be sent, decided beside it.
#pragma once

#include "deckpitch/time.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace deckpitch {

/// Requests beyond the slots that an engine may hold, as a share of the slots.
inline constexpr double MostQueuedShare = 0.25;

/// What a request asks of an engine, and how soon it wants the first token.
struct PlaceQuery {
  std::uint32_t m_Slots = 1;
  double m_Reserve = 0;     ///< places to be left to others
  Duration m_BetweenEnds{}; ///< at an engine whose slots are taken
  Duration m_ReadTime{};    ///< of the prompt
  Duration m_WriteTime{};   ///< of a pass that reads nothing
  Duration m_FirstWithin{}; ///< from now on

  friend bool operator==(const PlaceQuery &, const PlaceQuery &) = default;
};

/// The load pattern it answers: many entries see the same report, in which an
/// instance is free, and each sends it a few prompts before the next report.
/// An engine works in passes: each reads all prompts that came during the one
/// before, and gives their first tokens when it ends. A burst of prompts thus
/// makes all of them late, and those that come while it is read as well. One
/// ledger for each instance counts what all entries have been promised, so no
/// entry needs to know of the others.
class PlaceLedger {
public:
  /// What the instance says it holds. Promises that cannot show in it yet are
  /// kept in the count.
  void reported(std::uint32_t Held, TimePoint Now);
  /// Whether the request may be sent; it is then counted. What has not begun
  /// when the instance closes is refused there.
  bool grant(const PlaceQuery &Query, TimePoint Now,
             TimePoint Closes = TimePoint::max());
  /// Requests that are there or were promised a place.
  std::uint32_t held() const;

private:
  void advance(Duration WriteTime, TimePoint Now);

  std::uint32_t m_Reported = 0;
  std::deque<TimePoint> m_Promised; ///< that the report cannot show yet
  TimePoint m_PassEnd{};            ///< of the pass that is under way
  Duration m_NextRead{};            ///< of the prompts promised for the next
  TimePoint m_NextBy = TimePoint::max(); ///< by when it is to end for these
};

} // namespace deckpitch
