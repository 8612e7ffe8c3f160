// JSON of declared objects, members and pool status for the operators'
// interface.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/membership.h"
#include "net/http.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::daemon {

/// One declared object: {"kind","name","revision","value","changed"?}.
struct Resource {
  std::string m_Kind;
  std::string m_Name;
  Revision m_Revision;
  std::string m_Json; ///< the value
  ChangeNote m_Change;

  friend bool operator==(const Resource &, const Resource &) = default;
};

/// Counts of the instances that serve a pool's declared weights.
struct PoolStatus {
  PoolId m_Pool;
  std::uint32_t m_Ready = 0;
  std::uint32_t m_Wanted = 0;
  std::uint32_t m_InForce = 0; ///< agents that have applied the pool's revision
  std::uint32_t m_Members = 0; ///< agents of all pools that are not gone
  std::vector<DataCentreReadiness> m_ReadyIn;

  friend bool operator==(const PoolStatus &, const PoolStatus &) = default;
};

bool isDeclaredKind(const std::string &Kind);
std::vector<Resource> resourcesOf(const DeclarationSet &Set,
                                  const std::string &Kind);
std::vector<Resource> allResources(const DeclarationSet &Set);
PoolStatus statusOf(const Declared<Pool> &Value, const MembershipView &View);

boost::json::object toJson(const Resource &Value);
boost::json::object toJson(const Member &Value);
boost::json::object toJson(const Declared<Pool> &Value,
                           const PoolStatus &Status);
/// Returns the body of GET /v1/status.
boost::json::object statusJson(const InstanceId &Self,
                               const DeclarationSet &Set,
                               const MembershipView &View);

/// The canonical JSON of an operator's input, or the problems found in it.
struct CheckedInput {
  std::string m_Json;
  std::optional<Problems> m_Problems;
};
/// Parses an operator's input. Unknown keys are problems, and so is a name that
/// differs from the one in the path.
CheckedInput checkInput(const std::string &Kind, const std::string &Name,
                        const std::string &Body);
std::string problemsJson(const Problems &Found);

} // namespace deckpitch::daemon
