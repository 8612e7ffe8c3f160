// Requests of an engine stand-in: those that run, and those that wait in the
// order of their priority.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace deckpitch::standins {

/// One request from its arrival to its end.
struct EngineRequest {
  explicit EngineRequest(const boost::asio::any_io_executor &Executor)
      : m_Timer(Executor) {}

  /// Ends the request wherever it waits.
  void stop() {
    m_Stopped = true;
    m_Timer.cancel();
  }

  std::string m_Id;
  std::uint32_t m_Priority = 0; ///< 0 first
  boost::asio::steady_timer m_Timer;
  bool m_Admitted = false;
  bool m_Stopped = false;
  std::string m_Weights; ///< bound when it starts to run
  std::string m_Digest;
};

using EngineRequestPtr = std::shared_ptr<EngineRequest>;

class EngineQueue {
public:
  explicit EngineQueue(std::uint32_t Limit) : m_Limit(Limit) {}

  /// Waits for its turn; false when the request was stopped before it. After
  /// true comes leave().
  boost::asio::awaitable<bool> enter(EngineRequestPtr Request);
  void leave();

  std::uint32_t running() const { return m_Running; }
  std::size_t waiting() const { return m_Waiting.size(); }
  std::uint32_t limit() const { return m_Limit; }

private:
  std::uint32_t m_Limit;
  std::uint32_t m_Running = 0;
  std::uint64_t m_NextTurn = 0;
  /// By priority, then by arrival.
  std::map<std::pair<std::uint32_t, std::uint64_t>, EngineRequestPtr> m_Waiting;
};

} // namespace deckpitch::standins
