// Entries in three data centres and instances in two of them, for tests of one
// entry's StateSpread.
#pragma once

#include "deckpitch/state-spread.h"

#include <cstddef>
#include <string>
#include <vector>

namespace deckpitch::spread_test {

inline const DataCentreId Here{"here"};
inline const DataCentreId There{"there"};
inline const DataCentreId Third{"third"};
inline const std::string OwnInstance = "10.0.0.1:9000";
inline const std::string RemoteInstance = "10.1.0.1:9000";
inline constexpr TimePoint Start{std::chrono::hours(1)};
inline constexpr std::size_t EntriesOfEach = 5;

inline std::vector<EntryCandidate>
entriesOf(const DataCentreId &In, std::size_t Count = EntriesOfEach) {
  std::vector<EntryCandidate> Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back({{In.m_Text + "-" + std::to_string(I)}, In});
  return Out;
}

inline std::vector<EntryCandidate> allEntries() {
  std::vector<EntryCandidate> Out;
  for (const DataCentreId &In : {Here, There, Third})
    for (const EntryCandidate &Each : entriesOf(In))
      Out.push_back(Each);
  return Out;
}

inline std::vector<EntryCandidate>
without(std::vector<EntryCandidate> Live, const std::vector<InstanceId> &Gone) {
  for (const InstanceId &Id : Gone)
    std::erase_if(Live, [&](const auto &Each) { return Each.m_Id == Id; });
  return Live;
}

inline InstanceId localRelay(std::size_t Rank) {
  return chooseRelays(Here, allEntries()).at(Rank);
}
inline InstanceId remoteRelay(std::size_t Rank) {
  return chooseRelays(There, allEntries()).at(Rank);
}

/// Returns the entries of a data centre that are not relays, sorted.
inline std::vector<InstanceId> plainEntriesOf(const DataCentreId &In) {
  std::vector<InstanceId> Out;
  for (const EntryCandidate &Each :
       without(entriesOf(In), chooseRelays(In, entriesOf(In))))
    Out.push_back(Each.m_Id);
  return Out;
}

inline std::vector<ListedAddress> listed() {
  return {{OwnInstance, Here}, {RemoteInstance, There}};
}

/// Returns an entry of the data centre Here that sees all others as live.
inline StateSpread entry(const InstanceId &Id) {
  StateSpread Out({Id, Here});
  Out.setInstances(listed());
  Out.setEntries(allEntries(), Start);
  return Out;
}
inline StateSpread plainEntry() { return entry(plainEntriesOf(Here).front()); }

inline SpreadState stateOf(const std::string &Address, const ReportOrder &Order,
                           std::uint32_t Running) {
  SpreadState Out{Address, Order, {}};
  Out.m_Report.m_Running = Running;
  Out.m_Report.m_Weights = {{"model", 1, true}};
  return Out;
}

} // namespace deckpitch::spread_test
