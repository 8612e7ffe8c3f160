// An entry's knowledge of all members: heartbeats, other entries' records and
// the platform's lagging list, joined into one view.
#pragma once

#include "deckpitch/entry-choice.h"
#include "deckpitch/membership.h"
#include "deckpitch/settings.h"
#include "deckpitch/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace deckpitch {

/// What entries tell each other of a member. Of two records the one with the
/// newer incarnation, then the newer sequence wins; at the same sequence, the
/// worse state.
struct MemberRecord {
  Member m_Member;
  std::uint64_t m_Sequence = 0; ///< heartbeats of this incarnation

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// A short heartbeat: what changes all the time.
struct Heartbeat {
  InstanceId m_Id;
  Incarnation m_Incarnation;
  std::uint64_t m_Sequence = 0;
  Revision m_InForce;
  LoadReport m_Load;
};

/// The platform's word on one instance.
struct ListedInstance {
  InstanceId m_Id;
  bool m_Leaving = false;
};

/// A member that was not heard in time here; the other entries that watch it
/// are asked before it is suspected.
struct SilenceQuestion {
  InstanceId m_Silent;
  std::vector<InstanceId> m_Watchers;
};

class MembershipTable {
public:
  MembershipTable(Member Self, MembershipSettings Limits);

  /// Replaces this entry's own member, at its next heartbeat.
  void setSelf(Member Self, std::uint64_t Sequence);
  /// A whole heartbeat from the member itself. False when it is an old one.
  bool heard(TimePoint Now, const MemberRecord &Record);
  /// A short heartbeat. False when the member's whole record is not known.
  bool heardShort(TimePoint Now, const Heartbeat &Short);
  /// A record from another entry; true when it was news.
  bool merge(TimePoint Now, const MemberRecord &Record);
  /// The platform's list. It lags, so it neither revives nor kills: its mark
  /// of leaving counts, for the life that was known when the mark appeared.
  void applyPlatformList(const std::vector<ListedInstance> &List);
  /// Judges silence. Gives the questions to put to other entries.
  std::vector<SilenceQuestion> tick(TimePoint Now);

  /// Changed records that are still to be told, those told least first. Each
  /// is given as often as a rumour needs to reach all entries.
  std::vector<MemberRecord> takeChanges(std::size_t Most);
  std::vector<MemberRecord> records() const;
  const MemberRecord *find(const InstanceId &Id) const;
  /// The life of this member that is leaving, as far as is known here; no life
  /// when it is not. For this entry itself: what the platform's list says.
  Incarnation leavingLife(const InstanceId &Id) const;
  /// Equal at entries with the same view, but for load and sequences.
  std::uint64_t digest() const;
  MembershipView view() const;
  /// Entries that are not gone, this one included.
  std::vector<EntryCandidate> entries() const;
  /// The entries that watch this member, as far as this entry knows.
  std::vector<InstanceId> watchersOf(const Member &Watched) const;

private:
  struct Known {
    MemberRecord m_Record;
    TimePoint m_Heard; ///< newest sequence arrived, by whatever way
    TimePoint m_Asked; ///< when the other watchers were asked
    bool m_HasAsked = false;
    bool m_WatchedHere = false;
    bool m_Leaving = false; ///< for good in this incarnation
    unsigned m_Told = 0;    ///< how often the newest change was given away
  };

  bool take(TimePoint Now, const MemberRecord &Record, MemberSource Source);
  void judge(TimePoint Now, Known &Of, std::vector<SilenceQuestion> &Out);
  void forgetGone(TimePoint Now);

  InstanceId m_SelfId;
  MembershipSettings m_Limits;
  std::map<InstanceId, Known> m_Known;
  std::map<InstanceId, Incarnation> m_ListedLeaving;
};

} // namespace deckpitch
