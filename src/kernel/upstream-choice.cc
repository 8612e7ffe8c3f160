#include "deckpitch/upstream-choice.h"

#include <algorithm>

namespace deckpitch {

namespace {

constexpr std::uint32_t FailuresToEject = 5;
constexpr std::chrono::seconds InitialEjection{2};
constexpr std::uint32_t MaxDoublings = 5;

} // namespace

bool Ejection::failed(TimePoint Now) {
  if (++m_Failures < FailuresToEject)
    return false;
  m_Failures = 0;
  m_Until = Now + InitialEjection * (1U << std::min(m_Ejections, MaxDoublings));
  ++m_Ejections;
  return true;
}

void Ejection::succeeded() {
  m_Failures = 0;
  m_Ejections = 0;
}

} // namespace deckpitch

namespace deckpitch::detail {

namespace {

/// How far the load of a prefix's upstream may exceed the mean of the preferred
/// candidates.
constexpr double PrefixLoadFactor = 1.25;
constexpr double PrefixLoadSlack = 0.05;
/// If fewer than this share of the pool are neither ejected nor suspect, all
/// are used.
constexpr double MinHealthyShare = 0.5;

template <typename Predicate>
std::vector<Candidate> keepIf(std::span<const Candidate> All, Predicate Keep) {
  std::vector<Candidate> Kept;
  std::ranges::copy_if(All, std::back_inserter(Kept), Keep);
  return Kept;
}

std::vector<Candidate> healthyCandidates(std::span<const Candidate> All) {
  auto Left = keepIf(All, [](const Candidate &Each) {
    return !Each.m_Ejected && !Each.m_Suspect;
  });
  if (static_cast<double>(Left.size()) >=
          MinHealthyShare * static_cast<double>(All.size()) &&
      !Left.empty())
    return Left;
  return {All.begin(), All.end()};
}

} // namespace

std::vector<Candidate> preferredCandidates(std::span<const Candidate> All) {
  const std::vector<Candidate> Healthy = healthyCandidates(All);
  const auto WithFreeCapacity = keepIf(
      Healthy, [](const Candidate &Each) { return Each.hasFreeCapacity(); });
  auto Local = keepIf(WithFreeCapacity,
                      [](const Candidate &Each) { return Each.m_IsLocal; });
  if (!Local.empty())
    return Local;
  return WithFreeCapacity.empty() ? Healthy : WithFreeCapacity;
}

std::optional<std::size_t>
prefixCandidate(const std::vector<Candidate> &Preferred) {
  const auto Best = std::ranges::max_element(Preferred, {}, &Candidate::m_Rank);
  if (Best->m_Rank == 0)
    return std::nullopt;
  double Sum = 0;
  for (const Candidate &Each : Preferred)
    Sum += Each.load();
  const double Mean = Sum / static_cast<double>(Preferred.size());
  if (Best->load() > Mean * PrefixLoadFactor + PrefixLoadSlack)
    return std::nullopt;
  return Best->m_Index;
}

} // namespace deckpitch::detail
