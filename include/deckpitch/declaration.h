// The desired state that operators declare, as immutable values.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch {

enum class PoolKind { Engine, Service };

/// What a rollout of the pool minimises first.
enum class Preference { Time, OriginBytes };

struct DataCentreReadiness {
  DataCentreId m_DataCentre;
  std::uint32_t m_Ready = 0; ///< instances that should be ready there

  friend auto operator<=>(const DataCentreReadiness &,
                          const DataCentreReadiness &) = default;
};

/// A pool. Its limits are part of the same object, so that all of it changes
/// atomically.
struct Pool {
  PoolId m_Id;
  PoolKind m_Kind = PoolKind::Engine;
  std::string m_Model; ///< engines only
  std::string m_Adapter;
  std::string m_Version;
  std::string m_Path; ///< services only: prefix of the paths it serves
  std::vector<DataCentreReadiness> m_Readiness;
  Preference m_Preference = Preference::OriginBytes;
  bool m_Paused = false;            ///< suspends the rollout
  std::uint32_t m_QueueLimit = 256; ///< requests waiting at one entry
  std::uint32_t m_MaxUnavailable =
      1; ///< instances unavailable at the same time

  friend bool operator==(const Pool &, const Pool &) = default;
};

/// The weights that the pool should serve: "model@version" or
/// "model+adapter@version". Empty for services.
WeightsId weightsOf(const Pool &Value);

struct Organisation {
  OrganisationId m_Id;
  std::uint32_t m_Share = 1;           ///< weight among organisations
  std::uint32_t m_MaxInFlight = 10000; ///< over all entries

  friend bool operator==(const Organisation &, const Organisation &) = default;
};

/// Properties of a class of upstreams that only operators know.
struct Upstream {
  std::string m_Name; ///< as given in the instances' settings
  bool m_ChecksFencing = false;

  friend bool operator==(const Upstream &, const Upstream &) = default;
};

/// The last change of a declared object.
struct ChangeNote {
  std::string m_By;         ///< the author, as given by the operator's tool
  std::uint64_t m_AtMs = 0; ///< wall clock of the entry that accepted it
  std::string m_Write;      ///< id of the write that created this version

  friend bool operator==(const ChangeNote &, const ChangeNote &) = default;
};

/// A declared object with its revision.
template <typename T> struct Declared {
  Revision m_Revision;
  T m_Value;
  ChangeNote m_Change;

  friend bool operator==(const Declared &, const Declared &) = default;
};

/// The pool that an instance must serve, and the weights that it may activate
/// now. These lag behind the pool's declared weights while a rollout is paused.
struct AssignedPool {
  PoolId m_Pool;
  WeightsId m_Weights;

  friend bool operator==(const AssignedPool &, const AssignedPool &) = default;
};

/// Maps instances to the pools that they serve. A single object of the platform
/// that is written only by conditional update, so that its revision orders all
/// decisions and is the fencing number of the resulting orders.
struct Assignment {
  std::map<InstanceId, AssignedPool> m_Instances;

  friend bool operator==(const Assignment &, const Assignment &) = default;
};

/// A consistent snapshot of all declarations in force at one process, complete
/// up to m_Revision.
struct DeclarationSet {
  Revision m_Revision;
  std::map<PoolId, Declared<Pool>> m_Pools;
  std::map<OrganisationId, Declared<Organisation>> m_Organisations;
  std::map<std::string, Declared<Upstream>> m_Upstreams;
  Declared<Assignment> m_Assignment;

  friend bool operator==(const DeclarationSet &,
                         const DeclarationSet &) = default;
};

/// Parses the JSON of a declared object. Errors: InvalidInput, with all faults
/// loaded as Problems.
Result<Pool> parsePool(std::string_view Json,
                       UnknownKeys Unknown = UnknownKeys::Refuse);
Result<Organisation>
parseOrganisation(std::string_view Json,
                  UnknownKeys Unknown = UnknownKeys::Refuse);
Result<Upstream> parseUpstream(std::string_view Json,
                               UnknownKeys Unknown = UnknownKeys::Refuse);
Result<Assignment> parseAssignment(std::string_view Json,
                                   UnknownKeys Unknown = UnknownKeys::Refuse);
std::string formatPool(const Pool &Value);
std::string formatOrganisation(const Organisation &Value);
std::string formatUpstream(const Upstream &Value);
std::string formatAssignment(const Assignment &Value);

/// Adds a change note to the stored JSON, beside the value's own keys.
std::string addChangeNote(const std::string &Json, const ChangeNote &Note);
ChangeNote readChangeNote(std::string_view Json);

} // namespace deckpitch
