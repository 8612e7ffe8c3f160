// Time since the start of the process.
#pragma once

#include <cstdint>

namespace deckpitch::net {

/// Counts from the static initialisation, after the loader's work.
std::uint64_t sinceStartMs();

} // namespace deckpitch::net
