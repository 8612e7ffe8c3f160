#include "deckpitch/entry-choice.h"

#include "deckpitch/random-weight.h"

#include <algorithm>

namespace deckpitch {

std::vector<InstanceId> chooseEntries(const InstanceId &For,
                                      const DataCentreId &DataCentre,
                                      std::vector<EntryCandidate> Candidates,
                                      std::size_t Count) {
  std::erase_if(Candidates,
                [&](const EntryCandidate &Each) { return Each.m_Id == For; });
  const auto Heavier = [&](const EntryCandidate &A, const EntryCandidate &B) {
    return randomWeight(For.m_Text, A.m_Id.m_Text) >
           randomWeight(For.m_Text, B.m_Id.m_Text);
  };
  std::sort(Candidates.begin(), Candidates.end(), Heavier);
  const auto Local = std::find_if(Candidates.begin(), Candidates.end(),
                                  [&](const EntryCandidate &Each) {
                                    return Each.m_DataCentre == DataCentre;
                                  });
  if (Local != Candidates.end())
    std::rotate(Candidates.begin(), Local, std::next(Local));
  std::vector<InstanceId> Chosen;
  for (const EntryCandidate &Each : Candidates)
    if (Chosen.size() < Count)
      Chosen.push_back(Each.m_Id);
  return Chosen;
}

} // namespace deckpitch
