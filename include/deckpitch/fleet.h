// The operator's declaration of a fleet whose entries call the instances
// directly, and the instances of the fleet.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/regions.h"
#include "deckpitch/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch {

using ServiceId = Id<struct ServiceTag>;

/// Whether and how requests of a route may be repeated.
enum class RouteKind { Idempotent, NonIdempotent, Stream };

struct WeightedService {
  ServiceId m_Service;
  std::uint32_t m_Weight = 1;

  friend bool operator==(const WeightedService &,
                         const WeightedService &) = default;
};

/// Routes requests of one host and path prefix to services.
struct ServiceRoute {
  std::string m_Name;
  std::string m_Host;       ///< lower case, without a port
  std::string m_PathPrefix; ///< starts and ends with a slash
  RouteKind m_Kind = RouteKind::NonIdempotent;
  std::chrono::milliseconds m_Timeout{30'000};
  std::chrono::milliseconds m_Objective{1'000}; ///< to the first byte
  std::chrono::milliseconds m_MaxPause{300};    ///< between events
  std::optional<std::uint32_t> m_Priority;      ///< 0 is the most urgent
  std::uint32_t m_Attempts = 1; ///< maximum instances tried per request
  bool m_IsOpen = false;        ///< accepts requests without an API key
  bool m_IsResumable = false;   ///< streams may continue on another instance
  AllowedRegions m_Regions;     ///< where its requests may be served
  std::vector<WeightedService> m_Services;

  friend bool operator==(const ServiceRoute &, const ServiceRoute &) = default;
};

/// The declared performance of a service's engines.
struct EngineProfile {
  std::uint32_t m_Slots = 1;       ///< requests that generate in parallel
  double m_StepMs = 10;            ///< for one token of each generating request
  double m_StepMsPerRequest = 0;   ///< added per generating request
  double m_StepMsPerKiloToken = 0; ///< added per 1,000 tokens of context
  double m_PrefillTokensPerMs = 30; ///< prefill speed in prompt tokens
  std::uint32_t m_StepsPerPass = 1;
  double m_UsualPromptTokens = 1'000;
  double m_UsualAnswerTokens = 100;
  std::uint32_t m_Layers = 1;
  std::uint32_t m_Chunks = 0; ///< of the weights; 0: not distributed
  std::uint32_t m_ChunkBytes = 0;
  std::vector<std::string> m_Models; ///< models that the engines may serve

  friend bool operator==(const EngineProfile &,
                         const EngineProfile &) = default;
};

struct ServiceDeclaration {
  ServiceId m_Id;
  std::uint32_t m_MaxConnections = 0; ///< per instance, from all callers
  /// Requests a second that an instance accepts while it is cold, from all
  /// callers; 0: any number.
  double m_ColdPerSecond = 0;
  std::optional<EngineProfile> m_Engine;
  std::string m_Origin;    ///< address; set only for an origin of weights
  double m_OriginMbps = 0; ///< of the origin's link; 0: unknown

  friend bool operator==(const ServiceDeclaration &,
                         const ServiceDeclaration &) = default;
};

struct OrganisationKeys {
  OrganisationId m_Organisation;
  std::optional<std::uint32_t> m_Priority; ///< overrides the route's
  std::vector<std::string> m_Keys;
  AllowedRegions m_Regions; ///< restricts its requests as a route's does

  friend bool operator==(const OrganisationKeys &,
                         const OrganisationKeys &) = default;
};

/// Limits of callers' requests.
struct CallerLimits {
  std::size_t m_HeaderBytes = std::size_t{16} * 1024;
  std::size_t m_BodyBytes = std::size_t{4} * 1024 * 1024;
  std::chrono::milliseconds m_HeaderTimeout{3'000};
  std::chrono::milliseconds m_IdleTimeout{15'000};

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

/// One version of the operator's complete declaration.
struct FleetDeclaration {
  std::uint64_t m_Version = 0; ///< 0: none known yet
  std::vector<ServiceRoute> m_Routes;
  std::vector<ServiceDeclaration> m_Services;
  /// Empty: no API key is required.
  std::vector<OrganisationKeys> m_Organisations;
  CallerLimits m_Limits;
  /// Values that could not be read and were replaced by the most restrictive
  /// reading, for the log.
  std::vector<std::string> m_Problems;

  friend bool operator==(const FleetDeclaration &,
                         const FleetDeclaration &) = default;
};

/// The model that a service's instances serve, and the origin of its weights.
struct WeightsSource {
  ServiceId m_Service;
  std::string m_Model;
  std::string m_Origin;    ///< address
  double m_OriginMbps = 0; ///< of the origin's link; 0: unknown

  friend bool operator==(const WeightsSource &,
                         const WeightsSource &) = default;
};

/// The weights sources of all services with engines; empty if no origin is
/// declared.
std::vector<WeightsSource> sourcesOf(const FleetDeclaration &Declaration);

/// Weights that an instance holds.
struct HeldWeights {
  std::string m_Model;
  std::uint64_t m_Version = 0;
  bool m_IsComplete = true; ///< has all layers, all in this version

  friend bool operator==(const HeldWeights &, const HeldWeights &) = default;
};

/// One incarnation of an instance, as listed by the platform.
struct FleetInstance {
  /// Changes with each start even if the platform's name does not, so that no
  /// cached state of an earlier incarnation is applied to the next.
  InstanceId m_Id;
  /// Start time in Unix milliseconds by the instance's clock; 0: unknown. Only
  /// compared for equality, since that clock may be off.
  std::uint64_t m_Start = 0;
  /// Later registrations have larger numbers; 0: unknown.
  std::uint64_t m_Registration = 0;
  ServiceId m_Service;
  std::string m_Address;
  DataCentreId m_DataCentre;
  std::uint32_t m_Slots = 1;
  bool m_IsLeaving = false;
  /// How much longer it was cold when the platform wrote this.
  std::chrono::milliseconds m_ColdLeft{};
  std::vector<HeldWeights> m_Weights;

  friend bool operator==(const FleetInstance &,
                         const FleetInstance &) = default;
};

/// The declared version of a model's weights, which all instances should serve.
struct DeclaredWeights {
  std::string m_Model;
  std::uint64_t m_Version = 0;

  friend bool operator==(const DeclaredWeights &,
                         const DeclaredWeights &) = default;
};

/// A declared version and the earliest possible time of its declaration: the
/// last time at which it was known not to be declared.
struct DatedWeights {
  DeclaredWeights m_Declared;
  TimePoint m_Since{};

  friend bool operator==(const DatedWeights &, const DatedWeights &) = default;
};

/// Formats the weights' id, "model@version".
inline WeightsId weightsIdOf(const DeclaredWeights &Value) {
  return {Value.m_Model + "@" + std::to_string(Value.m_Version)};
}

} // namespace deckpitch
