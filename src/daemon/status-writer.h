// Keeps the status objects at the platform up to date.
#pragma once

#include "daemon/lease-keeper.h"
#include "daemon/module.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>

namespace deckpitch::daemon {

/// Writes one aggregated status object per pool, and one with the members'
/// control addresses, by which entries find the other processes even after
/// every entry was replaced. Objects are written only when they change, and
/// only while this entry holds the lease. Runs on the control loop of each
/// entry.
class StatusWriter {
public:
  StatusWriter(Process &In, const LeaseKeeper &Lease);

  void start();
  void stop();
  boost::json::object dump() const;

private:
  struct Written {
    Revision m_KnownRevision;
    std::string m_Json;
    bool m_IsKnown = false; ///< whether the platform has this version
  };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> readMembers();
  boost::asio::awaitable<void> writeAll();
  boost::asio::awaitable<void> writeOne(std::string Name, std::string Json);

  Process &m_Process;
  const LeaseKeeper &m_Lease;
  boost::asio::steady_timer m_Timer;
  std::map<std::string, Written> m_Written;
  std::uint64_t m_Writes = 0;
  bool m_Stopping = false;
};

} // namespace deckpitch::daemon
