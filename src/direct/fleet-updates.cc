// How FleetFollower handles the updates of other entries.
#include "daemon/clock.h"
#include "direct/fleet-follower.h"
#include "direct/store-updates.h"
#include "net/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

/// Another entry may announce a change whose own update is still in transit to
/// this one: the transit time between data centres, and the time it takes to
/// send the datagrams to all entries.
constexpr Duration ChangeTransitTime = milliseconds(40);

/// Holders tried in sequence before the store is read: each dead one costs
/// 0.25 s, and the list must arrive within half of the bound.
constexpr int MaxHoldersAsked = 2;

ReportedReading readingIn(const auto &News, const UpdateSource &From) {
  return {milliseconds(News.age_ms()), From.m_ExtraDelay, From.m_IsLocal,
          News.is_relayed()};
}

} // namespace

wire::StoreNews FleetFollower::digest() {
  wire::StoreNews Out;
  // Stale state is left out: others would take it as confirmed by this entry.
  if (knowsDeclaration() && !declarationFreshness().m_IsUnconfirmed)
    m_Declarations.m_FillUpdate(Out);
  if (knowsWeights())
    m_WeightVersions.m_FillUpdate(Out);
  if (m_KnowsEvacuations)
    m_Evacuations.m_FillUpdate(Out);
  if (!m_KnowsInstances || instancesFreshness().m_IsUnconfirmed)
    return Out;
  wire::InstancesNews &Announced = *Out.mutable_instances();
  Announced.set_after(m_ReadFingerprint);
  Announced.set_revision(m_ReadRevision.m_Value);
  Announced.set_age_ms(ageMs(m_Instances.asOf(), now()));
  Announced.set_is_relayed(m_Instances.isRelayed());
  return Out;
}

void FleetFollower::confirmIfCertain(SharedReading &Reading,
                                     const ReportedReading &Announced,
                                     TimePoint Now) {
  if (const auto AsOf = asOfReport(Announced, Now))
    Reading.confirm(*AsOf, Announced.m_IsRelayed);
}

void FleetFollower::receive(const wire::StoreNews &News,
                            const UpdateSource &From) {
  checkForPause();
  const TimePoint Now = now();
  if (News.has_declaration())
    onDeclarationUpdate(News.declaration(), From, Now);
  if (News.has_weights())
    onWeightsUpdate(News.weights(), From, Now);
  if (News.has_evacuations())
    onEvacuationsUpdate(News.evacuations(), From, Now);
  if (News.has_instances())
    onInstancesUpdate(News.instances(), From, Now);
}

/// The first entry of a data centre fetches a newer declaration from any entry;
/// the others fetch it from a local entry.
void FleetFollower::onDeclarationUpdate(const wire::DeclarationNews &News,
                                        const UpdateSource &From,
                                        TimePoint Now) {
  if (News.version() < m_Version)
    return;
  SharedReading &Reading = m_Declarations.m_Reading;
  Reading.noteReport(Now - From.m_ExtraDelay);
  if (News.version() > m_Version) {
    const bool IsBetter = !m_Announced ||
                          News.version() > m_Announced->m_Version ||
                          (From.m_IsLocal && !m_Announced->m_From.m_IsLocal);
    if (IsBetter)
      m_Announced = {
          News.version(), Revision{News.revision()},
          asOfReport(readingIn(News, From), Now).value_or(TimePoint{}), From};
    Reading.noteBehind(Now,
                       From.m_IsLocal ? Duration::zero() : Reading.rankDelay());
    m_NewestAnnounced = std::max(m_NewestAnnounced, News.version());
    m_NewestAnnouncedAt = Now;
    m_Declarations.m_Wake.cancel();
    return;
  }
  // The sender has not yet received the newer version known to exist.
  if (m_NewestAnnounced > m_Version)
    return;
  confirmIfCertain(Reading, readingIn(News, From), Now);
  m_Declarations.m_Seen =
      std::max(m_Declarations.m_Seen, Revision{News.revision()});
}

void FleetFollower::onWeightsUpdate(const wire::WeightsNews &News,
                                    const UpdateSource &From, TimePoint Now) {
  for (const wire::DeclaredWeightsState &Each : News.declared())
    setWeights(read(Each, Now));
  // An update that lacks a version known here confirms nothing.
  for (const auto &[Model, Each] : m_Weights) {
    const auto Announced = std::find_if(
        News.declared().begin(), News.declared().end(),
        [&Model = Model](const auto &At) { return At.model() == Model; });
    if (Announced == News.declared().end() ||
        Announced->version() < Each.m_Declared.m_Version)
      return;
  }
  confirmIfCertain(m_WeightVersions.m_Reading, readingIn(News, From), Now);
  m_WeightVersions.m_Seen =
      std::max(m_WeightVersions.m_Seen, Revision{News.revision()});
}

/// Lists are ordered by the store's revision: ages do not distinguish two lists
/// read within a few milliseconds.
void FleetFollower::onInstancesUpdate(const wire::InstancesNews &News,
                                      const UpdateSource &From, TimePoint Now) {
  const Revision At{News.revision()};
  if (At < m_ReadRevision)
    return;
  m_Instances.noteReport(Now - From.m_ExtraDelay);
  const ReportedReading Announced = readingIn(News, From);
  ListTimes AsOf{asOfReport(Announced, Now), Announced.m_IsRelayed,
                 std::nullopt};
  if (News.has_returned_ms())
    AsOf.m_Returned = Now - milliseconds(News.returned_ms());
  if (m_KnowsInstances && m_ReadFingerprint == News.after())
    return keepInstances(At, AsOf);
  const auto Changed =
      m_KnowsInstances ? applyChange(m_Read, read(News)) : std::nullopt;
  if (Changed)
    adoptInstances(*Changed, At, AsOf);
  else if (At > m_ReadRevision)
    noteInstancesAnnounced(At, From, Now);
}

/// Holders in this data centre are asked first, after a delay in which the
/// change itself may arrive.
void FleetFollower::noteInstancesAnnounced(Revision At,
                                           const UpdateSource &From,
                                           TimePoint Now) {
  m_InstanceHolders.note({From.m_Link, At, From.m_IsLocal, Now});
  m_Instances.noteBehind(Now, From.m_IsLocal ? ChangeTransitTime
                                             : ChangeTransitTime +
                                                   m_Instances.rankDelay());
  m_InstancesWake.cancel();
}

/// Tries another holder if the first one has died or does not provide the list:
/// if the store rejects this entry as well, only other entries can provide it.
asio::awaitable<bool> FleetFollower::fetchAnnouncedInstances() {
  std::string Last;
  bool Succeeded = false;
  for (int Asked = 0; Asked < MaxHoldersAsked && !Succeeded; ++Asked) {
    const auto Next = m_InstanceHolders.next();
    const bool IsOther = Next && Next->m_Link != Last;
    if (!IsOther)
      break;
    Last = Next->m_Link;
    Succeeded = co_await fetchFromHolder(Next->m_Link, Next->m_Has);
  }
  co_return Succeeded;
}

/// Whether the holder provided at least the revision that it announced.
asio::awaitable<bool> FleetFollower::fetchFromHolder(std::string Link,
                                                     Revision Has) {
  const bool Succeeded = co_await fetchInstancesFrom(Link);
  if (Succeeded && m_ReadRevision >= Has)
    co_return true;
  m_InstanceHolders.noteFailure(Link);
  if (Succeeded)
    net::log(Event::ListNotRelayed,
             {{"from", Link}, {"error", "received an older list"}});
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

/// Fetches the text from the entry that announced it, so that one copy leaves
/// the store, and one compressed to a tenth is sent to each data centre.
asio::awaitable<bool> FleetFollower::fetchAnnounced() {
  const auto Announced = std::exchange(m_Announced, std::nullopt);
  if (!Announced || Announced->m_Version <= m_Version)
    co_return false;
  const auto Got = co_await fetchDeclaration(m_Http, Announced->m_From.m_Link,
                                             Announced->m_Version);
  if (!Got) {
    net::log(Event::DeclarationNotRelayed, {{"version", Announced->m_Version},
                                            {"from", Announced->m_From.m_Link},
                                            {"error", Got.error().m_Message}});
    co_return false;
  }
  applyDeclaration(Got->m_Object, Announced->m_From.m_Link);
  if (m_Stopped || m_Version < Announced->m_Version)
    co_return false;
  m_Declarations.m_Seen =
      std::max(m_Declarations.m_Seen, Announced->m_Revision);
  m_Declarations.m_Reading.confirm(Announced->m_AsOf, true);
  m_Declarations.m_Reading.noteCaughtUp();
  stayBehindAnnounced();
  publish(m_Declarations.m_FillUpdate, UpdateReach::Local);
  co_return true;
}

} // namespace deckpitch::direct
