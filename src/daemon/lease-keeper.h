// Acquires and renews a lease of an entry on the platform.
#pragma once

#include "daemon/module.h"
#include "deckpitch/lease.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <string>

namespace deckpitch::daemon {

/// Acquires and renews the lease stored as the object leases/<name>. Runs on
/// the control loop. All entries agree on a few candidates, and only these read
/// the object, so that the number of calls does not grow with the fleet. Usage:
///
///   LeaseKeeper Keeper(Process, "assigner");
///   Keeper.start();                  // in Module::start()
///   if (!Keeper.held()) return;      // before each piece of work
///   const uint64_t Term = Keeper.term();
///   ... read the object that the job writes; in a new term, write it once
///   unchanged (conditional update), so that a write still in progress at an
///   earlier holder fails with a conflict ...
///   if (Keeper.held()) co_await Platform.update(...);  // conditional, always
///   Keeper.stop();                   // in Module::stop()
///
/// beginDrain() releases the lease, so that another entry takes over at once.
class LeaseKeeper {
public:
  LeaseKeeper(Process &In, std::string Name, LeaseLimits Limits = {});

  void start();
  void beginDrain();
  void stop();
  /// True while this process, and no other, may do the job.
  bool held() const;
  /// Increases with each change of holder.
  std::uint64_t term() const { return m_Lease.term(); }
  boost::json::object dump() const;
  /// Called on the control loop when the lease is acquired or found to be lost.
  std::function<void(bool Held)> m_OnChange;

private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> read();
  boost::asio::awaitable<void> write(Lease::Step Step);
  boost::asio::awaitable<void> waitUntil(TimePoint At);
  bool isCandidate() const;
  void reportChange();

  Process &m_Process;
  const std::string m_Name;
  Lease m_Lease;
  boost::asio::steady_timer m_Timer;
  bool m_WasHeld = false;
  bool m_Stopping = false;
};

} // namespace deckpitch::daemon
