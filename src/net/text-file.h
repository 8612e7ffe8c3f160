// Reads a complete file, for use at program start.
#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace deckpitch::net {

/// Returns the content of the file, or nullopt if it cannot be read.
std::optional<std::string> readTextFile(const std::string &Path);

/// Settings that cannot be read may be being written, which takes far less than
/// these reads together, five seconds. They are counted, so that a process that
/// was paused meanwhile still reads.
inline constexpr int SettingsReads = 100;
inline constexpr std::chrono::milliseconds SettingsReadInterval{50};

} // namespace deckpitch::net
