// An agent's copy of one set of weights: its chunks, peers and transfers.
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

/// State shared by all copies of one agent; used only on the transfer loop.
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

/// Performs the actions that its Swarm decides on. All members run on the
/// transfer loop.
class WeightsCopy : public std::enable_shared_from_this<WeightsCopy> {
public:
  using Callback = std::function<void()>;

  WeightsCopy(TransferContext &Context, Manifest Of, SwarmOptions Options);

  /// Adds the chunks that the engine already has in staging, under these or
  /// other weights, if they match the manifest's digests.
  asio::awaitable<void> recover(EngineStatus Engine,
                                std::vector<Manifest> Others);
  void start();
  /// Aborts all transfers; staged chunks are kept.
  void stop();

  void setInstances(std::vector<InstanceId> Instances);
  void setDataCentres(
      const std::map<DataCentreId, std::vector<InstanceId>> &Instances) {
    m_Swarm.setDataCentres(Instances);
  }
  void setPreference(Preference Value) { m_Swarm.setPreference(Value); }
  void setPeers(std::vector<PeerAddress> Peers);
  /// Sets the callback that requests more peers.
  void onAskForPeers(Callback Call) { m_AskForPeers = std::move(Call); }
  /// Sets the callback that runs after an attempt to stage a chunk.
  void onChunkStaged(Callback Call) { m_OnChunkStaged = std::move(Call); }

  /// Serves a connection that the peer opened and whose hello was read.
  asio::awaitable<void> accept(std::shared_ptr<BulkConnection> Connection,
                               wire::BulkHello Hello);

  const Manifest &manifest() const { return m_Manifest; }
  const Swarm &swarm() const { return m_Swarm; }
  CopyState state() const;
  /// True if the origin served content other than the manifest describes.
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
  asio::awaitable<void> handshake(PeerAddress To);
  /// Serves the peer until the connection ends. Hello is the peer's, SentHello
  /// the one that was sent to it.
  asio::awaitable<void> serve(std::shared_ptr<BulkConnection> Connection,
                              wire::BulkHello Hello, wire::BulkHello SentHello);
  void sendMissedUpdates(const wire::BulkHello &SentHello, BulkConnection &To);
  asio::awaitable<bool> receive(PeerNumber Number, net::BulkMessage Message);
  asio::awaitable<bool> receivePiece(PeerNumber Number,
                                     net::BulkMessage Message);
  void receiveChunk(PeerNumber Number, std::uint32_t Chunk, std::string Bytes);
  asio::awaitable<void> sendChunk(PeerNumber Number, std::uint32_t Chunk);
  asio::awaitable<void> readOrigin(std::uint32_t Chunk);
  asio::awaitable<void> stage(std::uint32_t Chunk, std::string Bytes);
  asio::awaitable<void> recoverChunk(WeightsId From, std::uint32_t Index,
                                     std::uint32_t Chunk);
  Swarm::OriginOutcome
  classifyOriginRead(std::uint32_t Chunk,
                     const Outcome<net::OriginChunk> &Read);
  asio::awaitable<Outcome<net::OriginChunk>> readOnce(net::Origin &From,
                                                      std::uint32_t Chunk);
  bool matches(std::uint32_t Chunk, const std::string &Bytes) const;
  void connectMore();
  bool isConnected(const InstanceId &Id) const;
  void noteIncarnation(const wire::BulkHello &Hello);
  wire::BulkHello hello() const;
  bool isCompatible(const wire::BulkHello &Hello) const;

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
  /// Incarnations of peers, as last seen.
  std::map<InstanceId, std::uint64_t> m_Incarnations;
  std::vector<PeerAddress> m_KnownPeers;
  std::set<InstanceId> m_Connecting;
  std::map<InstanceId, TimePoint> m_RetryAt;
  PeerNumber m_NextPeer = 1;
  std::uint32_t m_UnansweredReads = 0; ///< of staging, consecutive
  Callback m_AskForPeers;
  Callback m_OnChunkStaged;
  bool m_OriginChanged = false;
  bool m_Stopped = false;
};

/// Limits the chunks that a copy has in memory to the configured size.
SwarmOptions swarmOptionsFor(const WeightsSettings &Settings,
                             std::uint32_t ChunkBytes);

} // namespace deckpitch::daemon
