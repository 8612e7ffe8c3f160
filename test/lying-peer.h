// A peer that offers every chunk and sends corrupt bytes.
#pragma once

#include "deckpitch/manifest.h"

#include <cstdint>
#include <string>

namespace deckpitch::test {

/// Connects to the bulk port of an agent the given number of times, always as
/// the same peer. A connection lasts until one chunk was requested and sent
/// corrupted, or the agent disconnected. Returns the number of chunks that the
/// agent requested.
std::uint32_t sendCorruptChunks(const std::string &Bulk, const Manifest &Of,
                                std::uint32_t Calls);

} // namespace deckpitch::test
