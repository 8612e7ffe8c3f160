// Spaces out the reads that one of many processes makes of a shared source.
#pragma once

#include "deckpitch/back-off.h"
#include "deckpitch/time.h"

#include <algorithm>
#include <random>

namespace deckpitch {

/// Waits that double up to a maximum, each shortened by a random part, so that
/// processes that start together do not read together.
class GrowingWait {
public:
  GrowingWait(Duration First, Duration Max)
      : m_First(First), m_Max(Max), m_Next(First) {}

  /// Whether no wait has begun, or the last one is over.
  bool isOver(TimePoint Now) const { return Now >= m_End; }
  /// Begins the next wait, of half to all of its length.
  template <std::uniform_random_bit_generator Source>
  void begin(TimePoint Now, Source &Random) {
    m_End = Now + jittered(m_Next, Random);
    m_Next = std::min(2 * m_Next, m_Max);
  }
  /// The wait after the current one is the first again.
  void reset() { m_Next = m_First; }

private:
  Duration m_First;
  Duration m_Max;
  Duration m_Next;
  TimePoint m_End{};
};

} // namespace deckpitch
