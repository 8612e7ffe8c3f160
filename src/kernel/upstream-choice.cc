#include "deckpitch/upstream-choice.h"

#include <algorithm>

namespace deckpitch {

namespace {

constexpr std::uint32_t FailuresToEject = 5;
constexpr std::chrono::seconds FirstEjection{2};
constexpr std::uint32_t MostDoublings = 5;

} // namespace

bool Ejection::failed(TimePoint Now) {
  if (++m_Failures < FailuresToEject)
    return false;
  m_Failures = 0;
  m_Until = Now + FirstEjection * (1U << std::min(m_Times, MostDoublings));
  ++m_Times;
  return true;
}

void Ejection::succeeded() {
  m_Failures = 0;
  m_Times = 0;
}

} // namespace deckpitch

namespace deckpitch::detail {

namespace {

/// The busiest a prefix's upstream may be, over the mean of its peers.
constexpr double PrefixLoadFactor = 1.25;
constexpr double PrefixLoadSlack = 0.05;
/// Ejection never takes more than this share of a pool.
constexpr double EjectionFloor = 0.5;

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
          EjectionFloor * static_cast<double>(All.size()) &&
      !Left.empty())
    return Left;
  return {All.begin(), All.end()};
}

} // namespace

std::vector<Candidate> preferredCandidates(std::span<const Candidate> All) {
  const std::vector<Candidate> Healthy = healthyCandidates(All);
  const auto Roomy =
      keepIf(Healthy, [](const Candidate &Each) { return Each.hasRoom(); });
  auto Near = keepIf(Roomy, [](const Candidate &Each) { return Each.m_Near; });
  if (!Near.empty())
    return Near;
  return Roomy.empty() ? Healthy : Roomy;
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
