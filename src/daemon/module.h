// The kernel of the daemon: modules that register themselves for a role.
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

/// What the modules of one process share. Snapshots have one writer each,
/// named here; everybody reads.
struct Process {
  Process(Settings Value, Incarnation Life, net::IoThreads &Threads)
      : m_Settings(std::move(Value)), m_Incarnation(Life), m_Threads(Threads) {}

  const Settings m_Settings;
  const Incarnation m_Incarnation;
  net::IoThreads &m_Threads;
  net::HttpClient m_Http;
  /// Entries only. One for each job that counts its own calls; never null,
  /// since settings with an unknown scheme are refused before.
  std::unique_ptr<net::Platform> makePlatform() {
    return net::Adapters<net::Platform>::make(m_Http, m_Settings.m_Platform);
  }
  const std::unique_ptr<net::Platform> m_OwnPlatform = makePlatform();
  net::Platform &m_Platform = *m_OwnPlatform;
  /// Requests to the upstream go over HTTP, whatever adapter its address names.
  std::string requestAddress() const {
    return net::parsePortAddress(m_Settings.m_Upstream.m_Address).m_Rest;
  }
  Addresses m_Addresses; ///< bound addresses; set before any start()
  net::ControlBus *m_Bus = nullptr;

  SnapshotCell<DeclarationSet> m_Declarations; ///< by the declarations module
  /// Of the replica of declarations; by the declarations module.
  std::atomic<std::uint64_t> m_DeclarationsDigest{0};
  /// Entries: this one follows the platform for all; by declarations.
  std::atomic<bool> m_FollowsPlatform{false};
  /// Entries: control addresses that the platform remembers; by declarations.
  SnapshotCell<std::vector<std::string>> m_RememberedAddresses;
  SnapshotCell<MembershipView> m_Membership; ///< by the membership module
  SnapshotCell<ServingReport> m_Serving;     ///< agents: by the weights module
  std::atomic<std::uint32_t> m_InFlight{0};  ///< agents: by the requests module
  std::atomic<std::uint32_t> m_Waiting{0};   ///< agents: by the requests module
  std::atomic<bool> m_Leaving{false};        ///< set once, when draining begins
  /// Starts the graceful shutdown, as SIGTERM does; once, from any thread. The
  /// text says who asked. By the runner.
  std::function<void(std::string)> m_StartDrain = [](const std::string &) {};
};

/// A path prefix of one of the process's HTTP ports. Handlers run on workers.
struct Route {
  std::string m_Method; ///< empty: any
  std::string m_Prefix; ///< the longest matching prefix wins
  net::HttpHandler m_Handler;
};

/// One job of a process. All calls come on the control loop.
class Module {
public:
  virtual ~Module() = default;
  /// Routes on the port for callers (entries) or entries (agents).
  virtual std::vector<Route> requestRoutes() { return {}; }
  /// Routes on the operators' port.
  virtual std::vector<Route> operatorRoutes() { return {}; }
  virtual Result<void> start() { return {}; }
  virtual void onMessage(const wire::Envelope &) {}
  /// The process is leaving: take nothing new, finish what runs.
  virtual void beginDrain() {}
  virtual bool drained() const { return true; }
  /// Ends background work; the loops stop after it.
  virtual void stop() {}
  /// The module's state, for the dump.
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

/// Registers a module for a role by standing at namespace scope:
///
///   const Registration<EntryRequests> Registered("requests", Role::Entry);
template <ModuleType T> struct Registration {
  Registration(std::string Name, Role For) {
    detail::registeredModules().push_back(
        {std::move(Name), For,
         [](Process &In) { return std::make_unique<T>(In); }});
  }
};

/// Assembles and runs one process until it is told to stop.
int runProcess(Settings Value);

} // namespace deckpitch::daemon
