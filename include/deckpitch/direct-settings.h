// Settings of direct mode, in which the entries call the instances directly.
#pragma once

#include "deckpitch/cold-start.h"
#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "deckpitch/membership.h"
#include "deckpitch/process-limits.h"
#include "deckpitch/regions.h"
#include "deckpitch/retry-window.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace deckpitch {

/// Addresses to listen on, "ip:port"; an empty address disables its listener.
struct DirectListen {
  std::string m_Callers;
  std::string m_Ready;
  std::string m_Directory;
  std::string m_Operator; ///< metrics and status
  std::string m_Link;     ///< UDP messages between entries and agents
  std::string m_Bulk;     ///< weights between agents

  friend bool operator==(const DirectListen &, const DirectListen &) = default;
};

/// Limits on times and retries that the operators guarantee or require.
struct DirectBounds {
  /// Time in which a leaving instance completes its requests.
  std::chrono::milliseconds m_Drain{2'000};
  /// Time until a declaration is in force.
  std::chrono::milliseconds m_Apply{2'000};
  /// Time from the stop signal to the kill of a process.
  std::chrono::milliseconds m_Grace{8'000};
  /// Time until all instances serve newly declared weights.
  std::chrono::milliseconds m_Version{8'000};
  /// Time until nothing is sent to a data centre that operators evacuate;
  /// nothing: evacuations are not followed.
  std::optional<std::chrono::milliseconds> m_Evacuate;
  /// Nothing: instances are never treated as cold.
  std::optional<ColdStartBound> m_ColdStart;
  RetryShare m_Retries;
  /// How long callers may cache the entries' addresses.
  std::chrono::milliseconds m_AddressLifetime{2'000};

  friend bool operator==(const DirectBounds &, const DirectBounds &) = default;
};

struct DirectSettings {
  Role m_Role = Role::Entry;
  InstanceId m_Instance;
  DataCentreId m_DataCentre;
  DirectListen m_Listen;
  /// Ports of every agent; its IP address is that of its instance.
  std::uint32_t m_AgentLinkPort = 0;
  std::uint32_t m_AgentBulkPort = 0;
  std::string m_Store;    ///< "scheme://ip:port"
  std::string m_Upstream; ///< agents only: "scheme://ip:port" of the instance
  std::string m_Service;  ///< agents only: the instance's service
  double m_LinkMbps = 0;  ///< of this instance, each way; 0: unlimited
  RegionMap m_Regions;    ///< of all data centres; entries only
  DirectBounds m_Bounds;
  ProcessLimits m_Limits;

  friend bool operator==(const DirectSettings &,
                         const DirectSettings &) = default;
};

/// Whether the JSON text is settings of direct mode: has "mode": "direct".
bool areDirectSettings(std::string_view Json);

/// Parses the settings. Errors: InvalidInput, with all faults loaded as
/// Problems.
Result<DirectSettings> parseDirectSettings(std::string_view Json);

} // namespace deckpitch
