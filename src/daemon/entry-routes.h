// The entry's route table and what it counts for each upstream.
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

/// An agent's clock as it was told last.
struct TicketSeen {
  Incarnation m_Incarnation;
  std::uint64_t m_Ticket = 0;
  TimePoint m_At;
};

/// One upstream as this entry sees it; outlives route tables.
class UpstreamCounters {
public:
  /// An attempt got its first byte after that long.
  void answered(Duration Latency);
  void failed(const InstanceId &Of);
  double limit() const { return m_Limit.load(std::memory_order_relaxed); }
  bool ejected(TimePoint Now) const {
    return Now.time_since_epoch().count() <
           m_EjectedUntil.load(std::memory_order_relaxed);
  }

  SnapshotCell<TicketSeen> m_Ticket;
  std::atomic<std::uint32_t> m_InFlight{0};
  /// Of m_InFlight, when the load report in force came.
  std::atomic<std::uint32_t> m_InFlightAtReport{0};

private:
  std::mutex m_Mutex; ///< held to learn from one attempt only
  ConcurrencyLimit m_Learned;
  Ejection m_Ejection;
  std::atomic<double> m_Limit{ConcurrencyLimit().limit()};
  std::atomic<Duration::rep> m_EjectedUntil{0};
};

/// Counts one attempt in flight for as long as it lives.
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

/// What requests read: never changed once published.
struct EntryRoutes {
  RouteTable m_Table;
  std::map<InstanceId, std::shared_ptr<UpstreamCounters>> m_Counters;
};

/// Rebuilds the routes when declarations or membership changed, at most once
/// in RefreshPeriod, on the control loop.
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

/// How many requests the pool's upstreams take at once from this entry: what
/// it learned of each, but not less than its share of what the instance says,
/// since first bytes that differ by nature look like load.
double capacityOf(const EntryRoutes &Routes, const PoolRoute &Pool);

/// What an instance was taken for when its agent refused an attempt.
struct RefusedBinding {
  InstanceId m_Instance;
  Incarnation m_Incarnation;
  WeightsId m_Weights;
  Digest m_Digest;

  friend bool operator==(const RefusedBinding &,
                         const RefusedBinding &) = default;
};

/// What an attempt must or must not go to.
struct PickHints {
  std::set<InstanceId> m_Tried; ///< not again
  /// Not again until the routes say something else of that instance.
  std::vector<RefusedBinding> m_Refused;
  WeightsId m_Weights; ///< empty: any
  Digest m_Digest;     ///< with m_Weights
  std::uint64_t m_PrefixHash = 0;

  /// The agent of that upstream said that the attempt did not run.
  void noteRefusal(const UpstreamRoute &By);
};

/// The upstream for the next attempt; null when none can take it.
const UpstreamRoute *pickUpstream(const EntryRoutes &Routes,
                                  const PoolRoute &Pool,
                                  const DataCentreId &Home,
                                  const PickHints &Hints);

} // namespace deckpitch::daemon
