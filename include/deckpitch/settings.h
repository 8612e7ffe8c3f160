// The settings of a process, read from JSON with comments.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "deckpitch/membership.h"
#include "deckpitch/process-limits.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch {

/// Addresses to listen on, "ip:port"; port 0 selects any free port.
struct ListenSettings {
  std::string m_Control = "127.0.0.1:0";
  std::string m_Requests = "127.0.0.1:0";
  std::string m_Bulk = "127.0.0.1:0"; ///< agents only
  std::string m_Operator = "127.0.0.1:0";

  friend bool operator==(const ListenSettings &,
                         const ListenSettings &) = default;
};

/// The engine or service of an agent.
struct UpstreamSettings {
  std::string m_Name; ///< names an Upstream declaration
  PoolKind m_Kind = PoolKind::Engine;
  std::string m_Address; ///< "ip:port" of its HTTP interface
  PoolId m_Pool;         ///< services only: the pool it belongs to

  friend bool operator==(const UpstreamSettings &,
                         const UpstreamSettings &) = default;
};

/// Settings of the distribution of weights between agents.
struct WeightsSettings {
  std::string m_Origin; ///< "ip:port" of the origin of weights
  std::string
      m_Store; ///< "ip:port" of the rate-limited weight store; may be empty
  std::uint64_t m_MemoryBytes = 64ULL * 1024 * 1024;
  std::uint64_t m_UploadBytesPerSecond = 0;   ///< 0: unlimited
  std::uint64_t m_DownloadBytesPerSecond = 0; ///< 0: unlimited
  bool m_SharedLink = false; ///< uploads count towards the download rate
  std::uint32_t m_Peers = 16;

  friend bool operator==(const WeightsSettings &,
                         const WeightsSettings &) = default;
};

struct MembershipSettings {
  std::chrono::milliseconds m_Heartbeat{1'000};
  std::chrono::milliseconds m_SuspectAfter{3'000};
  std::chrono::milliseconds m_GoneAfter{15'000};

  friend bool operator==(const MembershipSettings &,
                         const MembershipSettings &) = default;
};

struct RequestSettings {
  std::uint32_t m_MaxBodyBytes = 4 * 1024 * 1024;
  std::chrono::milliseconds m_DefaultDeadline{30'000};
  /// How long callers may cache the entries' addresses.
  std::chrono::milliseconds m_AddressLifetime{10'000};
  /// Agents only: initial limit on concurrent requests to the upstream.
  std::uint32_t m_InstanceConcurrency = 64;

  friend bool operator==(const RequestSettings &,
                         const RequestSettings &) = default;
};

struct Settings {
  Role m_Role = Role::Entry;
  InstanceId m_Instance;
  DataCentreId m_DataCentre;
  ListenSettings m_Listen;
  std::vector<std::string>
      m_Entries;               ///< control addresses of entries to join through
  std::string m_Platform;      ///< "ip:port" of the platform's object interface
  std::uint32_t m_Threads = 2; ///< worker threads besides the control loop
  std::chrono::milliseconds m_DrainLimit{600'000};
  UpstreamSettings m_Upstream; ///< agents only
  WeightsSettings m_Weights;   ///< agents only
  MembershipSettings m_Membership;
  RequestSettings m_Requests;
  ProcessLimits m_Limits;

  friend bool operator==(const Settings &, const Settings &) = default;
};

/// Parses the settings. Errors: InvalidInput, with all faults loaded as
/// Problems.
Result<Settings> parseSettings(std::string_view Json);

} // namespace deckpitch
