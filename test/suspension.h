// The machine seems to have been suspended: CLOCK_BOOTTIME goes on, all other
// clocks do not. For this test program's own code only.
#pragma once

#include <chrono>

namespace deckpitch::test {

/// For good: the clock never goes back.
void suspendMachine(std::chrono::milliseconds Length);

} // namespace deckpitch::test
