#include "daemon/clock.h"
#include "net/boot-clock.h"
#include "suspension.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace deckpitch::test;
using namespace std::chrono_literals;

namespace {

/// The steady clock left out five seconds in which a machine was suspended:
/// what was known of the fleet seemed fresh.
TEST(BootClock, CountsTheTimeOfASuspension) {
  const TimePoint Before = daemon::now();
  const auto BeforeThere = net::BootClock::now();
  simulateSuspension(5s);
  EXPECT_GE(daemon::now() - Before, 5s);
  EXPECT_GE(net::BootClock::now() - BeforeThere, 5s);
}

} // namespace
