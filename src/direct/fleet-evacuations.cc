// How FleetFollower reads, keeps and announces which data centres the operators
// evacuate.
#include "daemon/clock.h"
#include "direct/fleet-follower.h"
#include "direct/store-updates.h"
#include "net/log.h"

#include <set>
#include <string>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

FleetFollower::FollowedKind FleetFollower::followedEvacuations() {
  const Duration Bound = m_Bounds.m_Evacuate.value_or(m_Bounds.m_Apply);
  FollowedKind Out{m_Kinds.m_Evacuations,
                   SharedReading(planFor(Bound)),
                   {},
                   asio::steady_timer(m_Io)};
  Out.m_Apply = [this](const net::PlatformObject &Object) {
    std::set<DataCentreId> Now = m_Evacuated;
    Now.insert({Object.m_Name});
    setEvacuations(std::move(Now));
  };
  Out.m_ApplyDeleted = [this](const net::PlatformObject &Object) {
    std::set<DataCentreId> Now = m_Evacuated;
    Now.erase({Object.m_Name});
    setEvacuations(std::move(Now));
  };
  Out.m_ApplyList = [this](const net::PlatformList &Read) {
    std::set<DataCentreId> Listed;
    for (const net::PlatformObject &Each : Read.m_Items)
      Listed.insert({Each.m_Name});
    // One that can no longer be read has not been taken back.
    for (const net::UnreadableObject &Each : Read.m_Unreadable)
      if (m_Evacuated.contains({Each.m_Name}))
        Listed.insert({Each.m_Name});
    setEvacuations(std::move(Listed));
  };
  Out.m_FillUpdate = [this](wire::StoreNews &News) {
    wire::EvacuationsNews &Update = *News.mutable_evacuations();
    for (const DataCentreId &Each : m_Evacuated)
      Update.add_data_centres(Each.m_Text);
    Update.set_revision(m_Evacuations.m_Seen.m_Value);
    Update.set_age_ms(ageMs(m_Evacuations.m_Reading.asOf(), now()));
    Update.set_is_relayed(m_Evacuations.m_Reading.isRelayed());
  };
  return Out;
}

/// Revisions order the sets: ages do not distinguish two that were read within
/// a few milliseconds.
void FleetFollower::onEvacuationsUpdate(const wire::EvacuationsNews &News,
                                        const UpdateSource &From,
                                        TimePoint Now) {
  const Revision At{News.revision()};
  if (!m_Bounds.m_Evacuate || At.m_Value == 0 || At < m_Evacuations.m_Seen)
    return;
  m_Evacuations.m_Seen = At;
  std::set<DataCentreId> Announced;
  for (const std::string &Each : News.data_centres())
    Announced.insert({Each});
  const ReportedReading Told{milliseconds(News.age_ms()), From.m_ExtraDelay,
                             From.m_IsLocal, News.is_relayed()};
  confirmIfCertain(m_Evacuations.m_Reading, Told, Now);
  setEvacuations(std::move(Announced));
}

void FleetFollower::setEvacuations(std::set<DataCentreId> DataCentres) {
  const bool IsChange = !m_KnowsEvacuations || DataCentres != m_Evacuated;
  m_KnowsEvacuations = true;
  m_Evacuated = std::move(DataCentres);
  if (IsChange && m_Calls.m_OnEvacuations)
    m_Calls.m_OnEvacuations(m_Evacuated);
}

} // namespace deckpitch::direct
