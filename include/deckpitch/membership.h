// The view of all members that heartbeats and the platform's list give.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/manifest.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace deckpitch {

enum class Role { Entry, Agent };

enum class MemberState { Alive, Suspect, Leaving, Gone };

/// Source of a member's state.
enum class MemberSource {
  Heartbeat, ///< received from the member itself
  Entry,     ///< received from another entry
  Silence,   ///< no heartbeat in time at the entries that watch the member
  Platform,  ///< the platform's list of instances
};

/// "host:port" by IP for each port; empty where a role has none.
struct Addresses {
  std::string m_Control;  ///< ZeroMQ
  std::string m_Requests; ///< HTTP
  std::string m_Bulk;     ///< weights between agents
  std::string m_Operator; ///< HTTP

  friend bool operator==(const Addresses &, const Addresses &) = default;
};

/// What an agent's upstream can serve now.
struct ServingReport {
  PoolId m_Pool;       ///< the pool it is assigned to; empty when none
  WeightsId m_Weights; ///< active weights; empty for services
  Digest m_Digest;     ///< manifest's whole digest, confirmed by the engine
  bool m_Ready = false;
  std::uint32_t m_ChunksHeld = 0; ///< of the copy under way
  std::uint32_t m_ChunksTotal = 0;
  std::string m_Condition; ///< e.g. "Copying", "Activating", "Serving"

  friend bool operator==(const ServingReport &,
                         const ServingReport &) = default;
};

/// Load as the agent sees it; lags behind by a heartbeat.
struct LoadReport {
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_Limit = 0;
  std::uint32_t m_Waiting = 0;

  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

struct Member {
  InstanceId m_Id;
  Incarnation m_Incarnation;
  Role m_Role = Role::Agent;
  DataCentreId m_DataCentre;
  std::string m_UpstreamName; ///< names an Upstream declaration
  Addresses m_Addresses;
  MemberState m_State = MemberState::Alive;
  MemberSource m_Source = MemberSource::Heartbeat;
  Revision m_InForce; ///< declarations it applies
  ServingReport m_Serving;
  LoadReport m_Load;

  friend bool operator==(const Member &, const Member &) = default;
};

struct MembershipView {
  std::map<InstanceId, Member> m_Members;

  friend bool operator==(const MembershipView &,
                         const MembershipView &) = default;
};

} // namespace deckpitch
