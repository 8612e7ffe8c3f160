#include "standins/engine-queue.h"

#include <boost/asio.hpp>

namespace deckpitch::standins {

namespace asio = boost::asio;

asio::awaitable<bool> EngineQueue::acquireSlot(EngineRequestPtr Request) {
  if (m_Running < m_Limit) {
    ++m_Running;
    co_return true;
  }
  const std::pair QueueKey(Request->m_Priority, m_NextSequence++);
  m_Waiting.emplace(QueueKey, Request);
  while (!Request->m_Admitted && !Request->m_Stopped) {
    Request->m_Timer.expires_at(asio::steady_timer::time_point::max());
    co_await Request->m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  m_Waiting.erase(QueueKey);
  co_return Request->m_Admitted;
}

void EngineQueue::releaseSlot() {
  if (m_Waiting.empty()) {
    --m_Running;
    return;
  }
  const auto First = m_Waiting.begin();
  First->second->m_Admitted = true;
  First->second->m_Timer.cancel();
  m_Waiting.erase(First);
}

} // namespace deckpitch::standins
