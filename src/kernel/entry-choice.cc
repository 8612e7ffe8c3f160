#include "deckpitch/entry-choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>

namespace deckpitch {

namespace {

std::uint64_t weightOf(const InstanceId &For, const InstanceId &Entry) {
  const std::string Text = For.m_Text + '/' + Entry.m_Text;
  return XXH64(Text.data(), Text.size(), 0);
}

} // namespace

std::vector<InstanceId> chooseEntries(const InstanceId &For,
                                      const DataCentreId &In,
                                      std::vector<EntryCandidate> Candidates,
                                      std::size_t Count) {
  std::erase_if(Candidates,
                [&](const EntryCandidate &Each) { return Each.m_Id == For; });
  const auto Heavier = [&](const EntryCandidate &A, const EntryCandidate &B) {
    return weightOf(For, A.m_Id) > weightOf(For, B.m_Id);
  };
  std::sort(Candidates.begin(), Candidates.end(), Heavier);
  const auto Near = std::find_if(
      Candidates.begin(), Candidates.end(),
      [&](const EntryCandidate &Each) { return Each.m_DataCentre == In; });
  if (Near != Candidates.end())
    std::rotate(Candidates.begin(), Near, std::next(Near));
  std::vector<InstanceId> Chosen;
  for (const EntryCandidate &Each : Candidates)
    if (Chosen.size() < Count)
      Chosen.push_back(Each.m_Id);
  return Chosen;
}

} // namespace deckpitch
