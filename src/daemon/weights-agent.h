// Brings the engine beside an agent to the weights that it should serve.
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

/// Lives on the transfer loop, but for the constructor and listen().
class WeightsAgent : public std::enable_shared_from_this<WeightsAgent> {
public:
  /// AskPeers sends a request for peers; from any thread.
  using AskPeers = std::function<void(WeightsId)>;

  WeightsAgent(Process &In, asio::io_context &Io, AskPeers Ask);

  /// Binds the bulk port; gives the bound address.
  Result<std::string> listen();
  void start();
  void stop();
  /// The next round comes at once.
  void wake();
  void setPeers(const WeightsId &Weights, std::vector<PeerAddress> Peers);
  boost::json::object dump() const;

private:
  asio::awaitable<void> run();
  asio::awaitable<Duration> round();
  asio::awaitable<void> watchService();
  asio::awaitable<bool> serviceAnswers();
  asio::awaitable<void> acceptPeers();
  asio::awaitable<void> greet(std::shared_ptr<BulkConnection> Connection);
  asio::awaitable<void> perform(RolloutStep Step, EngineStatus Engine);
  asio::awaitable<void> copy(WeightsId Weights, EngineStatus Engine);
  asio::awaitable<void> load(WeightsId Weights);
  asio::awaitable<void> order(RolloutStep Step);
  asio::awaitable<void> replaceChanged(WeightsId Weights);
  asio::awaitable<std::optional<Manifest>> fetchManifest(WeightsId Weights);
  asio::awaitable<void> seedAgain(const EngineStatus &Engine);
  asio::awaitable<void> tidyStaging(EngineStatus Engine);
  bool wanted(const WeightsId &Weights) const;
  void stopUnwantedCopies(const RolloutStep &Step);
  void updateCopies(const DeclarationSet &Declarations);
  void noteRefusal(const Error &Fault, const WeightsId &Weights);
  void publish(const RolloutStep &Step, const EngineStatus &Engine);
  void publish(ServingReport Next);
  std::vector<CopyState> copyStates() const;

  Process &m_Process;
  asio::io_context &m_Io;
  AskPeers m_AskPeers;
  TransferContext m_Context;
  asio::ip::tcp::acceptor m_Acceptor;
  asio::steady_timer m_Wake;
  std::map<WeightsId, std::shared_ptr<WeightsCopy>> m_Copies;
  std::map<WeightsId, std::vector<PeerAddress>> m_Peers;
  std::vector<Manifest> m_Manifests; ///< of copies in staging, newest last
  /// What the engine loaded on this agent's order and still holds.
  std::map<WeightsId, CopyState> m_LoadedHere;
  InstanceGoal m_Goal;
  AssignedPool m_Served;
  std::uint64_t m_Generation = 0; ///< of the declarations last looked at
  std::string m_LastRefusal;
  bool m_Stopped = false;
};

} // namespace deckpitch::daemon
