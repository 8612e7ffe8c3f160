// Supplies one instance with the declared weights: copies them from peer agents
// and the origin, serves them to peers, and orders the instance to load them.
#pragma once

#include "daemon/weights-copy.h"
#include "deckpitch/declared-history.h"
#include "deckpitch/instance-table.h"
#include "deckpitch/weights-plan.h"
#include "direct/staging-cache.h"
#include "net/clients.h"
#include "net/engine.h"
#include "net/http.h"

#include <boost/asio.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::direct {

struct SupplyOptions {
  Settings m_Copy;             ///< settings of WeightsCopy
  std::string m_Listen;        ///< where peer agents connect, "ip:port"
  std::string m_PeerPort;      ///< port of peer agents, ":port"
  std::string m_Service;       ///< service whose instances are peers
  Duration m_Bound{};          ///< longest time from declared to served
  Incarnation m_Incarnation{}; ///< of this process
  std::shared_ptr<net::Clients> m_Clients;
};

/// Runs on a single event loop. A complete version is still served to peers for
/// a while after a newer one is declared, so that slower peers can finish it.
class WeightsSupply {
public:
  struct Callbacks {
    /// Refreshes the list of instances; false when that fails.
    std::function<boost::asio::awaitable<bool>()> m_ListInstances;
    /// Called just before a load order is sent: the instance accepts no new
    /// requests from then on.
    std::function<void()> m_OnOrder;
  };

  WeightsSupply(boost::asio::io_context &Io, net::HttpClient &Http,
                net::Engine &Engine, SupplyOptions Options, Callbacks Calls);

  /// No effect after a first success. Errors: InvalidInput; Unavailable if
  /// another call may succeed.
  Result<void> start();
  void stop();

  void setSource(const WeightsSource &Source);
  bool hasSource() const { return !m_Source.m_Model.empty(); }
  void setPool(std::vector<FleetInstance> Pool);
  void onDeclared(const DatedWeights &Dated);
  /// Time until the instance is to load weights that are ready; nothing unless
  /// it still serves older ones.
  std::optional<Duration> timeUntilSwap(const InstanceReport &Report,
                                        TimePoint Now) const;

  /// Performs the steps that are due, given the instance's latest report.
  boost::asio::awaitable<void> step(const InstanceReport &Report);
  /// Whether a load order was sent that the instance's report does not show
  /// yet: it accepts no new requests meanwhile.
  bool isLoadPending() const { return m_IsLoadPending; }
  /// Version of the pending load order; 0 without one.
  std::uint64_t pendingVersion() const {
    return m_IsLoadPending ? m_PendingVersion : 0;
  }
  bool isCopying() const;
  /// What is still missing before the instance serves the declared weights, for
  /// log lines.
  const char *missingStep() const;
  /// Whether chunks do not queue on the link to this instance, nor requests
  /// behind them.
  bool hasSoundLink() const { return m_HasSoundLink; }
  boost::json::object dump() const;

private:
  /// A copy and its progress.
  struct Copy {
    DeclaredWeights m_Weights;
    std::shared_ptr<daemon::WeightsCopy> m_Copy;
    std::optional<TimePoint> m_CompleteAt;
    std::uint32_t m_Held = 0;    ///< chunks held at the last check
    TimePoint m_ProgressAt{};    ///< when a chunk last arrived
    TimePoint m_StallLoggedAt{}; ///< when a stall was last logged
  };

  boost::asio::awaitable<void> acceptPeers();
  boost::asio::awaitable<void>
  acceptHello(std::shared_ptr<daemon::BulkConnection> Connection,
              net::ClientSession Session);
  std::optional<net::ClientSession>
  admit(const std::shared_ptr<daemon::BulkConnection> &Connection);
  boost::asio::awaitable<void> startCopy();
  boost::asio::awaitable<void> orderLoad(const Copy &C);
  bool mayStartCopy() const;
  void observe(Copy &C);
  void logStall(Copy &C);
  void observeLink(const Swarm &S);
  void retirePrevious();
  void updateCopyPeers();
  const Copy *newestComplete() const;
  WeightsState stateFor(const Copy &C, const InstanceReport &Report) const;
  std::size_t ownRank() const;

  boost::asio::io_context &m_Io;
  net::HttpClient &m_Http;
  net::Engine &m_Engine;
  SupplyOptions m_Options;
  Callbacks m_Calls;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  daemon::TransferContext m_Transfer;
  StagingCache *m_Staging = nullptr; ///< owned by m_Transfer

  WeightsSource m_Source;
  std::vector<DatedWeights>
      m_PendingDeclarations; ///< received before the source
  std::vector<std::unique_ptr<net::Origin>> m_RetiredOrigins;
  DeclaredWeights m_Wanted;
  DeclaredHistory m_Declared;
  Copy m_Current;
  Copy m_Previous; ///< complete copy of an older version
  std::vector<FleetInstance> m_Pool;
  bool m_HasSoundLink = false;
  bool m_IsLoadPending = false;
  TimePoint m_LoadOrderedAt{};
  std::uint64_t m_PendingVersion = 0;
  bool m_Stopped = false;
};

} // namespace deckpitch::direct
