// Makes an agent's engine serve the weights that are assigned to it.
#pragma once

#include "daemon/module.h"
#include "daemon/weights-copy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/object.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace deckpitch::daemon {

/// Copies, loads and activates weights as the declarations require. Runs on the
/// transfer loop, except for the constructor and listen().
class WeightsAgent : public std::enable_shared_from_this<WeightsAgent> {
public:
  /// Sends a request for peers; may be called from any thread.
  using RequestPeers = std::function<void(WeightsId)>;

  WeightsAgent(Process &In, asio::io_context &Io, RequestPeers OnPeersWanted);

  /// Binds the bulk port and returns the bound address.
  Result<std::string> listen();
  void start();
  void stop();
  /// Starts the next reconciliation without delay.
  void wake();
  void setPeers(const WeightsId &Weights, std::vector<PeerAddress> Peers);
  boost::json::object dump() const;

private:
  asio::awaitable<void> run();
  asio::awaitable<Duration> reconcile();
  asio::awaitable<void> watchService();
  asio::awaitable<bool> isServiceHealthy();
  asio::awaitable<void> acceptPeers();
  asio::awaitable<void> acceptHello(std::shared_ptr<BulkConnection> Connection);
  asio::awaitable<void> perform(RolloutStep Step, EngineStatus Engine);
  asio::awaitable<void> copy(WeightsId Weights, EngineStatus Engine);
  asio::awaitable<void> load(WeightsId Weights);
  asio::awaitable<void> activateOrUnload(RolloutStep Step);
  asio::awaitable<void> discardChangedCopy(WeightsId Weights);
  asio::awaitable<std::optional<Manifest>> fetchManifest(WeightsId Weights);
  asio::awaitable<void> resumeSeeding(const EngineStatus &Engine);
  asio::awaitable<void> freeUnusedStaging(EngineStatus Engine);
  bool wanted(const WeightsId &Weights) const;
  void stopUnwantedCopies(const RolloutStep &Step);
  void updateCopies(const DeclarationSet &Declarations);
  void recordRefusal(const Error &Cause, const WeightsId &Weights);
  void publish(const RolloutStep &Step, const EngineStatus &Engine);
  void publish(ServingReport Next);
  std::vector<CopyState> copyStates() const;

  Process &m_Process;
  asio::io_context &m_Io;
  RequestPeers m_RequestPeers;
  TransferContext m_Context;
  asio::ip::tcp::acceptor m_Acceptor;
  asio::steady_timer m_Wake;
  std::map<WeightsId, std::shared_ptr<WeightsCopy>> m_Copies;
  std::map<WeightsId, std::vector<PeerAddress>> m_Peers;
  std::vector<Manifest> m_Manifests; ///< of copies in staging, newest last
  /// Weights that this agent had the engine load and that are still loaded.
  std::map<WeightsId, CopyState> m_LoadedByAgent;
  InstanceGoal m_Goal;
  AssignedPool m_LastServed;
  std::uint64_t m_Generation = 0; ///< of the declarations last applied
  std::string m_LastRefusal;
  bool m_Stopped = false;
};

} // namespace deckpitch::daemon
