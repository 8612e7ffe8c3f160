// One copy of weights at one agent: its chunks, peers and transfers.
#pragma once

#include "daemon/weights-link.h"
#include "deckpitch/manifest.h"
#include "deckpitch/rollout.h"
#include "deckpitch/swarm.h"
#include "net/engine.h"
#include "net/origin.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace deckpitch::daemon {

/// What all copies of one agent share; lives on the transfer loop.
struct TransferContext {
  asio::io_context &m_Io;
  const Settings &m_Settings;
  Incarnation m_Incarnation;
  std::unique_ptr<net::Engine> m_Engine;
  std::unique_ptr<net::Origin> m_Origin;
  std::unique_ptr<net::Origin> m_Store; ///< may be null
  ShapedLink m_Link;
  std::shared_ptr<Uplink> m_Uplink;
};

struct PeerAddress {
  InstanceId m_Id;
  DataCentreId m_DataCentre;
  std::string m_Bulk;

  friend bool operator==(const PeerAddress &, const PeerAddress &) = default;
};

/// Carries out what the swarm decides. All on the transfer loop.
class WeightsCopy : public std::enable_shared_from_this<WeightsCopy> {
public:
  using Callback = std::function<void()>;

  WeightsCopy(TransferContext &Context, Manifest Of, SwarmOptions Options);

  /// Takes in the chunks that the engine's staging already holds and that
  /// match their digests, also under other weights; then starts.
  asio::awaitable<void> recover(EngineStatus Engine,
                                std::vector<Manifest> Others);
  void start();
  /// Ends all transfers at once; what is staged stays.
  void stop();

  void setInstances(std::vector<InstanceId> Instances);
  void setDataCentres(
      const std::map<DataCentreId, std::vector<InstanceId>> &Instances) {
    m_Swarm.setDataCentres(Instances);
  }
  void setPreference(Preference Value) { m_Swarm.setPreference(Value); }
  void setPeers(std::vector<PeerAddress> Peers);
  /// Called when more peers are needed.
  void onAskForPeers(Callback Call) { m_AskForPeers = std::move(Call); }
  /// Called when a chunk was staged.
  void onGain(Callback Call) { m_OnGain = std::move(Call); }

  /// Takes over a connection whose peer said hello first.
  asio::awaitable<void> accept(std::shared_ptr<BulkConnection> Connection,
                               wire::BulkHello Hello);

  const Manifest &manifest() const { return m_Manifest; }
  const Swarm &swarm() const { return m_Swarm; }
  CopyState state() const;
  /// The origin gave bytes of other content than the manifest names.
  bool originChanged() const { return m_OriginChanged; }
  bool stopped() const { return m_Stopped; }

private:
  struct Peer {
    InstanceId m_Id;
    std::shared_ptr<BulkConnection> m_Connection;
    std::map<std::uint32_t, std::string> m_Partial;
  };

  asio::awaitable<void> tick();
  asio::awaitable<void> connect(PeerAddress To);
  asio::awaitable<void> greet(PeerAddress To);
  /// Hello: of the peer; Told: what it was told of this copy.
  asio::awaitable<void> serve(std::shared_ptr<BulkConnection> Connection,
                              wire::BulkHello Hello, wire::BulkHello Told);
  void tellSince(const wire::BulkHello &Told, BulkConnection &To);
  asio::awaitable<bool> receive(PeerNumber Number, net::BulkMessage Message);
  asio::awaitable<bool> receivePiece(PeerNumber Number,
                                     net::BulkMessage Message);
  void receiveChunk(PeerNumber Number, std::uint32_t Chunk, std::string Bytes);
  asio::awaitable<void> sendChunk(PeerNumber Number, std::uint32_t Chunk);
  asio::awaitable<void> readOrigin(std::uint32_t Chunk);
  asio::awaitable<void> stage(std::uint32_t Chunk, std::string Bytes);
  asio::awaitable<void> takeStaged(WeightsId From, std::uint32_t Index,
                                   std::uint32_t Chunk);
  Swarm::OriginOutcome check(std::uint32_t Chunk,
                             const Outcome<net::OriginChunk> &Read);
  asio::awaitable<Outcome<net::OriginChunk>> readOnce(net::Origin &From,
                                                      std::uint32_t Chunk);
  bool matches(std::uint32_t Chunk, const std::string &Bytes) const;
  void connectMore();
  bool linked(const InstanceId &Id) const;
  wire::BulkHello hello() const;
  bool fits(const wire::BulkHello &Hello) const;

  void perform(const SwarmActions &Actions);
  void perform(const SendGrant &Action);
  void perform(const SendRequest &Action);
  void perform(const SendDecline &Action);
  void perform(const SendChunk &Action);
  void perform(const SendRefusal &Action);
  void perform(const SendHave &Action);
  void perform(const ReadOrigin &Action);
  void perform(const DropPeer &Action);
  void perform(const AskForPeers &Action);
  void sendTo(PeerNumber Number, wire::BulkFrame Message);
  template <typename Step> void spawn(Step Run);

  TransferContext &m_Context;
  Manifest m_Manifest;
  Swarm m_Swarm;
  std::map<PeerNumber, Peer> m_Peers;
  std::vector<PeerAddress> m_Known;
  std::set<InstanceId> m_Connecting;
  std::map<InstanceId, TimePoint> m_RetryAt;
  PeerNumber m_NextPeer = 1;
  std::uint32_t m_Unanswered = 0; ///< chunks asked of staging, in a row
  Callback m_AskForPeers;
  Callback m_OnGain;
  bool m_OriginChanged = false;
  bool m_Stopped = false;
};

/// Limits of a copy that keep its chunks in memory within the settings.
SwarmOptions swarmOptionsFor(const WeightsSettings &Settings,
                             std::uint32_t ChunkBytes);

} // namespace deckpitch::daemon
