// The route table of an entry and its counters for each upstream.
#pragma once

#include "daemon/module.h"
#include "deckpitch/admission.h"
#include "deckpitch/routing.h"
#include "deckpitch/snapshot.h"
#include "deckpitch/time.h"
#include "deckpitch/upstream-choice.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace deckpitch::daemon {

/// The last ticket received from an agent: its clock, which dates claims.
struct CachedTicket {
  Incarnation m_Incarnation;
  std::uint64_t m_Ticket = 0;
  TimePoint m_At;
};

/// Requests, learned limit and ejection of one upstream, as observed by this
/// entry; kept across route tables.
class UpstreamCounters {
public:
  /// Records an attempt whose first byte arrived after Latency.
  void answered(Duration Latency);
  void failed(const InstanceId &Instance);
  double limit() const { return m_Limit.load(std::memory_order_relaxed); }
  bool ejected(TimePoint Now) const {
    return Now.time_since_epoch().count() <
           m_EjectedUntil.load(std::memory_order_relaxed);
  }

  SnapshotCell<CachedTicket> m_Ticket;
  std::atomic<std::uint32_t> m_InFlight{0};
  /// The value of m_InFlight when the current load report arrived.
  std::atomic<std::uint32_t> m_InFlightAtReport{0};

private:
  std::mutex m_Mutex; ///< held only while recording one attempt
  ConcurrencyLimit m_LearnedLimit;
  Ejection m_Ejection;
  std::atomic<double> m_Limit{ConcurrencyLimit().limit()};
  std::atomic<Duration::rep> m_EjectedUntil{0};
};

/// Counts one attempt as in flight during its lifetime.
class InFlightGuard {
public:
  explicit InFlightGuard(std::shared_ptr<UpstreamCounters> Counted)
      : m_Counted(std::move(Counted)) {
    m_Counted->m_InFlight.fetch_add(1, std::memory_order_relaxed);
  }
  ~InFlightGuard() {
    m_Counted->m_InFlight.fetch_sub(1, std::memory_order_relaxed);
  }
  InFlightGuard(const InFlightGuard &) = delete;
  InFlightGuard &operator=(const InFlightGuard &) = delete;

private:
  std::shared_ptr<UpstreamCounters> m_Counted;
};

/// The routes that requests use; immutable once published.
struct EntryRoutes {
  RouteTable m_Table;
  std::map<InstanceId, std::shared_ptr<UpstreamCounters>> m_Counters;
};

/// Rebuilds the routes after a change of declarations or membership, at most
/// once per RefreshInterval, on the control loop.
class RouteSource {
public:
  explicit RouteSource(Process &In);

  void start();
  void stop();
  std::shared_ptr<const EntryRoutes> routes() const { return m_Routes.load(); }

private:
  void poll();
  void rebuild();

  Process &m_Process;
  boost::asio::steady_timer m_Timer;
  std::uint64_t m_DeclarationsSeen = 0;
  std::uint64_t m_MembershipSeen = 0;
  SnapshotCell<EntryRoutes> m_Routes;
};

/// Returns how many concurrent requests the pool's upstreams take from this
/// entry. For each instance this is the learned limit, but at least the
/// entry's share of the limit that the instance reports: latencies of the first
/// byte that vary with the requests would otherwise be mistaken for load.
double capacityOf(const EntryRoutes &Routes, const PoolRoute &Pool);

/// The incarnation and weights that the routes gave for an instance when its
/// agent refused an attempt.
struct RefusedBinding {
  InstanceId m_Instance;
  Incarnation m_Incarnation;
  WeightsId m_Weights;
  Digest m_Digest;

  friend bool operator==(const RefusedBinding &,
                         const RefusedBinding &) = default;
};

/// Constraints on the upstream of the next attempt.
struct PickHints {
  std::set<InstanceId> m_Tried; ///< excluded
  /// Excluded until the routes give another incarnation or other weights for
  /// the instance.
  std::vector<RefusedBinding> m_Refused;
  WeightsId m_Weights; ///< required weights; any if empty
  Digest m_Digest;     ///< of m_Weights
  std::uint64_t m_PrefixHash = 0;

  /// Records that the agent of an upstream refused the attempt, so that it did
  /// not run. The instance is excluded only as routed now.
  void noteRefusal(const UpstreamRoute &By);
};

/// Returns the upstream for the next attempt, or null if none can take it.
const UpstreamRoute *pickUpstream(const EntryRoutes &Routes,
                                  const PoolRoute &Pool,
                                  const DataCentreId &Home,
                                  const PickHints &Hints);

} // namespace deckpitch::daemon
