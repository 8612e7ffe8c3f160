// Follows the platform's declared objects by a watch, confirmed by lists.
#pragma once

#include "daemon/declarations-exchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <random>

namespace deckpitch::daemon {

/// Lists and watches the platform's objects on the control loop of an entry. It
/// lists once at the start, and periodically while Process::m_FollowsPlatform
/// is set. An event of the watch is applied at once and confirmed by lists soon
/// after, since events may be dropped or out of order; the periodic lists find
/// changes for which no event arrived.
class PlatformFollower {
public:
  PlatformFollower(Process &In, DeclarationExchange &Exchange);

  void start();
  void stop();
  /// Must be called when Process::m_FollowsPlatform has changed.
  void wake();
  boost::json::object dump() const;

private:
  boost::asio::awaitable<void> listLoop();
  boost::asio::awaitable<void> watchLoop();
  boost::asio::awaitable<bool> listAll();
  boost::asio::awaitable<void> pause(boost::asio::steady_timer &Timer,
                                     Duration Delay);
  bool onEvent(const net::PlatformEvent &Event);

  Process &m_Process;
  DeclarationExchange &m_Exchange;
  boost::asio::steady_timer m_ListTimer;
  boost::asio::steady_timer m_WatchTimer;
  std::mt19937_64 m_Random;
  TimePoint m_ConfirmAt = TimePoint::max(); ///< when lists are due early
  std::uint64_t m_Lists = 0;
  std::uint64_t m_Watches = 0;
  std::uint64_t m_Events = 0;
  unsigned m_Failures = 0;
  bool m_Stopping = false;
};

} // namespace deckpitch::daemon
