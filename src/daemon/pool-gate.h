// The entry's queues, one for each pool.
#pragma once

#include "daemon/entry-routes.h"
#include "deckpitch/admission.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>

namespace deckpitch::daemon {

/// One pool's queue, fed from all workers. Its lock is held for one decision
/// at a time, by requests of the same pool only.
class PoolGate {
public:
  /// Waits for the request's turn, on the caller's loop. After an admission
  /// comes leave().
  boost::asio::awaitable<AdmissionDecision> enter(const EntryRoutes &Routes,
                                                  const PoolRoute &Pool,
                                                  const CallTerms &Terms,
                                                  TimePoint Deadline);
  void leave(const OrganisationId &Organisation, double Capacity);
  std::size_t waiting();
  /// How long a request that comes now would wait.
  Duration expectedWait(Priority Of);

private:
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor &Loop) : m_Timer(Loop) {}
    boost::asio::steady_timer m_Timer;
    std::optional<AdmissionDecision> m_Decision; ///< under the gate's lock
  };

  void deliver();
  AdmissionDecision decisionOf(AdmissionId Id, Waiter &Self,
                               const CallTerms &Terms);

  std::mutex m_Mutex;
  AdmissionQueue m_Queue;
  std::map<AdmissionId, std::shared_ptr<Waiter>> m_Waiters;
  AdmissionId m_Next = 1;
};

/// The gates by pool; they outlive declarations.
class PoolGates {
public:
  std::shared_ptr<PoolGate> of(const PoolId &Pool);

private:
  std::mutex m_Mutex; ///< held for one look-up only
  std::map<PoolId, std::shared_ptr<PoolGate>> m_Gates;
};

/// A place among the requests that run; given back at the end of its scope.
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
