// What a follower of the fleet does with what other entries have read.
#include "daemon/clock.h"
#include "direct/fleet-follower.h"
#include "direct/store-news.h"
#include "net/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

void FleetFollower::hear(const wire::StoreNews &News, const NewsOrigin &From) {
  const TimePoint Now = now();
  if (News.has_declaration())
    hearDeclaration(News.declaration(), From, Now);
  if (News.has_weights())
    hearWeights(News.weights(), From, Now);
  if (News.has_instances())
    hearInstances(News.instances(), From, Now);
}

/// The first entry of a data centre gets a newer declaration from wherever it
/// is, and the others get it from an entry beside them.
void FleetFollower::hearDeclaration(const wire::DeclarationNews &News,
                                    const NewsOrigin &From, TimePoint Now) {
  if (News.version() < m_Version)
    return;
  const TimePoint AsOf = Now - milliseconds(News.age_ms()) - From.m_Late;
  SharedReading &Reading = m_Declarations.m_Reading;
  if (News.version() > m_Version) {
    const bool IsBetter = !m_Told || News.version() > m_Told->m_Version ||
                          (From.m_IsNear && !m_Told->m_From.m_IsNear);
    if (IsBetter)
      m_Told = {News.version(), Revision{News.revision()}, AsOf, From};
    Reading.noteBehind(Now,
                       From.m_IsNear ? Duration::zero() : Reading.turnWait());
    m_NewestTold = std::max(m_NewestTold, News.version());
    m_NewestToldAt = Now;
    m_Declarations.m_Wake.cancel();
    return;
  }
  // Whoever says so has not heard yet of the one that this entry is behind.
  if (m_NewestTold > m_Version)
    return;
  Reading.confirm(AsOf);
  m_Declarations.m_Seen =
      std::max(m_Declarations.m_Seen, Revision{News.revision()});
}

void FleetFollower::hearWeights(const wire::WeightsNews &News,
                                const NewsOrigin &From, TimePoint Now) {
  for (const wire::DeclaredWeightsState &Each : News.declared())
    setWeights(read(Each, Now));
  // Who knows a version that is not told must not take the news for as new.
  for (const auto &[Model, Each] : m_Weights) {
    const auto Told = std::find_if(
        News.declared().begin(), News.declared().end(),
        [&Model = Model](const auto &At) { return At.model() == Model; });
    if (Told == News.declared().end() ||
        Told->version() < Each.m_Declared.m_Version)
      return;
  }
  m_WeightVersions.m_Reading.confirm(Now - milliseconds(News.age_ms()) -
                                     From.m_Late);
  m_WeightVersions.m_Seen =
      std::max(m_WeightVersions.m_Seen, Revision{News.revision()});
}

void FleetFollower::hearInstances(const wire::InstancesNews &News,
                                  const NewsOrigin &From, TimePoint Now) {
  const TimePoint AsOf = Now - milliseconds(News.age_ms()) - From.m_Late;
  // Older than what was read here: it may name those that have left.
  if (AsOf < m_Instances.asOf())
    return;
  std::optional<InstanceList> Told;
  if (m_KnowsInstances && fingerprintOf(m_Read) == News.after())
    Told = m_Read;
  else if (m_KnowsInstances)
    Told = applyChange(m_Read, read(News));
  if (!Told) {
    m_Instances.noteBehind(Now, m_Instances.turnWait());
    m_InstancesWake.cancel();
    return;
  }
  confirmInstances(AsOf);
  applyInstances(std::move(*Told));
}

/// The text from the entry that told of it. One copy leaves the store then, and
/// one packed to a tenth crosses to each data centre.
asio::awaitable<bool> FleetFollower::fetchTold() {
  const auto Told = std::exchange(m_Told, std::nullopt);
  if (!Told || Told->m_Version <= m_Version || !m_Calls.m_Fetch)
    co_return false;
  const auto Got =
      co_await m_Calls.m_Fetch(Told->m_From.m_Link, Told->m_Version);
  if (!Got) {
    net::log(Event::DeclarationNotRelayed, {{"version", Told->m_Version},
                                            {"from", Told->m_From.m_Link},
                                            {"error", Got.error().m_Message}});
    co_return false;
  }
  applyDeclaration(Got->m_Object, Told->m_From.m_Link);
  if (m_Stopped || m_Version < Told->m_Version)
    co_return false;
  m_Declarations.m_Seen = std::max(m_Declarations.m_Seen, Told->m_Revision);
  m_Declarations.m_Reading.confirm(Told->m_AsOf);
  m_Declarations.m_Reading.noteCaughtUp();
  stayBehindWhatWasTold();
  tell(m_Declarations.m_Tell, NewsReach::Near);
  co_return true;
}

} // namespace deckpitch::direct
