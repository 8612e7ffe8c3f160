// Property checks of the fuzz targets.
#pragma once

#include <stdexcept>
#include <string>

namespace deckpitch::fuzz {

class PropertyViolation : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

inline void require(bool Holds, const std::string &Property) {
  if (!Holds)
    throw PropertyViolation(Property);
}

} // namespace deckpitch::fuzz
