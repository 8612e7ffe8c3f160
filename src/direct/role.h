// The role of a process, entry or agent, in a fleet whose entries call the
// instances directly.
#pragma once

#include "deckpitch/direct-settings.h"
#include "net/clients.h"
#include "net/http.h"
#include "net/io-threads.h"

#include <boost/json/object.hpp>

#include <functional>
#include <memory>

namespace deckpitch::direct {

/// What the process does. Runs on the control loop only.
class DirectRole {
public:
  DirectRole() = default;
  virtual ~DirectRole() = default;
  DirectRole(const DirectRole &) = delete;
  DirectRole &operator=(const DirectRole &) = delete;

  /// Opens the role's ports and begins its work. Errors: InvalidInput;
  /// Unavailable if a port cannot be opened yet: call it again, which opens the
  /// ports that are still missing.
  virtual Result<void> start() = 0;
  /// Applies the settings that can change at runtime.
  virtual void apply(const DirectSettings &Settings) = 0;
  /// Accepts no new requests and calls OnDone when all accepted ones have
  /// ended.
  virtual void drain(std::function<void()> OnDone) = 0;
  virtual void stop() = 0;
  virtual boost::json::object dump() const = 0;
};

/// What both roles share.
struct DirectContext {
  net::IoThreads &m_Threads;
  DirectSettings m_Settings;
  std::uint64_t m_Incarnation;
  /// Of all listeners of the process; made from the settings at the first use.
  std::shared_ptr<net::Clients> m_Clients = nullptr;

  const std::shared_ptr<net::Clients> &clients() {
    if (!m_Clients)
      m_Clients =
          std::make_shared<net::Clients>(clientLimits(m_Settings.m_Limits));
    return m_Clients;
  }
};

std::unique_ptr<DirectRole> makeEntry(DirectContext &Context);
std::unique_ptr<DirectRole> makeAgent(DirectContext &Context);

/// Runs the process until a stop signal; returns the exit code.
int runDirect(DirectSettings Settings, const std::string &SettingsPath);

} // namespace deckpitch::direct
