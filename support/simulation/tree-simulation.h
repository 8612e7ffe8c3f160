// Baselines of the swarm in virtual time: trees over the same shaped links.
#pragma once

#include "simulation/swarm-simulation.h"

namespace deckpitch::simulation {

enum class Scheme {
  Chain,          ///< whole copies, one instance after the other
  ChainOfChunks,  ///< each chunk is passed on as it comes
  BinaryTree,     ///< whole copies, two receivers for each sender
  QuaternaryTree, ///< whole copies, four receivers for each sender
  EveryoneFromOrigin
};

/// Time and origin bytes without faults. Of the options it minds the numbers,
/// the links, the origin's rate and the delay.
SimulationResult runBaseline(const SimulationOptions &Options, Scheme By);

} // namespace deckpitch::simulation
