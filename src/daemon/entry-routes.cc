#include "daemon/entry-routes.h"
#include "daemon/call-headers.h"
#include "net/log.h"

#include <xxhash.h>

#include <algorithm>
#include <random>

namespace deckpitch::daemon {

namespace {

constexpr std::chrono::milliseconds RefreshInterval{20};
/// Concurrent requests assumed until an upstream's agent reports its limit.
constexpr double DefaultLimit = 64;

std::minstd_rand &generator() {
  thread_local std::minstd_rand Random{std::random_device{}()};
  return Random;
}

RefusedBinding bindingOf(const UpstreamRoute &Route) {
  return {Route.m_Instance, Route.m_Incarnation, Route.m_Weights,
          Route.m_Digest};
}

bool isEligible(const UpstreamRoute &Route, const PickHints &Hints) {
  if (Hints.m_Tried.contains(Route.m_Instance) ||
      std::ranges::find(Hints.m_Refused, bindingOf(Route)) !=
          Hints.m_Refused.end())
    return false;
  return Hints.m_Weights.empty() || (Route.m_Weights == Hints.m_Weights &&
                                     Route.m_Digest == Hints.m_Digest);
}

std::uint64_t rankOf(const UpstreamRoute &Route, std::uint64_t PrefixHash) {
  if (PrefixHash == 0)
    return 0;
  const std::string &Name = Route.m_Instance.m_Text;
  return XXH64(Name.data(), Name.size(), PrefixHash) | 1;
}

Candidate candidateOf(const UpstreamRoute &Route,
                      const UpstreamCounters &Counters,
                      const DataCentreId &Home, const PickHints &Hints) {
  const std::uint32_t Own = Counters.m_InFlight.load();
  const double Others = std::max(0.0, double(Route.m_Load.m_InFlight) -
                                          Counters.m_InFlightAtReport.load());
  const double Limit =
      Route.m_Load.m_Limit > 0 ? Route.m_Load.m_Limit : DefaultLimit;
  return {.m_OwnInFlight = Own,
          .m_OthersInFlight = Others,
          .m_Limit = Limit,
          .m_OwnLimit = Counters.limit(),
          .m_Rank = rankOf(Route, Hints.m_PrefixHash),
          .m_IsLocal = Route.m_DataCentre == Home,
          .m_Suspect = Route.m_Suspect,
          .m_Ejected = Counters.ejected(now())};
}

} // namespace

namespace {

/// Tells whether the previous routes hold the same load report of the upstream.
bool hasSameReport(const EntryRoutes &Before, const PoolId &Pool,
                   const UpstreamRoute &Route) {
  const auto Known = Before.m_Table.m_Pools.find(Pool);
  if (Known == Before.m_Table.m_Pools.end())
    return false;
  for (const UpstreamRoute &Each : Known->second.m_Upstreams)
    if (Each.m_Instance == Route.m_Instance)
      return Each.m_Load == Route.m_Load;
  return false;
}

std::uint64_t wholeMs(Duration Length) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Length).count());
}

} // namespace

void UpstreamCounters::answered(Duration Latency) {
  std::lock_guard Lock(m_Mutex);
  m_LearnedLimit.sample(Latency, m_InFlight.load(), now());
  m_Ejection.succeeded();
  m_Limit.store(m_LearnedLimit.limit(), std::memory_order_relaxed);
}

void UpstreamCounters::failed(const InstanceId &Instance) {
  std::lock_guard Lock(m_Mutex);
  m_LearnedLimit.overloaded(now());
  if (m_Ejection.failed(now()))
    net::log(Event::InstanceEjected,
             {{"instance", Instance.m_Text},
              {"forMs", wholeMs(m_Ejection.until() - now())}});
  m_Limit.store(m_LearnedLimit.limit(), std::memory_order_relaxed);
  m_EjectedUntil.store(m_Ejection.until().time_since_epoch().count(),
                       std::memory_order_relaxed);
}

double capacityOf(const EntryRoutes &Routes, const PoolRoute &Pool) {
  const double Entries =
      std::max<double>(1, static_cast<double>(Routes.m_Table.m_Entries.size()));
  double Sum = 0;
  for (const UpstreamRoute &Each : Pool.m_Upstreams)
    Sum += std::max(Routes.m_Counters.at(Each.m_Instance)->limit(),
                    Each.m_Load.m_Limit / Entries);
  return Sum;
}

RouteSource::RouteSource(Process &In)
    : m_Process(In), m_Timer(In.m_Threads.control()) {}

void RouteSource::start() { poll(); }
void RouteSource::stop() { m_Timer.cancel(); }

void RouteSource::poll() {
  const std::uint64_t Declarations = m_Process.m_Declarations.generation();
  const std::uint64_t Membership = m_Process.m_Membership.generation();
  if (Declarations != m_DeclarationsSeen || Membership != m_MembershipSeen) {
    m_DeclarationsSeen = Declarations;
    m_MembershipSeen = Membership;
    rebuild();
  }
  m_Timer.expires_after(RefreshInterval);
  m_Timer.async_wait([this](const boost::system::error_code &Ec) {
    if (!Ec)
      poll();
  });
}

void RouteSource::rebuild() {
  const auto Before = m_Routes.load();
  auto Next = std::make_shared<EntryRoutes>();
  Next->m_Table = buildRoutes(*m_Process.m_Declarations.load(),
                              *m_Process.m_Membership.load());
  for (const auto &[Name, Pool] : Next->m_Table.m_Pools) {
    for (const UpstreamRoute &Each : Pool.m_Upstreams) {
      const auto Known = Before->m_Counters.find(Each.m_Instance);
      auto &Counters = Next->m_Counters[Each.m_Instance];
      Counters = Known != Before->m_Counters.end()
                     ? Known->second
                     : std::make_shared<UpstreamCounters>();
      if (!hasSameReport(*Before, Name, Each))
        Counters->m_InFlightAtReport = Counters->m_InFlight.load();
    }
  }
  m_Routes.publish(std::move(Next));
}

void PickHints::noteRefusal(const UpstreamRoute &By) {
  m_Tried.erase(By.m_Instance);
  m_Refused.push_back(bindingOf(By));
}

const UpstreamRoute *pickUpstream(const EntryRoutes &Routes,
                                  const PoolRoute &Pool,
                                  const DataCentreId &Home,
                                  const PickHints &Hints) {
  std::vector<Candidate> Candidates;
  for (std::size_t I = 0; I < Pool.m_Upstreams.size(); ++I) {
    const UpstreamRoute &Route = Pool.m_Upstreams[I];
    if (!isEligible(Route, Hints))
      continue;
    Candidate Added = candidateOf(
        Route, *Routes.m_Counters.at(Route.m_Instance), Home, Hints);
    Added.m_Index = I;
    Candidates.push_back(Added);
  }
  const auto Chosen = chooseUpstream(Candidates, generator());
  return Chosen ? &Pool.m_Upstreams[*Chosen] : nullptr;
}

} // namespace deckpitch::daemon
