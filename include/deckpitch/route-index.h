// Finds the route and the organisation of a request.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/regions.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace deckpitch {

/// An immutable index over one version of the declaration.
///
///   const RouteIndex Table(parseDeclaration(Json));
///   const ServiceRoute *Route = Table.find("shop.example", "/orders/7");
class RouteIndex {
public:
  explicit RouteIndex(FleetDeclaration Declaration = {});

  /// Returns the host's route with the longest prefix of the path, or null. The
  /// host may include a port and is compared without regard to case.
  const ServiceRoute *find(std::string_view Host, std::string_view Path) const;
  /// Returns the organisation that the key belongs to, or null.
  const OrganisationKeys *organisationOf(std::string_view Key) const;
  const ServiceDeclaration *service(const ServiceId &Id) const;
  /// Returns the regions in which requests of all the host's routes may be
  /// served.
  AllowedRegions regionsOf(std::string_view Host) const;

  const FleetDeclaration &declaration() const { return m_Declaration; }
  /// Whether callers need a key.
  bool hasOrganisations() const {
    return !m_Declaration.m_Organisations.empty();
  }

private:
  FleetDeclaration m_Declaration;
  /// Keyed by host, a line break, and path prefix.
  std::unordered_map<std::string, std::size_t> m_Routes;
  std::unordered_map<std::string, std::size_t> m_Keys;
  std::unordered_map<std::string, std::size_t> m_Services;
  /// By host, for those with routes that are restricted to regions.
  std::unordered_map<std::string, AllowedRegions> m_HostRegions;
};

/// Chooses the service for a request in proportion to the weights. Draw is a
/// uniformly distributed random number. Null if the route has no services.
const ServiceId *chooseService(const ServiceRoute &Route, std::uint64_t Draw);

} // namespace deckpitch
