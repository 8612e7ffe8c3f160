// Weight of a candidate for a duty, for choices by highest random weight.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace deckpitch {

/// The same in every process. Who weighs most has the duty, so a candidate that
/// goes moves only the duties that it had.
inline std::uint64_t randomWeight(const std::string &Duty,
                                  const std::string &Candidate) {
  const std::string Text = Duty + '/' + Candidate;
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace deckpitch
