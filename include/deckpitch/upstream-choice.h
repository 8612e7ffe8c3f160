// Picks the upstream of one attempt.
#pragma once

#include "deckpitch/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace deckpitch {

/// What is known of an upstream when an attempt is to be sent.
struct Candidate {
  std::size_t m_Index = 0;  ///< the caller's name for it
  std::uint32_t m_Own = 0;  ///< in flight from this entry: exact
  double m_Others = 0;      ///< in flight from others: as last reported
  double m_Limit = 1;       ///< what it can take at once, from all
  double m_OwnLimit = 1;    ///< what this entry has learned to send it
  std::uint64_t m_Rank = 0; ///< of the prompt's prefix; 0 when it has none
  bool m_Near = false;      ///< same data centre
  bool m_Suspect = false;   ///< heartbeats are late
  bool m_Ejected = false;   ///< failed more than its peers lately

  double load() const { return (m_Own + m_Others) / m_Limit; }
  bool hasRoom() const { return m_Own < m_OwnLimit; }
};

/// Keeps an upstream that fails again and again out of the choice for a
/// while, longer each time.
class Ejection {
public:
  /// True where this one has it ejected.
  bool failed(TimePoint Now);
  void succeeded();
  TimePoint until() const { return m_Until; }

private:
  std::uint32_t m_Failures = 0; ///< in a row
  std::uint32_t m_Times = 0;    ///< ejected without a success since
  TimePoint m_Until;
};

namespace detail {

/// The candidates among which load decides: near ones with room, else any
/// with room, else all; ejected and suspect ones only when others are few.
std::vector<Candidate> preferredCandidates(std::span<const Candidate> All);

/// The preferred candidate that likely holds the prefix, unless it is busier
/// than most.
std::optional<std::size_t>
prefixCandidate(const std::vector<Candidate> &Preferred);

} // namespace detail

/// Power of two choices over the entry's own counts and the others' reported
/// ones: a stale report misleads only those who draw it, so entries do not
/// all run to the same upstream. Gives the candidate's index.
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
