// Registry of adapters to external systems, selected by the address's scheme.
#pragma once

#include "deckpitch/error.h"
#include "net/http.h"

#include <concepts>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace deckpitch::net {

/// An address as written in settings: "scheme://location", or "ip:port" for
/// HTTP.
struct PortAddress {
  std::string m_Scheme;
  std::string m_Location;

  friend bool operator==(const PortAddress &, const PortAddress &) = default;
};

PortAddress parsePortAddress(const std::string &Text);

/// A type that implements a port and can be created by the registry.
template <typename T, typename Port>
concept AdapterOf = std::derived_from<T, Port> &&
    std::constructible_from<T, HttpClient &, std::string>;

/// The adapters of one port by scheme, registered before main() begins.
template <typename Port> class Adapters {
public:
  using Factory =
      std::function<std::unique_ptr<Port>(HttpClient &, std::string Location)>;

  static void add(std::string Scheme, Factory Create) {
    list().insert_or_assign(std::move(Scheme), std::move(Create));
  }

  /// Returns all registered schemes, for instance "http, store".
  static std::string schemes() {
    std::string Out;
    for (const auto &[Scheme, Create] : list())
      Out += (Out.empty() ? "" : ", ") + Scheme;
    return Out;
  }

  static bool knows(const std::string &Address) {
    return list().contains(parsePortAddress(Address).m_Scheme);
  }

  /// Returns null if no adapter is registered for the address's scheme.
  static std::unique_ptr<Port> make(HttpClient &Http,
                                    const std::string &Address) {
    PortAddress Parsed = parsePortAddress(Address);
    const auto Found = list().find(Parsed.m_Scheme);
    if (Found == list().end())
      return nullptr;
    return Found->second(Http, std::move(Parsed.m_Location));
  }

private:
  static std::map<std::string, Factory> &list() {
    static std::map<std::string, Factory> Registry;
    return Registry;
  }
};

/// Registers an adapter when defined at namespace scope in the adapter's .cc
/// file:
///
///   const AdapterRegistration<Platform, HttpPlatform> Registered("http");
template <typename Port, AdapterOf<Port> T> struct AdapterRegistration {
  explicit AdapterRegistration(std::string Scheme) {
    Adapters<Port>::add(std::move(Scheme),
                        [](HttpClient &Http, std::string Location) {
                          return std::make_unique<T>(Http, std::move(Location));
                        });
  }
};

} // namespace deckpitch::net
