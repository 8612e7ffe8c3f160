#include "net/boot-clock.h"

#include <time.h>

namespace deckpitch::net {

BootClock::time_point BootClock::now() noexcept {
  timespec Now{};
  // Cannot fail: Linux has had CLOCK_BOOTTIME since 2.6.39.
  ::clock_gettime(CLOCK_BOOTTIME, &Now);
  return time_point(std::chrono::seconds(Now.tv_sec) +
                    std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace deckpitch::net
