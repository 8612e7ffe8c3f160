// Compression of texts that processes send to one another.
#pragma once

#include "deckpitch/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace deckpitch::net {

/// Compresses the text to a raw deflate stream.
std::string deflate(std::string_view Text);

/// Decompresses a raw deflate stream. Errors: InvalidInput if the stream is
/// truncated or invalid, or its text is longer than MaxBytes.
Outcome<std::string> inflate(std::string_view Bytes, std::size_t MaxBytes);

} // namespace deckpitch::net
