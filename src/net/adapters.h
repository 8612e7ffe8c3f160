// Adapters of the ports towards the outside, found by the address's scheme.
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

/// An address as settings give it: "scheme://rest", or "ip:port" for HTTP.
struct PortAddress {
  std::string m_Scheme;
  std::string m_Rest;

  friend bool operator==(const PortAddress &, const PortAddress &) = default;
};

PortAddress parsePortAddress(const std::string &Text);

/// What can stand behind a port of the daemon.
template <typename T, typename Port>
concept AdapterOf = std::derived_from<T, Port> &&
    std::constructible_from<T, HttpClient &, std::string>;

/// The adapters of one port by scheme; filled before main() begins.
template <typename Port> class Adapters {
public:
  using Make =
      std::function<std::unique_ptr<Port>(HttpClient &, std::string Rest)>;

  static void add(std::string Scheme, Make Maker) {
    list().insert_or_assign(std::move(Scheme), std::move(Maker));
  }

  /// Every scheme there is, as in "http, store".
  static std::string schemes() {
    std::string Out;
    for (const auto &[Scheme, Maker] : list())
      Out += (Out.empty() ? "" : ", ") + Scheme;
    return Out;
  }

  static bool knows(const std::string &Address) {
    return list().contains(parsePortAddress(Address).m_Scheme);
  }

  /// Null when no adapter has the address's scheme.
  static std::unique_ptr<Port> make(HttpClient &Http,
                                    const std::string &Address) {
    PortAddress Parsed = parsePortAddress(Address);
    const auto Found = list().find(Parsed.m_Scheme);
    if (Found == list().end())
      return nullptr;
    return Found->second(Http, std::move(Parsed.m_Rest));
  }

private:
  static std::map<std::string, Make> &list() {
    static std::map<std::string, Make> Known;
    return Known;
  }
};

/// Registers an adapter by standing at namespace scope of its own .cc file:
///
///   const AdapterRegistration<Platform, HttpPlatform> Registered("http");
template <typename Port, AdapterOf<Port> T> struct AdapterRegistration {
  explicit AdapterRegistration(std::string Scheme) {
    Adapters<Port>::add(std::move(Scheme),
                        [](HttpClient &Http, std::string Rest) {
                          return std::make_unique<T>(Http, std::move(Rest));
                        });
  }
};

} // namespace deckpitch::net
