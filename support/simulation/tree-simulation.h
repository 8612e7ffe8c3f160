// Baselines for the swarm in virtual time: distribution trees over the same
// shaped links.
#pragma once

#include "simulation/swarm-simulation.h"

namespace deckpitch::simulation {

enum class Scheme {
  Chain,          ///< complete copies, one instance after the other
  ChainOfChunks,  ///< each chunk is forwarded when it arrives
  BinaryTree,     ///< complete copies, two receivers per sender
  QuaternaryTree, ///< complete copies, four receivers per sender
  EveryoneFromOrigin
};

/// Computes time and origin bytes without faults. Uses only the counts, links,
/// origin rate and delay of the options.
SimulationResult runBaseline(const SimulationOptions &Options, Scheme By);

} // namespace deckpitch::simulation
