// A peer that offers every chunk and sends other bytes than were asked for.
#pragma once

#include "deckpitch/manifest.h"

#include <cstdint>
#include <string>

namespace deckpitch::test {

/// Calls an agent's bulk port so many times, as one and the same peer; each
/// call lasts until one chunk was asked for and sent, or the agent hung up.
/// Gives the number of chunks that the agent asked for.
std::uint32_t tellLies(const std::string &Bulk, const Manifest &Of,
                       std::uint32_t Calls);

} // namespace deckpitch::test
