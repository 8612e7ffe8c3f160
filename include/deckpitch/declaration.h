// Desired state: what operators declare, as immutable values.
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

/// What a rollout of the pool saves first.
enum class Preference { Time, OriginBytes };

struct DataCentreReadiness {
  DataCentreId m_DataCentre;
  std::uint32_t m_Ready = 0; ///< instances that should be ready there

  friend auto operator<=>(const DataCentreReadiness &,
                          const DataCentreReadiness &) = default;
};

/// A pool and its limits are one object, so that they switch together.
struct Pool {
  PoolId m_Id;
  PoolKind m_Kind = PoolKind::Engine;
  std::string m_Model; ///< engines only
  std::string m_Adapter;
  std::string m_Version;
  std::string m_Path; ///< services only: prefix of the paths it answers
  std::vector<DataCentreReadiness> m_Readiness;
  Preference m_Preference = Preference::OriginBytes;
  bool m_Paused = false;              ///< holds a rollout where it is
  std::uint32_t m_QueueLimit = 256;   ///< requests waiting at one entry
  std::uint32_t m_MaxUnavailable = 1; ///< instances without capacity at once

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

/// Facts about a class of upstreams that only operators know.
struct Upstream {
  std::string m_Name; ///< as instances name it in their settings
  bool m_ChecksFencing = false;

  friend bool operator==(const Upstream &, const Upstream &) = default;
};

/// Who changed a declared object last, and when.
struct ChangeNote {
  std::string m_By;         ///< as the operator's tool named them
  std::uint64_t m_AtMs = 0; ///< wall clock of the entry that accepted it
  std::string m_Write;      ///< names the one write that made this version

  friend bool operator==(const ChangeNote &, const ChangeNote &) = default;
};

/// One declared object with its place in the platform's history.
template <typename T> struct Declared {
  Revision m_Revision;
  T m_Value;
  ChangeNote m_Change;

  friend bool operator==(const Declared &, const Declared &) = default;
};

/// The pool that an instance is to serve, and the weights it may activate
/// now; those lag behind the pool's declared weights while a rollout is held.
struct AssignedPool {
  PoolId m_Pool;
  WeightsId m_Weights;

  friend bool operator==(const AssignedPool &, const AssignedPool &) = default;
};

/// Which instance serves which pool. One object of the platform, written by
/// conditional update only, so that its revision orders all decisions: the
/// revision is the fencing number of the orders that follow from it.
struct Assignment {
  std::map<InstanceId, AssignedPool> m_Instances;

  friend bool operator==(const Assignment &, const Assignment &) = default;
};

/// All declarations in force at one process: one snapshot, never half of a
/// change. Complete up to m_Revision.
struct DeclarationSet {
  Revision m_Revision;
  std::map<PoolId, Declared<Pool>> m_Pools;
  std::map<OrganisationId, Declared<Organisation>> m_Organisations;
  std::map<std::string, Declared<Upstream>> m_Upstreams;
  Declared<Assignment> m_Assignment;

  friend bool operator==(const DeclarationSet &,
                         const DeclarationSet &) = default;
};

/// Parse one declared object's JSON; every fault is found at once and loaded
/// as Problems beside an InvalidInput Error.
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

/// The note stands beside the value's own keys in the stored JSON.
std::string addChangeNote(const std::string &Json, const ChangeNote &Note);
ChangeNote readChangeNote(std::string_view Json);

} // namespace deckpitch
