// Runs one lease of an entry against the platform.
#pragma once

#include "daemon/module.h"
#include "deckpitch/lease.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <string>

namespace deckpitch::daemon {

/// Keeps the object leases/<name>; lives on the control loop. Of all entries
/// only a few, the same few at each, read the object and stand ready, so the
/// calls do not grow with the fleet. How to use it for a job:
///
///   LeaseKeeper Keeper(Process, "assigner");
///   Keeper.start();                  // in Module::start()
///   if (!Keeper.held()) return;      // before each piece of work
///   const uint64_t Term = Keeper.term();
///   ... read the object that the job writes; when the term is new, write it
///   once unchanged (conditional update), so that what an earlier holder still
///   has in hand meets a conflict ...
///   if (Keeper.held()) co_await Platform.update(...);  // conditional, always
///   Keeper.stop();                   // in Module::stop()
///
/// beginDrain() gives the lease back, so that another takes over at once.
class LeaseKeeper {
public:
  LeaseKeeper(Process &In, std::string Name, LeaseLimits Limits = {});

  void start();
  void beginDrain();
  void stop();
  /// True while this process alone may do the job.
  bool held() const;
  /// Grows at each change of holder.
  std::uint64_t term() const { return m_Lease.term(); }
  boost::json::object dump() const;
  /// Called on the control loop when the lease is won or seen to be lost.
  std::function<void(bool Held)> m_OnChange;

private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write(Lease::Step Step);
  boost::asio::awaitable<void> waitUntil(TimePoint At);
  bool isCandidate() const;
  void noteChange();

  Process &m_Process;
  const std::string m_Name;
  Lease m_Lease;
  boost::asio::steady_timer m_Timer;
  bool m_WasHeld = false;
  bool m_Stopping = false;
};

} // namespace deckpitch::daemon
