// Finds the route and the organisation of a request.
#pragma once

#include "deckpitch/fleet.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace deckpitch {

/// An index over one version of the declaration; immutable once built.
///
///   const RouteIndex Table(parseDeclaration(Json));
///   const ServiceRoute *Route = Table.find("shop.example", "/orders/7");
class RouteIndex {
public:
  explicit RouteIndex(FleetDeclaration Declaration = {});

  /// The route of that host with the longest prefix that begins the path, or
  /// null. The host may carry a port; its case does not matter.
  const ServiceRoute *find(std::string_view Host, std::string_view Path) const;
  /// Whose key it is, or null.
  const OrganisationKeys *organisationOf(std::string_view Key) const;
  const ServiceDeclaration *service(const ServiceId &Id) const;

  const FleetDeclaration &declaration() const { return m_Declaration; }
  /// Keys are asked for.
  bool hasOrganisations() const {
    return !m_Declaration.m_Organisations.empty();
  }

private:
  FleetDeclaration m_Declaration;
  /// By host, a line break, and prefix.
  std::unordered_map<std::string, std::size_t> m_Routes;
  std::unordered_map<std::string, std::size_t> m_Keys;
  std::unordered_map<std::string, std::size_t> m_Services;
};

/// The service that a request goes to: a share of the draws according to the
/// weights. Draw is any number that is spread evenly. Null without services.
const ServiceId *chooseService(const ServiceRoute &Route, std::uint64_t Draw);

} // namespace deckpitch
