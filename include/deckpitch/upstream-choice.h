// Chooses the upstream of an attempt.
#pragma once

#include "deckpitch/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace deckpitch {

/// The state of an upstream when an attempt is to be sent.
struct Candidate {
  std::size_t m_Index = 0;         ///< assigned by the caller
  std::uint32_t m_OwnInFlight = 0; ///< in flight from this entry, exact
  double m_OthersInFlight = 0; ///< in flight from other entries, last reported
  double m_Limit = 1;    ///< concurrent requests it can take from all entries
  double m_OwnLimit = 1; ///< limit that this entry has learned for itself
  std::uint64_t m_Rank =
      0;                  ///< rank for the prompt's prefix; 0 without a prefix
  bool m_IsLocal = false; ///< in the same data centre
  bool m_Suspect = false; ///< heartbeats are late
  bool m_Ejected = false; ///< recently failed repeatedly

  double load() const { return (m_OwnInFlight + m_OthersInFlight) / m_Limit; }
  bool hasFreeCapacity() const { return m_OwnInFlight < m_OwnLimit; }
};

/// Excludes an upstream that fails repeatedly from the choice, for a period
/// that doubles each time.
class Ejection {
public:
  /// Counts a failure; true if it ejects the upstream.
  bool failed(TimePoint Now);
  void succeeded();
  TimePoint until() const { return m_Until; }

private:
  std::uint32_t m_Failures = 0;  ///< consecutive failures
  std::uint32_t m_Ejections = 0; ///< ejections since the last success
  TimePoint m_Until;
};

namespace detail {

/// The candidates among which load decides: local ones with free capacity, else
/// any with free capacity, else all. Ejected and suspect candidates are
/// included only if too few others are left.
std::vector<Candidate> preferredCandidates(std::span<const Candidate> All);

/// The preferred candidate that most likely has the prompt's prefix cached,
/// unless its load is well above the mean.
std::optional<std::size_t>
prefixCandidate(const std::vector<Candidate> &Preferred);

} // namespace detail

/// Chooses the less loaded of two random candidates ("power of two choices"),
/// by the entry's own counts and those reported by other entries. A stale
/// report affects only the draws that include its upstream, so the entries do
/// not all choose the same one. Returns the candidate's index.
template <std::uniform_random_bit_generator Generator>
std::optional<std::size_t> chooseUpstream(std::span<const Candidate> All,
                                          Generator &Random) {
  const std::vector<Candidate> Preferred = detail::preferredCandidates(All);
  if (Preferred.empty())
    return std::nullopt;
  if (const auto Held = detail::prefixCandidate(Preferred))
    return Held;
  std::uniform_int_distribution<std::size_t> Draw(0, Preferred.size() - 1);
  const Candidate &One = Preferred[Draw(Random)];
  const Candidate &Two = Preferred[Draw(Random)];
  return One.load() <= Two.load() ? One.m_Index : Two.m_Index;
}

} // namespace deckpitch
