#include "daemon/pool-gate.h"
#include "daemon/call-headers.h"

#include <boost/asio.hpp>

namespace deckpitch::daemon {

namespace asio = boost::asio;

asio::awaitable<AdmissionDecision> PoolGate::enter(const EntryRoutes &Routes,
                                                   const PoolRoute &Pool,
                                                   const CallTerms &Terms,
                                                   TimePoint Deadline) {
  auto Self = std::make_shared<Waiter>(co_await asio::this_coro::executor);
  AdmissionId Id = 0;
  bool MustWait = false;
  {
    std::lock_guard Lock(m_Mutex);
    Id = m_Next++;
    m_Waiters.emplace(Id, Self);
    m_Queue.setLimit(Pool.m_Pool.m_QueueLimit);
    const auto Share =
        Routes.m_Table.m_Organisations.find(Terms.m_Organisation);
    if (Share != Routes.m_Table.m_Organisations.end())
      m_Queue.setShare(Terms.m_Organisation, Share->second.m_Share,
                       Share->second.m_MaxInFlight);
    AdmissionRequest Request{Id, Terms.m_Organisation, Terms.m_Priority,
                             Deadline};
    m_Queue.arrive(std::move(Request), capacityOf(Routes, Pool), now());
    deliver();
    MustWait = !Self->m_Decision;
  }
  if (MustWait) {
    Self->m_Timer.expires_after(Deadline - now());
    co_await Self->m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return decisionOf(Id, *Self, Terms);
}

/// Returns the decision, or a refusal if the deadline passed first.
AdmissionDecision PoolGate::decisionOf(AdmissionId Id, Waiter &Self,
                                       const CallTerms &Terms) {
  std::lock_guard Lock(m_Mutex);
  m_Waiters.erase(Id);
  if (Self.m_Decision)
    return *Self.m_Decision;
  m_Queue.abandon(Id);
  return {Id, false, m_Queue.expectedWait(Terms.m_Priority)};
}

void PoolGate::leave(const OrganisationId &Organisation, double Capacity) {
  std::lock_guard Lock(m_Mutex);
  m_Queue.leave(Organisation, Capacity, now());
  deliver();
}

std::size_t PoolGate::waiting() {
  std::lock_guard Lock(m_Mutex);
  return m_Queue.waiting();
}

Duration PoolGate::expectedWait(Priority Level) {
  std::lock_guard Lock(m_Mutex);
  return m_Queue.expectedWait(Level);
}

/// Wakes the requests that the queue has decided on, each on its own loop.
void PoolGate::deliver() {
  for (const AdmissionDecision &Each : m_Queue.takeDecisions()) {
    const auto Found = m_Waiters.find(Each.m_Id);
    if (Found == m_Waiters.end())
      continue;
    std::shared_ptr<Waiter> Woken = std::move(Found->second);
    m_Waiters.erase(Found);
    Woken->m_Decision = Each;
    auto Loop = Woken->m_Timer.get_executor();
    asio::post(Loop, [Woken] { Woken->m_Timer.cancel(); });
  }
}

/// Takes the capacity from the current routes, since those at the time of
/// admission may be stale.
Admission::~Admission() {
  const auto Routes = m_Routes.routes();
  const auto Pool = Routes->m_Table.m_Pools.find(m_Pool);
  const bool Known = Pool != Routes->m_Table.m_Pools.end();
  m_Gate->leave(m_Organisation, Known ? capacityOf(*Routes, Pool->second) : 0);
}

std::shared_ptr<PoolGate> PoolGates::gateFor(const PoolId &Pool) {
  std::lock_guard Lock(m_Mutex);
  auto &Gate = m_Gates[Pool];
  if (!Gate)
    Gate = std::make_shared<PoolGate>();
  return Gate;
}

} // namespace deckpitch::daemon
