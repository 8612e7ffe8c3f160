// Names of declared objects.
#pragma once

#include <string_view>

namespace deckpitch {

/// Names become parts of paths and of weights ids, so their characters are few;
/// those of dots alone would mean something else in a path.
bool isGoodName(std::string_view Name);

inline constexpr const char *GoodNameExpected =
    "at most 100 letters, digits, '-', '_' or '.', and not dots alone";

} // namespace deckpitch
