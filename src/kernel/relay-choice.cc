#include "deckpitch/relay-choice.h"

#include "deckpitch/random-weight.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

namespace deckpitch {

std::vector<InstanceId> chooseRelays(const DataCentreId &DataCentre,
                                     const std::vector<EntryCandidate> &Live,
                                     std::size_t Count) {
  std::vector<std::pair<std::uint64_t, InstanceId>> Weighed;
  for (const EntryCandidate &Each : Live)
    if (Each.m_DataCentre == DataCentre)
      Weighed.emplace_back(randomWeight(DataCentre.m_Text, Each.m_Id.m_Text),
                           Each.m_Id);
  std::sort(Weighed.begin(), Weighed.end(), std::greater<>());
  Weighed.erase(std::unique(Weighed.begin(), Weighed.end()), Weighed.end());
  std::vector<InstanceId> Chosen;
  for (const auto &[Weight, Id] : Weighed)
    if (Chosen.size() < Count)
      Chosen.push_back(Id);
  return Chosen;
}

} // namespace deckpitch
