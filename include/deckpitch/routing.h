// The routing table, built from the declarations and the membership.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/membership.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch {

/// An instance that can serve a pool's requests.
struct UpstreamRoute {
  InstanceId m_Instance;
  Incarnation m_Incarnation;
  std::string m_Address;
  DataCentreId m_DataCentre;
  WeightsId m_Weights; ///< currently served; empty for services
  Digest m_Digest;
  LoadReport m_Load;
  bool m_Suspect = false; ///< heartbeats are late; used only as a last resort

  friend bool operator==(const UpstreamRoute &,
                         const UpstreamRoute &) = default;
};

struct PoolRoute {
  Pool m_Pool;
  std::vector<UpstreamRoute> m_Upstreams; ///< ready ones only

  friend bool operator==(const PoolRoute &, const PoolRoute &) = default;
};

/// An entry that accepts callers' requests.
struct EntryRoute {
  InstanceId m_Instance;
  DataCentreId m_DataCentre;
  std::string m_Address;

  friend bool operator==(const EntryRoute &, const EntryRoute &) = default;
};

/// An immutable snapshot of all routes.
struct RouteTable {
  std::map<PoolId, PoolRoute> m_Pools;
  std::map<std::string, PoolId> m_PoolByModel;
  std::vector<EntryRoute> m_Entries;
  std::map<OrganisationId, Organisation> m_Organisations;

  friend bool operator==(const RouteTable &, const RouteTable &) = default;
};

RouteTable buildRoutes(const DeclarationSet &Declarations,
                       const MembershipView &Members);

/// Returns the engine pool of that name, or else the one that serves the model
/// of that name; null if there is none.
const PoolRoute *findEnginePool(const RouteTable &Table,
                                std::string_view Model);
/// Returns the service pool with the longest path prefix that matches; null if
/// none does.
const PoolRoute *findServicePool(const RouteTable &Table,
                                 std::string_view Path);

/// Returns the entries' addresses in an order that depends on the seed, such
/// that over all seeds each entry is first equally often.
std::vector<std::string> orderEntries(const std::vector<EntryRoute> &Entries,
                                      std::uint64_t Seed);

} // namespace deckpitch
