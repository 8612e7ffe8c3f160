// Priority queue of the engine stand-in: bounds the number of running requests
// and orders the waiting ones.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace deckpitch::standins {

/// State of one request from its arrival to its completion.
struct EngineRequest {
  explicit EngineRequest(const boost::asio::any_io_executor &Executor)
      : m_Timer(Executor) {}

  /// Stops the request and cancels any wait on its timer.
  void stop() {
    m_Stopped = true;
    m_Timer.cancel();
  }

  std::string m_Id;
  std::uint32_t m_Priority = 0; ///< 0 is the most urgent
  boost::asio::steady_timer m_Timer;
  bool m_Admitted = false;
  bool m_Stopped = false;
  std::string m_Weights; ///< set when the request starts to run
  std::string m_Digest;
};

using EngineRequestPtr = std::shared_ptr<EngineRequest>;

/// Admits requests while fewer than the limit are running.
class EngineQueue {
public:
  explicit EngineQueue(std::uint32_t Limit) : m_Limit(Limit) {}

  /// Waits until the request may run. Returns false if it was stopped while it
  /// waited; after true, call releaseSlot().
  boost::asio::awaitable<bool> acquireSlot(EngineRequestPtr Request);
  void releaseSlot();

  std::uint32_t running() const { return m_Running; }
  std::size_t waiting() const { return m_Waiting.size(); }
  std::uint32_t limit() const { return m_Limit; }

private:
  std::uint32_t m_Limit;
  std::uint32_t m_Running = 0;
  std::uint64_t m_NextSequence = 0;
  /// Keyed by priority, then by order of arrival.
  std::map<std::pair<std::uint32_t, std::uint64_t>, EngineRequestPtr> m_Waiting;
};

} // namespace deckpitch::standins
