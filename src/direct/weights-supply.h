// Brings the declared weights to one instance: copies them from other agents
// and the origin, passes them on, and orders the instance to load them.
#pragma once

#include "daemon/weights-copy.h"
#include "deckpitch/declared-history.h"
#include "deckpitch/instance-table.h"
#include "deckpitch/weights-plan.h"
#include "direct/staging-cache.h"
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
  Settings m_Copy;             ///< as the copying takes them
  std::string m_Listen;        ///< for other agents, "ip:port"
  std::string m_PeerPort;      ///< of other agents, ":port"
  std::string m_Service;       ///< whose instances are peers
  Duration m_Bound{};          ///< declared to served
  Incarnation m_Incarnation{}; ///< of this process
};

/// All on one loop. A version that is complete is passed on for a while after
/// a newer one is declared, so that those that are behind can finish it.
class WeightsSupply {
public:
  struct Callbacks {
    /// Reads the list of instances anew; false when that is not possible.
    std::function<boost::asio::awaitable<bool>()> m_ListInstances;
    /// An order is about to be sent: the instance takes nothing new from now.
    std::function<void()> m_OnOrder;
  };

  WeightsSupply(boost::asio::io_context &Io, net::HttpClient &Http,
                net::Engine &Engine, SupplyOptions Options, Callbacks Calls);

  /// Errors: InvalidInput, Unavailable.
  Result<void> start();
  void stop();

  void setSource(const WeightsSource &Source);
  bool hasSource() const { return !m_Source.m_Model.empty(); }
  void setPool(std::vector<FleetInstance> Pool);
  void want(const HeardWeights &Heard);
  /// Until the instance is to load weights that are ready, if it still serves
  /// older ones.
  std::optional<Duration> swapIn(const InstanceReport &Report,
                                 TimePoint Now) const;

  /// Does what is due, given what the instance said last.
  boost::asio::awaitable<void> step(const InstanceReport &Report);
  /// An order was sent and does not show yet: the instance takes nothing new.
  bool isOrdered() const { return m_IsOrdered; }
  /// The version of that order; 0 without one.
  std::uint64_t orderedVersion() const {
    return m_IsOrdered ? m_OrderedVersion : 0;
  }
  bool isCopying() const;
  /// Chunks do not queue on the way to this machine, nor requests behind them.
  bool hasSoundLink() const { return m_HasSoundLink; }
  boost::json::object dump() const;

private:
  /// A copy, and when it became complete.
  struct Copy {
    DeclaredWeights m_Weights;
    std::shared_ptr<daemon::WeightsCopy> m_Copy;
    std::optional<TimePoint> m_CompleteAt;
    std::uint32_t m_Held = 0; ///< chunks when it was last looked at
    TimePoint m_GainedAt{};   ///< when they last became more
    TimePoint m_ToldAt{};     ///< when its log last told what it waits for
  };

  Result<void> listen();
  boost::asio::awaitable<void> acceptPeers();
  boost::asio::awaitable<void>
  greet(std::shared_ptr<daemon::BulkConnection> Connection);
  boost::asio::awaitable<void> startCopy();
  boost::asio::awaitable<void> order(const Copy &Of);
  bool mayStartCopy() const;
  void observe(Copy &Of);
  void tellWait(Copy &Of);
  void observeLink(const Swarm &Of);
  void retireFormer();
  void tellCopyOfPeers();
  const Copy *newestComplete() const;
  WeightsState stateFor(const Copy &Of, const InstanceReport &Report) const;
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
  std::vector<HeardWeights> m_Early; ///< told before the source
  std::vector<std::unique_ptr<net::Origin>> m_FormerOrigins;
  DeclaredWeights m_Wanted;
  DeclaredHistory m_Declared;
  Copy m_Current;
  Copy m_Former; ///< complete, of an older version
  std::vector<FleetInstance> m_Pool;
  bool m_HasSoundLink = false;
  bool m_IsOrdered = false;
  TimePoint m_OrderedAt{};
  std::uint64_t m_OrderedVersion = 0;
  bool m_Stopped = false;
};

} // namespace deckpitch::direct
