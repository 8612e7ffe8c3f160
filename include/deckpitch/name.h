// Names of declared objects.
#pragma once

#include <string_view>

namespace deckpitch {

/// Whether the text is a valid name. Names become parts of paths and weights
/// ids, so few characters are allowed; names of dots alone would have a special
/// meaning in a path.
bool isValidName(std::string_view Name);

inline constexpr const char *ValidNameExpected =
    "at most 100 letters, digits, '-', '_' or '.', and not dots alone";

} // namespace deckpitch
