// Simulates a suspension of the host: advances CLOCK_BOOTTIME, but no other
// clock, for the code of this test program only.
#pragma once

#include <chrono>

namespace deckpitch::test {

/// Advances CLOCK_BOOTTIME permanently by the given time.
void simulateSuspension(std::chrono::milliseconds Length);

} // namespace deckpitch::test
