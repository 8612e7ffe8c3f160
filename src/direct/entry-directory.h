// Answers the readiness checks of an entry, and callers that ask for the
// addresses of entries.
#pragma once

#include "deckpitch/regions.h"
#include "deckpitch/route-index.h"
#include "direct/adapter.h"
#include "direct/entry-peers.h"
#include "net/http.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace deckpitch::direct {

/// All calls must be on one event loop.
class EntryDirectory {
public:
  EntryDirectory(const FleetAdapter &Adapter, const EntryPeers &Peers,
                 std::function<bool()> IsReady)
      : m_Adapter(Adapter), m_Peers(Peers), m_IsReady(std::move(IsReady)) {}

  /// Sets the regions of the data centres, for routes that are restricted.
  void setRegions(RegionMap Regions) { m_Regions = std::move(Regions); }
  void setRoutes(std::shared_ptr<const RouteIndex> Routes) {
    m_Routes = std::move(Routes);
  }
  /// Sets how long callers may cache the addresses.
  void setLifetime(std::chrono::milliseconds Lifetime) {
    m_Lifetime = Lifetime;
  }
  asio::awaitable<void> answerReady(net::HttpRequest Request,
                                    net::HttpResponder &Answer) const;
  asio::awaitable<void> answerAddresses(net::HttpRequest Request,
                                        net::HttpResponder &Answer) const;

private:
  std::vector<std::string> addressesFor(const DirectoryQuery &Query) const;

  const FleetAdapter &m_Adapter;
  const EntryPeers &m_Peers;
  std::function<bool()> m_IsReady;
  RegionMap m_Regions;
  std::shared_ptr<const RouteIndex> m_Routes =
      std::make_shared<const RouteIndex>();
  std::chrono::milliseconds m_Lifetime{2'000};
};

} // namespace deckpitch::direct
