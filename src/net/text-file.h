// Reads a complete file, for use at program start.
#pragma once

#include <optional>
#include <string>

namespace deckpitch::net {

/// Returns the content of the file, or nullopt if it cannot be read.
std::optional<std::string> readTextFile(const std::string &Path);

} // namespace deckpitch::net
