#include "direct/entry-directory.h"

#include "daemon/clock.h"

#include <boost/asio.hpp>

#include <string>
#include <vector>

namespace deckpitch::direct {

using daemon::now;

namespace {

/// Retry-After while no entry is ready: entries start within some tenths of a
/// second.
constexpr Duration RetryAfterNoEntry = std::chrono::milliseconds(200);

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

} // namespace

asio::awaitable<void>
EntryDirectory::answerReady(net::HttpRequest Request,
                            net::HttpResponder &Answer) const {
  unsigned Status = m_IsReady() ? StatusOk : StatusUnavailable;
  if (!m_Adapter.isReadyQuery(Request))
    Status = StatusNotFound;
  co_await Answer.send(net::jsonResponse(Status, "{}"));
}

/// Callers of routes that are restricted to regions are sent to entries in
/// their own region, or in one that all these routes allow; to others only if
/// there are none.
std::vector<std::string>
EntryDirectory::addressesFor(const DirectoryQuery &Query) const {
  const bool IsReady = m_IsReady();
  const AllowedRegions Allowed = m_Routes->regionsOf(Query.m_Host);
  if (Allowed.isRestricted()) {
    const RegionId Own = Query.m_Region.empty()
                             ? m_Regions.regionOf(Query.m_DataCentre)
                             : Query.m_Region;
    for (const AllowedRegions &Each : {AllowedRegions({Own}), Allowed}) {
      std::vector<std::string> Found = m_Peers.addressesWhere(
          [&](const DataCentreId &In) {
            return Each.permits(m_Regions.regionOf(In));
          },
          IsReady, now());
      if (!Found.empty())
        return Found;
    }
  }
  return m_Peers.addressesFor(Query.m_DataCentre, IsReady, now());
}

asio::awaitable<void>
EntryDirectory::answerAddresses(net::HttpRequest Request,
                                net::HttpResponder &Answer) const {
  const auto Query = m_Adapter.readDirectoryQuery(Request);
  if (!Query)
    co_return (void) co_await Answer.send(
        net::jsonResponse(StatusNotFound, R"({"error":"no such path"})"));
  const std::vector<std::string> Addresses = addressesFor(*Query);
  net::HttpResponse Response =
      Addresses.empty()
          ? m_Adapter.refusal(*SendRecord().proofOfNotRun(),
                              "no entry is ready", "", RetryAfterNoEntry)
          : m_Adapter.directoryAnswer(Addresses, m_Lifetime);
  co_await Answer.send(std::move(Response));
}

} // namespace deckpitch::direct
