// Reads a whole file, for programs at their start.
#pragma once

#include <optional>
#include <string>

namespace deckpitch::net {

/// The file's content; nothing when it cannot be read.
std::optional<std::string> readTextFile(const std::string &Path);

} // namespace deckpitch::net
