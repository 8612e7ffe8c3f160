// Keeps the platform's status objects: aggregated, and written only on change.
#pragma once

#include "daemon/lease-keeper.h"
#include "daemon/module.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>

namespace deckpitch::daemon {

/// Runs on the control loop of each entry; writes while this entry holds the
/// lease. One object for each pool, and one with the members' control
/// addresses, by which a wholly replaced set of entries finds the others.
class StatusWriter {
public:
  StatusWriter(Process &In, const LeaseKeeper &Holder);

  void start();
  void stop();
  boost::json::object dump() const;

private:
  struct Written {
    Revision m_At;
    std::string m_Json;
    bool m_Known = false; ///< m_At is what the platform had last
  };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> readMembers();
  boost::asio::awaitable<void> writeAll();
  boost::asio::awaitable<void> writeOne(std::string Name, std::string Json);

  Process &m_Process;
  const LeaseKeeper &m_Holder;
  boost::asio::steady_timer m_Timer;
  std::map<std::string, Written> m_Written;
  std::uint64_t m_Writes = 0;
  bool m_Stopping = false;
};

} // namespace deckpitch::daemon
