// Admission of requests to pools: one queue per pool in each entry.
#pragma once

#include "daemon/entry-routes.h"
#include "deckpitch/admission.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace deckpitch::daemon {

/// The admission queue of one pool, used from all worker threads. Its lock is
/// held for one decision at a time, so only requests of the same pool contend
/// for it.
class PoolGate {
public:
  /// Waits on the caller's loop until the request is admitted or refused. Each
  /// admission must be followed by leave().
  boost::asio::awaitable<AdmissionDecision> enter(const EntryRoutes &Routes,
                                                  const PoolRoute &Pool,
                                                  const CallTerms &Terms,
                                                  TimePoint Deadline);
  void leave(const OrganisationId &Organisation, double Capacity);
  std::size_t waiting();
  /// Returns how long a request that arrives now would wait.
  Duration expectedWait(Priority Level);

private:
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor &Loop) : m_Timer(Loop) {}
    boost::asio::steady_timer m_Timer;
    std::optional<AdmissionDecision> m_Decision; ///< guarded by m_Mutex
  };

  void deliver();
  AdmissionDecision decisionOf(AdmissionId Id, Waiter &Self,
                               const CallTerms &Terms);

  std::mutex m_Mutex;
  AdmissionQueue m_Queue;
  std::map<AdmissionId, std::shared_ptr<Waiter>> m_Waiters;
  AdmissionId m_Next = 1;
};

/// The gates of all pools; kept when the declaration of a pool is removed.
class PoolGates {
public:
  std::shared_ptr<PoolGate> gateFor(const PoolId &Pool);

private:
  std::mutex m_Mutex; ///< held for one lookup only
  std::map<PoolId, std::shared_ptr<PoolGate>> m_Gates;
};

/// Holds one admission to a pool and releases it at the end of its lifetime.
class Admission {
public:
  Admission(std::shared_ptr<PoolGate> Gate, OrganisationId Organisation,
            const RouteSource &Routes, PoolId Pool)
      : m_Gate(std::move(Gate)), m_Organisation(std::move(Organisation)),
        m_Routes(Routes), m_Pool(std::move(Pool)) {}
  ~Admission();
  Admission(const Admission &) = delete;
  Admission &operator=(const Admission &) = delete;

private:
  std::shared_ptr<PoolGate> m_Gate;
  OrganisationId m_Organisation;
  const RouteSource &m_Routes;
  PoolId m_Pool;
};

} // namespace deckpitch::daemon
