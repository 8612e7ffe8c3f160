// Settings of a process of a fleet whose entries call the instances themselves.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "deckpitch/membership.h"
#include "deckpitch/retry-window.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace deckpitch {

/// Addresses to listen on, "ip:port"; empty ones are not served.
struct DirectListen {
  std::string m_Callers;
  std::string m_Ready;
  std::string m_Directory;
  std::string m_Operator; ///< metrics and state
  std::string m_Link;     ///< UDP, between the system's processes
  std::string m_Bulk;     ///< weights between agents

  friend bool operator==(const DirectListen &, const DirectListen &) = default;
};

/// What the operators promise or ask, as bounds on times and shares.
struct DirectBounds {
  std::chrono::milliseconds m_Drain{2'000}; ///< a leaving instance's last calls
  std::chrono::milliseconds m_Apply{2'000}; ///< until a declaration is in force
  std::chrono::milliseconds m_Grace{8'000}; ///< from the stop signal to a kill
  std::chrono::milliseconds m_Version{8'000}; ///< until all serve new weights
  RetryShare m_Retries;
  std::chrono::milliseconds m_AddressLifetime{2'000}; ///< of an address answer

  friend bool operator==(const DirectBounds &, const DirectBounds &) = default;
};

struct DirectSettings {
  Role m_Role = Role::Entry;
  InstanceId m_Instance;
  DataCentreId m_DataCentre;
  DirectListen m_Listen;
  /// Ports of every agent; its IP number is that of the instance beside it.
  std::uint32_t m_AgentLinkPort = 0;
  std::uint32_t m_AgentBulkPort = 0;
  std::string m_Store;    ///< "scheme://ip:port"
  std::string m_Upstream; ///< agents: "scheme://ip:port" of the instance
  std::string m_Service;  ///< agents: the instance's service
  double m_LinkMbps = 0;  ///< of this machine, each way; 0: unlimited
  DirectBounds m_Bounds;

  friend bool operator==(const DirectSettings &,
                         const DirectSettings &) = default;
};

/// Whether the text is one of these settings: it says "mode": "direct".
bool areDirectSettings(std::string_view Json);

/// Errors: InvalidInput, with every fault found loaded as Problems.
Result<DirectSettings> parseDirectSettings(std::string_view Json);

} // namespace deckpitch
