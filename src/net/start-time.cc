#include "net/start-time.h"

#include "net/boot-clock.h"

namespace deckpitch::net {

namespace {

const BootClock::time_point Start = BootClock::now();

} // namespace

std::uint64_t sinceStartMs() {
  const auto Since = std::chrono::duration_cast<std::chrono::milliseconds>(
      BootClock::now() - Start);
  return static_cast<std::uint64_t>(Since.count());
}

} // namespace deckpitch::net
