// Declared objects, members and pool status as the JSON that operators see.
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

/// How many instances serve a pool's declared weights.
struct PoolStatus {
  PoolId m_Pool;
  std::uint32_t m_Ready = 0;
  std::uint32_t m_Wanted = 0;
  std::uint32_t m_InForce = 0; ///< instances that apply the pool's revision
  std::uint32_t m_Members = 0; ///< agents that are not gone, of all pools
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
/// The answer of GET /v1/status.
boost::json::object statusJson(const InstanceId &Self,
                               const DeclarationSet &Set,
                               const MembershipView &View);

/// Parses the operators' input strictly and gives its canonical form, or the
/// problems.
struct CheckedInput {
  std::string m_Json;
  std::optional<Problems> m_Problems;
};
CheckedInput checkInput(const std::string &Kind, const std::string &Name,
                        const std::string &Body);
std::string problemsJson(const Problems &Found);

} // namespace deckpitch::daemon
