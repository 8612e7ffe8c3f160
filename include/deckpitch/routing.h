// Where requests can go: the table made of declarations and membership.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/membership.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch {

/// One instance that can take a pool's requests.
struct UpstreamRoute {
  InstanceId m_Instance;
  Incarnation m_Incarnation;
  std::string m_Address;
  DataCentreId m_DataCentre;
  WeightsId m_Weights; ///< that it serves now; empty for services
  Digest m_Digest;
  LoadReport m_Load;
  bool m_Suspect = false; ///< heartbeats are late: only when no other is left

  friend bool operator==(const UpstreamRoute &,
                         const UpstreamRoute &) = default;
};

struct PoolRoute {
  Pool m_Pool;
  std::vector<UpstreamRoute> m_Upstreams; ///< ready ones only

  friend bool operator==(const PoolRoute &, const PoolRoute &) = default;
};

/// An entry that callers may use.
struct EntryRoute {
  InstanceId m_Instance;
  DataCentreId m_DataCentre;
  std::string m_Address;

  friend bool operator==(const EntryRoute &, const EntryRoute &) = default;
};

/// One immutable answer to every question about where to send a request.
struct RouteTable {
  std::map<PoolId, PoolRoute> m_Pools;
  std::map<std::string, PoolId> m_PoolByModel;
  std::vector<EntryRoute> m_Entries;
  std::map<OrganisationId, Organisation> m_Organisations;

  friend bool operator==(const RouteTable &, const RouteTable &) = default;
};

RouteTable buildRoutes(const DeclarationSet &Declarations,
                       const MembershipView &Members);

/// The engine pool of that name, or the one that serves that model; null when
/// there is none.
const PoolRoute *findEnginePool(const RouteTable &Table,
                                std::string_view Model);
/// The service pool whose path prefix is the longest that matches; null when
/// none does.
const PoolRoute *findServicePool(const RouteTable &Table,
                                 std::string_view Path);

/// Entries in the order for one asker: each seed gives another order, and all
/// entries come first equally often.
std::vector<std::string> orderEntries(const std::vector<EntryRoute> &Entries,
                                      std::uint64_t Seed);

} // namespace deckpitch
