// Runs a complete system for tests as real processes: stand-ins, entries and
// agents.
#pragma once

#include "harness.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::test {

struct ClusterOptions {
  std::uint32_t m_Entries = 2;
  std::uint32_t m_Engines = 2;
  std::uint32_t m_Services = 0;
  std::uint32_t m_Slots = 2;
  std::uint32_t m_Concurrency = 8;
  bool m_StrictFencing = false;
  bool m_Store = false; ///< agents use the weight store as well as the origin
  std::vector<std::string> m_DataCentres{
      "lahore"};                ///< assigned to agents round robin
  bool m_SpreadEntries = false; ///< round robin as well; else all in the first
  std::string m_ServicePool = "orders";
  std::string m_Scheme; ///< prefix of upstream, platform, origin and store
                        ///< addresses in settings, such as "http://"
  std::uint64_t m_LinkRate = 0; ///< of agents, each way, bytes/s; 0: unlimited
  /// Link rates that differ from m_LinkRate, by index of the agent.
  std::map<std::size_t, std::uint64_t> m_OtherLinkRates;
};

/// A deckpitchd process and the addresses that it announced.
struct Node {
  std::string m_Instance;
  std::string m_Settings; ///< path
  std::string m_Control;
  std::string m_Requests;
  std::string m_Bulk;
  std::string m_Operator;
  std::optional<Child> m_Process;
};

/// A stand-in that runs in its own process.
struct StandInNode {
  std::string m_Kind;
  std::string m_Address;
  std::optional<Child> m_Process;
};

/// Starts all processes of a system; each one can be killed, paused and
/// restarted.
///
///   Cluster Under({.m_Engines = 4});
///   ASSERT_TRUE(Under.start());
///   const std::string Digest = Under.addWeights("m@1", 1 << 20, 1 << 16);
///   ASSERT_TRUE(Under.declarePool("chat", "m", "1"));
///   ASSERT_TRUE(eventually([&] { return Under.enginesServing("m@1") == 4; }));
class Cluster {
public:
  explicit Cluster(ClusterOptions Options) : m_Options(std::move(Options)) {}

  /// Returns false if a process did not start; failure() then has the reason.
  bool start();
  const std::string &failure() const { return m_Failure; }

  const std::string &platform() const { return m_Platform.m_Address; }
  const std::string &origin() const { return m_Origin.m_Address; }
  const std::string &store() const { return m_Store.m_Address; }
  StandInNode &engine(std::size_t I) { return m_Engines.at(I); }
  StandInNode &service(std::size_t I) { return m_Services.at(I); }
  Node &entry(std::size_t I) { return m_Entries.at(I); }
  /// Agents of engines come first, then those of services.
  Node &agent(std::size_t I) { return m_Agents.at(I); }
  std::size_t entries() const { return m_Entries.size(); }
  std::size_t agents() const { return m_Agents.size(); }
  std::size_t engines() const { return m_Engines.size(); }

  /// Restarts the process on its previous addresses; returns whether it came
  /// up.
  bool restart(Node &Which);
  bool restart(StandInNode &Which);

  /// Creates weights at the origin and the store; returns the digest of the
  /// complete content in hex.
  std::string addWeights(const std::string &Weights, std::uint64_t Bytes,
                         std::uint32_t ChunkBytes, std::uint64_t Seed = 1);
  /// Creates or replaces an engine pool through an entry's operator port.
  bool declarePool(const std::string &Name, const std::string &Model,
                   const std::string &Version, std::size_t Entry = 0);
  bool declareServicePool(const std::string &Path, std::size_t Entry = 0);
  /// Creates or replaces a declared object; returns the HTTP status.
  unsigned declare(const std::string &Kind, const std::string &Name,
                   const std::string &Json, std::size_t Entry = 0);
  /// Returns the number of engines that report these weights as active.
  std::size_t enginesServing(const std::string &Weights) const;
  /// Returns the standard error of the platform, entries and agents, to
  /// explain a failed test.
  std::string logs() const;

private:
  bool startStandIn(StandInNode &Out, const std::string &Kind,
                    const std::string &Listen);
  bool startNode(Node &Out, const std::string &SettingsText);
  bool awaitNode(Node &Out);
  std::string entrySettings(std::size_t I) const;
  std::string agentSettings(std::size_t I) const;
  bool fail(const std::string &Why);

  ClusterOptions m_Options;
  ScratchDirectory m_Scratch;
  std::string m_Failure;
  StandInNode m_Platform;
  StandInNode m_Origin;
  StandInNode m_Store;
  std::vector<StandInNode> m_Engines;
  std::vector<StandInNode> m_Services;
  std::vector<Node> m_Entries;
  std::vector<Node> m_Agents;
};

} // namespace deckpitch::test
