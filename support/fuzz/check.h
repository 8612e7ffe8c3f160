// How a target says that something does not hold.
#pragma once

#include <stdexcept>
#include <string>

namespace deckpitch::fuzz {

class BrokenProperty : public std::logic_error {
public:
  using std::logic_error::logic_error;
};

inline void require(bool Holds, const std::string &Property) {
  if (!Holds)
    throw BrokenProperty(Property);
}

} // namespace deckpitch::fuzz
