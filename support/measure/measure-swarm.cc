// Compares the swarm with baseline schemes of distribution, simulated in
// virtual time over the same links.
#include "simulation/tree-simulation.h"

#include <iomanip>
#include <iostream>
#include <string>

using namespace deckpitch;
using namespace deckpitch::simulation;

namespace {

struct NamedScheme {
  const char *m_Name;
  Scheme m_Scheme;
};

constexpr NamedScheme Baselines[] = {
    {"chain", Scheme::Chain},
    {"chainOfChunks", Scheme::ChainOfChunks},
    {"tree2", Scheme::BinaryTree},
    {"tree4", Scheme::QuaternaryTree},
    {"everyoneFromOrigin", Scheme::EveryoneFromOrigin},
};

constexpr std::uint32_t Sizes[] = {8, 16, 32, 64, 128, 256, 512, 910};

void print(const std::string &Name, double Value, const char *Unit) {
  std::cout << Name << ' ' << Value << ' ' << Unit << std::endl;
}

void print(const std::string &Name, const SimulationOptions &Options,
           const SimulationResult &Result) {
  const std::string Base = Name +
                           (Options.m_SharedLinks ? ".shared.n" : ".duplex.n") +
                           std::to_string(Options.m_Agents);
  print(Base + ".time", Result.m_Slots / Options.m_Chunks, "copy-times");
  print(Base + ".ratio", Result.ratio(), "x");
  print(Base + ".originCopies", Result.m_OriginCopies, "copies");
  if (!Result.m_Complete)
    print(Base + ".incomplete", 1, "run");
}

} // namespace

int main() {
  std::cout << std::fixed << std::setprecision(3);
  for (const bool Shared : {false, true})
    for (const std::uint32_t Agents : Sizes) {
      SimulationOptions Options;
      Options.m_Agents = Agents;
      Options.m_SharedLinks = Shared;
      print("swarm", Options, SwarmSimulation(Options).run());
      for (const NamedScheme &Each : Baselines)
        print(Each.m_Name, Options, runBaseline(Options, Each.m_Scheme));
    }
}
