// The module framework of the daemon: each module registers itself for a role.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/membership.h"
#include "deckpitch/settings.h"
#include "deckpitch/snapshot.h"
#include "net/adapters.h"
#include "net/control-bus.h"
#include "net/http.h"
#include "net/io-threads.h"
#include "net/platform.h"

#include <boost/json/object.hpp>

#include <atomic>
#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace deckpitch::daemon {

/// Whether a client of the request port that closes its sending side is gone.
/// Only entries call agents, and they never close one side alone. Without this
/// an agent would see that an entry gave a stream up only at its next write,
/// and an engine that sends only comments causes none.
constexpr bool halfCloseIsDisconnect(Role Server) {
  return Server == Role::Agent;
}

/// State that the modules of one process share. Each snapshot is written by one
/// module, named in its comment, and may be read by all.
struct Process {
  Process(Settings Value, Incarnation Life, net::IoThreads &Threads)
      : m_Settings(std::move(Value)), m_Incarnation(Life), m_Threads(Threads) {}

  const Settings m_Settings;
  const Incarnation m_Incarnation;
  net::IoThreads &m_Threads;
  net::HttpClient m_Http;
  /// Makes a platform client. Entries only. Modules that count their own calls
  /// make one of their own. Never null: settings with an unknown scheme are
  /// rejected at start-up.
  std::unique_ptr<net::Platform> makePlatform() {
    return net::Adapters<net::Platform>::make(m_Http, m_Settings.m_Platform);
  }
  const std::unique_ptr<net::Platform> m_OwnPlatform = makePlatform();
  net::Platform &m_Platform = *m_OwnPlatform;
  /// Returns the upstream's address without the scheme: requests go over
  /// HTTP, whichever adapter the scheme names.
  std::string requestAddress() const {
    return net::parsePortAddress(m_Settings.m_Upstream.m_Address).m_Location;
  }
  Addresses m_Addresses; ///< bound addresses; set before any start()
  net::ControlBus *m_Bus = nullptr;

  SnapshotCell<DeclarationSet> m_Declarations; ///< by the declarations module
  /// Digest of the local replica of the declarations; by the declarations
  /// module.
  std::atomic<std::uint64_t> m_DeclarationsDigest{0};
  /// Entries: whether this one follows the platform on behalf of all; by the
  /// declarations module.
  std::atomic<bool> m_FollowsPlatform{false};
  /// Entries: control addresses last stored at the platform; by the
  /// declarations module.
  SnapshotCell<std::vector<std::string>> m_RememberedAddresses;
  SnapshotCell<MembershipView> m_Membership; ///< by the membership module
  SnapshotCell<ServingReport> m_Serving;     ///< agents: by the weights module
  std::atomic<std::uint32_t> m_InFlight{0};  ///< agents: by the requests module
  std::atomic<std::uint32_t> m_Waiting{0};   ///< agents: by the requests module
  std::atomic<bool> m_Leaving{false}; ///< set once, when the drain begins
  /// Starts the graceful shutdown, as SIGTERM does. May be called from any
  /// thread; calls after the first have no effect. The argument is the source
  /// that is logged. Set by the runner.
  std::function<void(std::string)> m_StartDrain = [](const std::string &) {};
};

/// A route by path prefix on one of the process's HTTP ports. Handlers run on
/// worker threads.
struct Route {
  std::string m_Method; ///< empty: any
  std::string m_Prefix; ///< the longest matching prefix wins
  net::HttpHandler m_Handler;
};

/// A functional unit of a process. All functions are called on the control
/// loop.
class Module {
public:
  virtual ~Module() = default;
  /// Routes on the request port, which callers use on entries and entries use
  /// on agents.
  virtual std::vector<Route> requestRoutes() { return {}; }
  /// Routes on the operators' port.
  virtual std::vector<Route> operatorRoutes() { return {}; }
  /// Opens the module's ports, if it has any. Called again after Unavailable.
  virtual Result<void> listen() { return {}; }
  /// Called once all ports of the process are open.
  virtual Result<void> start() { return {}; }
  virtual void onMessage(const wire::Envelope &) {}
  /// Starts the drain: accept no new work and finish what is in progress.
  virtual void beginDrain() {}
  virtual bool drained() const { return true; }
  /// Ends background work. The event loops stop afterwards.
  virtual void stop() {}
  /// Returns the module's state for GET /v1/dump.
  virtual boost::json::object dump() const { return {}; }
};

template <typename T>
concept ModuleType =
    std::derived_from<T, Module> && std::constructible_from<T, Process &>;

namespace detail {

struct RegisteredModule {
  std::string m_Name;
  Role m_Role;
  std::function<std::unique_ptr<Module>(Process &)> m_Make;
};

std::vector<RegisteredModule> &registeredModules();

} // namespace detail

/// Registers a module for a role. Define one at namespace scope:
///
///   const Registration<EntryRequests> Registered("requests", Role::Entry);
template <ModuleType T> struct Registration {
  Registration(std::string Name, Role For) {
    detail::registeredModules().push_back(
        {std::move(Name), For,
         [](Process &In) { return std::make_unique<T>(In); }});
  }
};

/// Assembles one process and runs it until it is stopped. Returns the exit
/// code.
int runProcess(Settings Value);

} // namespace deckpitch::daemon
