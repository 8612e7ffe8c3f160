#include "direct/unreadable-log.h"

namespace deckpitch::direct {

namespace {

constexpr std::size_t MaxLoggedError = 200;

} // namespace

std::string shortened(const std::string &Error) {
  return Error.substr(0, MaxLoggedError);
}

} // namespace deckpitch::direct
