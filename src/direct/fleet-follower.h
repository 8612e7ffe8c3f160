// Follows what the platform's store says of the fleet.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/time.h"
#include "direct/adapter.h"
#include "net/platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace deckpitch::direct {

namespace asio = boost::asio;

/// What a process wants to know, and how soon. Each call to the store costs.
struct FollowerOptions {
  bool m_Declarations = true;
  bool m_Weights = true;
  /// Between two lists of instances; zero: only when asked for.
  Duration m_InstancesEvery{};
};

/// Goes on with what it knew while the store is away. All on one loop.
class FleetFollower {
public:
  struct Callbacks {
    std::function<void(const FleetDeclaration &)> m_OnDeclaration;
    std::function<void(const std::vector<FleetInstance> &)> m_OnInstances;
    std::function<void(const std::vector<DeclaredWeights> &)> m_OnWeights;
  };

  FleetFollower(asio::io_context &Io, net::Platform &Store,
                const FleetAdapter &Adapter, FollowerOptions Options,
                Callbacks Calls);

  void start();
  void stop();
  /// Reads the declaration once.
  asio::awaitable<bool> readDeclaration();
  /// Reads the list of instances once.
  asio::awaitable<bool> listInstances();

  bool knowsDeclaration() const { return m_Version != 0; }
  bool knowsInstances() const { return m_KnowsInstances; }
  TimePoint instancesSeen() const { return m_InstancesSeen; }

private:
  using Handler = std::function<void(const net::PlatformObject &)>;

  asio::awaitable<void> follow(std::string Kind, Handler Apply);
  asio::awaitable<void> pollInstances();
  asio::awaitable<void> pause(Duration Length);
  void applyDeclaration(const net::PlatformObject &Object);
  void applyWeights(const net::PlatformObject &Object);
  void applyInstances(const net::PlatformList &List);
  void noteStore(const std::string &Call, std::optional<Error> Fault);
  Duration retryAfter(unsigned Failures);

  asio::io_context &m_Io;
  net::Platform &m_Store;
  const FleetAdapter &m_Adapter;
  FollowerOptions m_Options;
  Callbacks m_Calls;
  ObjectKinds m_Kinds;
  std::uint64_t m_Version = 0; ///< of the declaration in force
  std::map<std::string, DeclaredWeights> m_Weights;
  std::map<InstanceId, FleetInstance> m_Listed;
  bool m_KnowsInstances = false;
  TimePoint m_InstancesSeen{};
  TimePoint m_StoreReturned{};
  bool m_StoreAway = false;
  bool m_Stopped = false;
  std::minstd_rand m_Random{std::random_device{}()};
};

} // namespace deckpitch::direct
