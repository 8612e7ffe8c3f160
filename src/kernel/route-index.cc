#include "deckpitch/route-index.h"

#include <algorithm>
#include <utility>

namespace deckpitch {

namespace {

constexpr char Separator = '\n'; ///< cannot occur in a host

std::string hostOf(std::string_view Header) {
  const bool IsBracketed = Header.starts_with('[');
  const std::size_t Colon = Header.rfind(':');
  const std::size_t Bracket = Header.rfind(']');
  const bool HasPort =
      Colon != std::string_view::npos && (!IsBracketed || Colon > Bracket);
  std::string Host(HasPort ? Header.substr(0, Colon) : Header);
  std::transform(Host.begin(), Host.end(), Host.begin(), [](char C) {
    return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
  });
  return Host;
}

} // namespace

RouteIndex::RouteIndex(FleetDeclaration Declaration)
    : m_Declaration(std::move(Declaration)) {
  for (std::size_t I = 0; I < m_Declaration.m_Routes.size(); ++I) {
    const ServiceRoute &Route = m_Declaration.m_Routes[I];
    const std::string Host = hostOf(Route.m_Host);
    m_Routes.emplace(Host + Separator + Route.m_PathPrefix, I);
    if (!Route.m_Regions.isRestricted())
      continue;
    AllowedRegions &OfHost = m_HostRegions[Host];
    OfHost = intersectionOf(OfHost, Route.m_Regions);
  }
  for (std::size_t I = 0; I < m_Declaration.m_Services.size(); ++I)
    m_Services.emplace(m_Declaration.m_Services[I].m_Id.m_Text, I);
  for (std::size_t I = 0; I < m_Declaration.m_Organisations.size(); ++I)
    for (const std::string &Key : m_Declaration.m_Organisations[I].m_Keys)
      m_Keys.emplace(Key, I);
}

const ServiceRoute *RouteIndex::find(std::string_view Host,
                                     std::string_view Path) const {
  std::string Key = hostOf(Host) + Separator;
  const std::size_t PathBegin = Key.size();
  Key += Path;
  // Prefixes end with a slash, so only the parts of the path up to a slash can
  // match.
  while (true) {
    const std::size_t Slash = Key.rfind('/');
    if (Slash == std::string::npos || Slash < PathBegin)
      return nullptr;
    Key.resize(Slash + 1);
    const auto Found = m_Routes.find(Key);
    if (Found != m_Routes.end())
      return &m_Declaration.m_Routes[Found->second];
    Key.resize(Slash);
  }
}

const OrganisationKeys *RouteIndex::organisationOf(std::string_view Key) const {
  const auto Found = m_Keys.find(std::string(Key));
  return Found == m_Keys.end() ? nullptr
                               : &m_Declaration.m_Organisations[Found->second];
}

const ServiceDeclaration *RouteIndex::service(const ServiceId &Id) const {
  const auto Found = m_Services.find(Id.m_Text);
  return Found == m_Services.end() ? nullptr
                                   : &m_Declaration.m_Services[Found->second];
}

AllowedRegions RouteIndex::regionsOf(std::string_view Host) const {
  const auto Found = m_HostRegions.find(hostOf(Host));
  return Found == m_HostRegions.end() ? AllowedRegions{} : Found->second;
}

const ServiceId *chooseService(const ServiceRoute &Route, std::uint64_t Draw) {
  std::uint64_t Sum = 0;
  for (const WeightedService &Each : Route.m_Services)
    Sum += Each.m_Weight;
  if (Sum == 0)
    return nullptr;
  std::uint64_t Left = Draw % Sum;
  for (const WeightedService &Each : Route.m_Services) {
    if (Left < Each.m_Weight)
      return &Each.m_Service;
    Left -= Each.m_Weight;
  }
  return nullptr;
}

} // namespace deckpitch
