// Weights for rendezvous hashing (highest random weight).
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace deckpitch {

/// The weight of a candidate for a duty, the same in every process. The
/// candidate with the highest weight has the duty, so the removal of a
/// candidate reassigns only its own duties.
inline std::uint64_t randomWeight(const std::string &Duty,
                                  const std::string &Candidate) {
  const std::string Text = Duty + '/' + Candidate;
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace deckpitch
