// How FleetFollower reads, keeps and announces the list of instances.
#include "daemon/clock.h"
#include "direct/fleet-follower.h"
#include "direct/store-updates.h"
#include "net/log.h"
#include "net/metrics.h"

#include <boost/asio.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace deckpitch::direct {

using daemon::now;

namespace {

std::uint32_t ageMs(TimePoint Since) { return direct::ageMs(Since, now()); }

} // namespace

asio::awaitable<void> FleetFollower::pollInstances() {
  unsigned Failures = 0;
  while (!m_Stopped) {
    co_await waitUntilDue(m_Instances, m_InstancesWake);
    if (m_Stopped)
      break;
    const UpdateReach Reach =
        m_Instances.isBehind() ? UpdateReach::Local : UpdateReach::All;
    const InstanceList Before = m_Read;
    const bool Succeeded = co_await readInstances();
    Failures = Succeeded ? 0 : Failures + 1;
    if (!Succeeded)
      co_await pause(retryDelay(Failures));
    else
      publishInstances(changeBetween(Before, m_Read), Reach);
  }
}

/// Reads from another entry that announced a newer list, else from the store,
/// which may reject this entry while it serves the other.
asio::awaitable<bool> FleetFollower::readInstances() {
  // Awaited in separate statements: within "&&" or a condition that returns,
  // g++ 12 resumes the awaiting coroutine at the wrong place.
  bool Succeeded = false;
  if (m_Instances.isBehind())
    Succeeded = co_await fetchAnnouncedInstances();
  if (Succeeded)
    co_return true;
  logTakeOver(m_Kinds.m_Instances, m_Instances);
  Succeeded = co_await listInstances();
  co_return Succeeded;
}

void FleetFollower::publishInstances(const InstanceListChange &Change,
                                     UpdateReach Reach) {
  const auto Fill = [&](wire::StoreNews &News) {
    wire::InstancesNews &Update = *News.mutable_instances();
    write(Change, Update);
    Update.set_revision(m_ReadRevision.m_Value);
    Update.set_age_ms(ageMs(m_Instances.asOf()));
    Update.set_is_relayed(m_Instances.isRelayed());
    if (const auto Returned = m_Expired.recentReturn(now()))
      Update.set_returned_ms(ageMs(*Returned));
  };
  publish(Fill, Reach);
}

asio::awaitable<bool> FleetFollower::listInstances() {
  const TimePoint Asked = now();
  const auto List = co_await m_Store.list(m_Kinds.m_Instances);
  logSlowRead(m_Kinds.m_Instances, Asked, m_Bounds.m_Drain, 0);
  co_return handleInstances(List, Asked);
}

asio::awaitable<bool> FleetFollower::listOldInstances() {
  const TimePoint Asked = now();
  co_return handleInstances(
      co_await m_Store.listAllowStale(m_Kinds.m_Instances), Asked);
}

bool FleetFollower::handleInstances(const Outcome<net::PlatformList> &List,
                                    TimePoint AsOf) {
  logStoreAvailability("list " + m_Kinds.m_Instances, detail::faultOf(List));
  // A time-out that passed while this process was paused is no outage of the
  // store: otherwise instances that left meanwhile would be kept.
  const bool IsOwnPause = m_Bounds.m_KeepsExpired && wasPausedSince(AsOf);
  m_HasListFailed = m_HasListFailed || (!List && !IsOwnPause);
  if (!List || m_Stopped)
    return false;
  ListTimes Times{AsOf, false, std::nullopt};
  if (m_Bounds.m_KeepsExpired &&
      showsStoreReturn(m_Instances, m_HasListFailed, now()))
    Times.m_Returned = now();
  m_HasListFailed = false;
  // A newer list was received while this one was in transit.
  if (List->m_Revision < m_ReadRevision)
    return false;
  // A list announced before this read that the store does not hold does not
  // exist.
  m_InstanceHolders.removeAnnouncedBefore(AsOf);
  adoptInstances(parseInstances(*List), List->m_Revision, Times);
  return true;
}

/// Ignores a list older than the known one: it may name instances that have
/// left since.
void FleetFollower::adoptInstances(InstanceList Listed, Revision At,
                                   const ListTimes &AsOf) {
  if (At < m_ReadRevision)
    return;
  noteInstancesAsOf(At, AsOf);
  if (m_Bounds.m_KeepsExpired && AsOf.m_Returned)
    m_Expired.storeReturned(*AsOf.m_Returned);
  applyInstances(std::move(Listed));
}

/// Records that the known list is still the newest.
void FleetFollower::keepInstances(Revision At, const ListTimes &AsOf) {
  noteInstancesAsOf(At, AsOf);
  // Lapsed instances count as listed only for a while.
  if (m_Listed.size() != m_Read.size())
    applyInstances(m_Read);
  if (m_Relay)
    m_Relay->confirmInstances(m_ReadRevision, m_Instances.asOf());
}

void FleetFollower::noteInstancesAsOf(Revision At, const ListTimes &AsOf) {
  m_ReadRevision = At;
  m_InstanceHolders.removeUpTo(At);
  const bool IsBehind = !m_InstanceHolders.empty();
  if (IsBehind)
    return;
  if (AsOf.m_AsOf)
    m_Instances.confirm(*AsOf.m_AsOf, AsOf.m_IsRelayed);
  m_Instances.noteCaughtUp();
}

/// Skips objects that cannot be parsed.
InstanceList FleetFollower::parseInstances(const net::PlatformList &List) {
  InstanceList Out;
  std::map<std::string, std::string> Unreadable;
  for (const net::UnreadableObject &Each : List.m_Unreadable)
    Unreadable.emplace(Each.m_Name, shortened(Each.m_Fault));
  for (const net::PlatformObject &Each : List.m_Items) {
    auto Parsed = outcomeOf(
        [&] { return m_Adapter.parseInstance(Each.m_Name, Each.m_Json); });
    if (!Parsed) {
      Unreadable.emplace(Each.m_Name, shortened(Parsed.error().m_Message));
      continue;
    }
    Parsed->m_Registration = Each.m_Created;
    if (!m_Bounds.m_FollowsColdStarts)
      Parsed->m_ColdLeft = {};
    Out.emplace(Parsed->m_Id, std::move(*Parsed));
  }
  logUnreadableInstances(std::move(Unreadable));
  return Out;
}

/// Logs each change of the unreadable objects once rather than at each read.
void FleetFollower::logUnreadableInstances(
    std::map<std::string, std::string> Unreadable) {
  for (const auto &[Name, Fault] : Unreadable) {
    const auto Known = m_Unreadable.find(Name);
    if (Known == m_Unreadable.end() || Known->second != Fault)
      net::log(Event::InstanceUnreadable, {{"name", Name}, {"error", Fault}});
  }
  for (const auto &[Name, Fault] : m_Unreadable)
    if (!Unreadable.contains(Name))
      net::log(Event::InstanceReadable, {{"name", Name}});
  m_Unreadable = std::move(Unreadable);
  net::metrics()
      .gauge("deckpitch_unreadable_instances")
      .set(static_cast<std::int64_t>(m_Unreadable.size()));
}

void FleetFollower::applyInstances(InstanceList Read) {
  if (m_Relay)
    m_Relay->hold(HeldInstances{Read, m_ReadRevision, m_Instances.asOf(),
                                m_Expired.recentReturn(now())});
  m_Read = std::move(Read);
  m_ReadFingerprint = fingerprintOf(m_Read);
  InstanceList Listed = m_Expired.complete(m_Read, m_Listed, now());
  if (m_KnowsInstances && Listed == m_Listed)
    return;
  logChanges(Listed);
  m_Listed = std::move(Listed);
  m_KnowsInstances = true;
  std::vector<FleetInstance> All;
  for (const auto &[Id, Each] : m_Listed)
    All.push_back(Each);
  m_Calls.m_OnInstances(All);
}

/// Logs the differences between the previous view of the list and the new one.
void FleetFollower::logChanges(const InstanceList &Now) {
  const auto Log = [](Event What, const FleetInstance &Each) {
    net::log(What, {{"instance", Each.m_Id.m_Text},
                    {"address", Each.m_Address},
                    {"service", Each.m_Service.m_Text},
                    {"dataCentre", Each.m_DataCentre.m_Text}});
  };
  for (const auto &[Id, Each] : m_Listed) {
    const bool IsKept = Now.contains(Id) && !m_Read.contains(Id);
    if (!Now.contains(Id))
      Log(Event::InstanceGone, Each);
    else if (IsKept)
      Log(Event::InstanceExpired, Each);
  }
  for (const auto &[Id, Each] : Now) {
    const auto Known = m_Listed.find(Id);
    const bool IsNew = Known == m_Listed.end();
    const bool StartsToLeave =
        Each.m_IsLeaving && (IsNew || !Known->second.m_IsLeaving);
    const bool WasCold = !IsNew && Known->second.m_ColdLeft.count() != 0;
    if (Each.m_ColdLeft.count() != 0 && !WasCold)
      Log(Event::InstanceCold, Each);
    if (StartsToLeave)
      Log(Event::InstanceLeaving, Each);
    else if (IsNew)
      Log(Event::InstanceListed, Each);
  }
}

} // namespace deckpitch::direct
