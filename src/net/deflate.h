// Compression of texts that are passed on between processes.
#pragma once

#include "deckpitch/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace deckpitch::net {

/// As a raw deflate stream.
std::string deflate(std::string_view Text);

/// Errors: InvalidInput where the bytes are no whole stream, or hold more than
/// that many bytes of text.
Outcome<std::string> inflate(std::string_view Bytes, std::size_t MostBytes);

} // namespace deckpitch::net
