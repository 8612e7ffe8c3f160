// Counts answers that exceed a bound on their bytes or on their time.
#pragma once

#include "net/metrics.h"

namespace deckpitch::net {

inline void countEndlessAnswer() {
  metrics().counter("deckpitch_endless_answers_total").add();
}

} // namespace deckpitch::net
