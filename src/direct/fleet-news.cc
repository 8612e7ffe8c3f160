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

namespace {

/// An entry beside this one may have a change first that is on its way here
/// too: the way between data centres, and the time in which datagrams to all
/// entries are sent.
constexpr Duration ChangeOnItsWay = milliseconds(40);

/// Holders asked one after the other before the store is: each that is dead
/// costs 0.25 s, and the list is to come within half of the bound.
constexpr int HoldersBeforeStore = 2;

ToldReading toldBy(const auto &News, const NewsOrigin &From) {
  return {milliseconds(News.age_ms()), From.m_Late, From.m_IsNear,
          News.is_relayed()};
}

} // namespace

wire::StoreNews FleetFollower::digest() {
  wire::StoreNews Out;
  // Others would take it for a word from one that has listened.
  if (knowsDeclaration() && !declarationBelief().m_IsUnsure)
    m_Declarations.m_Tell(Out);
  if (knowsWeights())
    m_WeightVersions.m_Tell(Out);
  if (!m_KnowsInstances || instancesBelief().m_IsUnsure)
    return Out;
  wire::InstancesNews &Told = *Out.mutable_instances();
  Told.set_after(m_ReadFingerprint);
  Told.set_revision(m_ReadRevision.m_Value);
  Told.set_age_ms(ageMs(m_Instances.asOf(), now()));
  Told.set_is_relayed(m_Instances.isRelayed());
  return Out;
}

void FleetFollower::confirmIfCertain(SharedReading &Reading,
                                     const ToldReading &Told, TimePoint Now) {
  if (const auto AsOf = asOfTold(Told, Now))
    Reading.confirm(*AsOf, Told.m_IsRelayed);
}

void FleetFollower::hear(const wire::StoreNews &News, const NewsOrigin &From) {
  noteRunning();
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
  SharedReading &Reading = m_Declarations.m_Reading;
  Reading.noteTold(Now - From.m_Late);
  if (News.version() > m_Version) {
    const bool IsBetter = !m_Told || News.version() > m_Told->m_Version ||
                          (From.m_IsNear && !m_Told->m_From.m_IsNear);
    if (IsBetter)
      m_Told = {News.version(), Revision{News.revision()},
                asOfTold(toldBy(News, From), Now).value_or(TimePoint{}), From};
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
  confirmIfCertain(Reading, toldBy(News, From), Now);
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
  confirmIfCertain(m_WeightVersions.m_Reading, toldBy(News, From), Now);
  m_WeightVersions.m_Seen =
      std::max(m_WeightVersions.m_Seen, Revision{News.revision()});
}

/// Lists are told apart by the store's revision: by their age, two that were
/// read within some milliseconds could not be.
void FleetFollower::hearInstances(const wire::InstancesNews &News,
                                  const NewsOrigin &From, TimePoint Now) {
  const Revision At{News.revision()};
  if (At < m_ReadRevision)
    return;
  m_Instances.noteTold(Now - From.m_Late);
  const ToldReading Told = toldBy(News, From);
  HeardAsOf AsOf{asOfTold(Told, Now), Told.m_IsRelayed, std::nullopt};
  if (News.has_returned_ms())
    AsOf.m_Returned = Now - milliseconds(News.returned_ms());
  if (m_KnowsInstances && m_ReadFingerprint == News.after())
    return keepInstances(At, AsOf);
  const auto Changed =
      m_KnowsInstances ? applyChange(m_Read, read(News)) : std::nullopt;
  if (Changed)
    adoptInstances(*Changed, At, AsOf);
  else if (At > m_ReadRevision)
    noteInstancesTold(At, From, Now);
}

/// Near ones are asked first; the change itself may just be on its way.
void FleetFollower::noteInstancesTold(Revision At, const NewsOrigin &From,
                                      TimePoint Now) {
  m_InstanceHolders.note({From.m_Link, At, From.m_IsNear, Now});
  m_Instances.noteBehind(Now, From.m_IsNear
                                  ? ChangeOnItsWay
                                  : ChangeOnItsWay + m_Instances.turnWait());
  m_InstancesWake.cancel();
}

/// Whoever told of the list may have died since, or give none: where the store
/// turns this entry away as well, only another one helps.
asio::awaitable<bool> FleetFollower::fetchToldInstances() {
  std::string Last;
  bool Came = false;
  for (int Asked = 0; Asked < HoldersBeforeStore && !Came; ++Asked) {
    const auto Next = m_InstanceHolders.next();
    const bool IsOther = Next && Next->m_Link != Last;
    if (!IsOther)
      break;
    Last = Next->m_Link;
    Came = co_await askHolder(Next->m_Link, Next->m_Has);
  }
  co_return Came;
}

/// Whether what it had told of is known here now.
asio::awaitable<bool> FleetFollower::askHolder(std::string Link, Revision Has) {
  const bool Came = co_await fetchInstancesFrom(Link);
  if (Came && m_ReadRevision >= Has)
    co_return true;
  m_InstanceHolders.noteFailure(Link);
  if (Came)
    net::log(Event::ListNotRelayed,
             {{"from", Link}, {"error", "an older list came"}});
  co_return false;
}

asio::awaitable<bool> FleetFollower::fetchInstancesFrom(std::string Holder) {
  const auto Got = co_await fetchInstances(m_Http, Holder, m_Read);
  if (!Got) {
    net::log(Event::ListNotRelayed,
             {{"from", Holder}, {"error", Got.error().m_Message}});
    co_return false;
  }
  if (!m_Stopped)
    adoptInstances(Got->m_List, Got->m_Revision,
                   {Got->m_AsOf, true, Got->m_Returned});
  co_return !m_Stopped;
}

/// The text from the entry that told of it. One copy leaves the store then, and
/// one packed to a tenth crosses to each data centre.
asio::awaitable<bool> FleetFollower::fetchTold() {
  const auto Told = std::exchange(m_Told, std::nullopt);
  if (!Told || Told->m_Version <= m_Version)
    co_return false;
  const auto Got =
      co_await fetchDeclaration(m_Http, Told->m_From.m_Link, Told->m_Version);
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
  m_Declarations.m_Reading.confirm(Told->m_AsOf, true);
  m_Declarations.m_Reading.noteCaughtUp();
  stayBehindWhatWasTold();
  tell(m_Declarations.m_Tell, NewsReach::Near);
  co_return true;
}

} // namespace deckpitch::direct
