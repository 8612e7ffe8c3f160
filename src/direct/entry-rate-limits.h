// The part of an entry that counts requests to instances which limit them and
// whose agents do not report, and that reports on limits.
#pragma once

#include "deckpitch/instance-table.h"
#include "deckpitch/rate-limit.h"
#include "direct/entry-peers.h"
#include "direct/entry-requests.h"
#include "proto/link.pb.h"

#include <boost/json/array.hpp>

namespace deckpitch::direct {

/// Has no clock or socket of its own.
class EntryRateLimits {
public:
  EntryRateLimits(InstanceTable &Instances, const EntryPeers &Peers)
      : m_Instances(Instances), m_Peers(Peers) {}

  /// The entry that counts the requests of all entries to the instance.
  const EntryAddress &grantorOf(const InstanceId &Id, bool IncludeOwn,
                                TimePoint Now) const {
    const FleetInstance *Known = m_Instances.find(Id);
    return m_Peers.responsibleFor(Id.m_Text,
                                  Known ? Known->m_DataCentre : DataCentreId{},
                                  IncludeOwn, Now);
  }
  /// Decides on a question of this entry or of another one.
  SlotReply decide(const SlotQuestion &Question, TimePoint Now);
  /// Answers another entry's question.
  wire::PlaceAnswer answer(const wire::PlaceQuery &Query, TimePoint Now);
  /// Logs and counts what has changed, and forgets what is no longer needed.
  void update(TimePoint Now);
  boost::json::array dump(TimePoint Now) const;

private:
  InstanceTable &m_Instances;
  const EntryPeers &m_Peers;
  RateGrants m_Grants;
};

} // namespace deckpitch::direct
