#include "suspension.h"

#include <time.h>

#include <atomic>
#include <cstdint>

namespace {

constexpr std::int64_t NanosPerSecond = 1'000'000'000;
std::atomic<std::int64_t> SuspendedNanos{0};

} // namespace

// The linker's --wrap option redirects calls in this program's objects to
// these.
int realClockGettime(clockid_t Which, timespec *To) asm("__real_clock_gettime");
int wrappedClockGettime(clockid_t Which,
                        timespec *To) asm("__wrap_clock_gettime");

int wrappedClockGettime(clockid_t Which, timespec *To) {
  const int Failed = realClockGettime(Which, To);
  if (Failed != 0 || Which != CLOCK_BOOTTIME)
    return Failed;
  const std::int64_t Nanos = To->tv_nsec + SuspendedNanos.load();
  To->tv_sec += Nanos / NanosPerSecond;
  To->tv_nsec = Nanos % NanosPerSecond;
  return 0;
}

namespace deckpitch::test {

void simulateSuspension(std::chrono::milliseconds Length) {
  SuspendedNanos += std::chrono::nanoseconds(Length).count();
}

} // namespace deckpitch::test
