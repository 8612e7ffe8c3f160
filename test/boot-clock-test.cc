#include "daemon/clock.h"
#include "net/boot-clock.h"
#include "suspension.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace deckpitch::test;
using namespace std::chrono_literals;

namespace {

/// The steady clock excluded five seconds during which an instance was
/// suspended, so that stale cached state of the fleet seemed fresh.
TEST(BootClock, IncludesTheTimeOfASuspension) {
  const TimePoint Before = daemon::now();
  const auto BootBefore = net::BootClock::now();
  simulateSuspension(5s);
  EXPECT_GE(daemon::now() - Before, 5s);
  EXPECT_GE(net::BootClock::now() - BootBefore, 5s);
}

} // namespace
