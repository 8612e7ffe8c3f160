// Which entries a process communicates with. Every process computes the same
// choice.
#pragma once

#include "deckpitch/id.h"

#include <cstddef>
#include <vector>

namespace deckpitch {

/// An entry that may be chosen.
struct EntryCandidate {
  InstanceId m_Id;
  DataCentreId m_DataCentre;

  friend bool operator==(const EntryCandidate &,
                         const EntryCandidate &) = default;
};

/// Number of entries that a process sends its heartbeats to.
inline constexpr std::size_t WatchersPerProcess = 2;

/// Returns the entries that watch a process, by highest random weight: the
/// first one in the process's own data centre if possible, so that a data
/// centre which is cut off still sees its own processes, the others anywhere. A
/// change of the candidates moves only the processes that it concerns.
std::vector<InstanceId> chooseEntries(const InstanceId &For,
                                      const DataCentreId &DataCentre,
                                      std::vector<EntryCandidate> Candidates,
                                      std::size_t Count = WatchersPerProcess);

} // namespace deckpitch
