// What an operator has declared for a fleet whose entries call the instances
// themselves, and what the fleet consists of.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch {

using ServiceId = Id<struct ServiceTag>;

/// What may be repeated of a route's requests.
enum class RouteKind { Idempotent, NonIdempotent, Stream };

struct WeightedService {
  ServiceId m_Service;
  std::uint32_t m_Weight = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

/// Where requests of one host and path prefix go, and on what terms.
struct ServiceRoute {
  std::string m_Name;
  std::string m_Host;       ///< lower case, without a port
  std::string m_PathPrefix; ///< begins and ends with a slash
  RouteKind m_Kind = RouteKind::NonIdempotent;
  std::chrono::milliseconds m_Timeout{30'000};
  std::chrono::milliseconds m_Objective{1'000};  ///< to the first byte
  std::chrono::milliseconds m_LongestPause{300}; ///< between events
  std::optional<std::uint32_t> m_Priority;       ///< 0 is the most urgent
  std::uint32_t m_Attempts = 1; ///< instances that one request may run on
  bool m_IsOpen = false;        ///< takes requests without a key
  bool m_IsResumable = false;   ///< streams may go on elsewhere
  std::vector<WeightedService> m_Services;

  friend bool operator==(const ServiceRoute &, const ServiceRoute &) = default;
};

/// How fast the engines of a service work, as declared.
struct EngineProfile {
  std::uint32_t m_Slots = 1;       ///< requests that write at once
  double m_StepMs = 10;            ///< one token for each writer
  double m_StepMsPerWriter = 0;    ///< more for each writer
  double m_StepMsPerKiloToken = 0; ///< more for 1,000 tokens of context
  double m_ReadTokensPerMs = 30;   ///< prompt tokens
  std::uint32_t m_StepsPerPass = 1;
  double m_UsualPromptTokens = 1'000;
  double m_UsualAnswerTokens = 100;
  std::uint32_t m_Layers = 1;
  std::uint32_t m_Chunks = 0; ///< of the weights; 0 when not distributed
  std::uint32_t m_ChunkBytes = 0;
  std::vector<std::string> m_Models; ///< that the engines may be told to serve

  friend bool operator==(const EngineProfile &,
                         const EngineProfile &) = default;
};

struct ServiceDeclaration {
  ServiceId m_Id;
  std::uint32_t m_MaxConnections = 0; ///< of one instance, from all callers
  std::optional<EngineProfile> m_Engine;
  std::string m_Origin;    ///< address; set for an origin of weights only
  double m_OriginMbps = 0; ///< of the origin's link; 0: not told

  friend bool operator==(const ServiceDeclaration &,
                         const ServiceDeclaration &) = default;
};

struct OrganisationKeys {
  OrganisationId m_Organisation;
  std::optional<std::uint32_t> m_Priority; ///< goes before the route's
  std::vector<std::string> m_Keys;

  friend bool operator==(const OrganisationKeys &,
                         const OrganisationKeys &) = default;
};

/// What a caller may send and how long it may take.
struct CallerLimits {
  std::size_t m_HeaderBytes = std::size_t{16} * 1024;
  std::size_t m_BodyBytes = std::size_t{4} * 1024 * 1024;
  std::chrono::milliseconds m_HeaderTimeout{3'000};
  std::chrono::milliseconds m_IdleTimeout{15'000};

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// One whole version of what the operator wants.
struct FleetDeclaration {
  std::uint64_t m_Version = 0; ///< 0: none is known yet
  std::vector<ServiceRoute> m_Routes;
  std::vector<ServiceDeclaration> m_Services;
  std::vector<OrganisationKeys> m_Organisations; ///< empty: no key is needed
  CallerLimits m_Limits;

  friend bool operator==(const FleetDeclaration &,
                         const FleetDeclaration &) = default;
};

/// Which model a service's instances serve, and where its weights come from.
struct WeightsSource {
  ServiceId m_Service;
  std::string m_Model;
  std::string m_Origin;    ///< address
  double m_OriginMbps = 0; ///< of the origin's link; 0: not told

  friend bool operator==(const WeightsSource &,
                         const WeightsSource &) = default;
};

/// Of every service with engines; empty while no origin is declared.
std::vector<WeightsSource> sourcesOf(const FleetDeclaration &Declaration);

/// Weights that an instance holds.
struct HeldWeights {
  std::string m_Model;
  std::uint64_t m_Version = 0;
  bool m_IsComplete = true; ///< all layers, all of this version

  friend bool operator==(const HeldWeights &, const HeldWeights &) = default;
};

/// One life of one instance, as the platform's list tells it.
struct FleetInstance {
  /// New at each start, also where the platform's name stays the same: nothing
  /// that was believed of the former life holds for the next.
  InstanceId m_Id;
  /// Unix milliseconds by that machine's clock; 0: not told. Only compared for
  /// equality, since that clock may stand behind.
  std::uint64_t m_Start = 0;
  ServiceId m_Service;
  std::string m_Address;
  DataCentreId m_DataCentre;
  std::uint32_t m_Slots = 1;
  bool m_IsLeaving = false;
  std::vector<HeldWeights> m_Weights;

  friend bool operator==(const FleetInstance &,
                         const FleetInstance &) = default;
};

/// The version of a model's weights that all its instances are to serve.
struct DeclaredWeights {
  std::string m_Model;
  std::uint64_t m_Version = 0;

  friend bool operator==(const DeclaredWeights &,
                         const DeclaredWeights &) = default;
};

/// A declared version, and when it was declared at the earliest: the last time
/// at which it was known not to be.
struct HeardWeights {
  DeclaredWeights m_Declared;
  TimePoint m_Since{};

  friend bool operator==(const HeardWeights &, const HeardWeights &) = default;
};

/// "model@version", as the rest of the system names weights.
inline WeightsId weightsIdOf(const DeclaredWeights &Value) {
  return {Value.m_Model + "@" + std::to_string(Value.m_Version)};
}

} // namespace deckpitch
