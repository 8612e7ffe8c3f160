// An entry's view of all members, merged from heartbeats, other entries'
// records and the platform's lagging instance list.
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

/// A member's record, as entries exchange it. Of two records the one with the
/// newer incarnation wins, then the one with the newer sequence; at the same
/// sequence, the one with the worse state.
struct MemberRecord {
  Member m_Member;
  std::uint64_t m_Sequence = 0; ///< heartbeats of this incarnation

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// A short heartbeat: the fields that change all the time.
struct Heartbeat {
  InstanceId m_Id;
  Incarnation m_Incarnation;
  std::uint64_t m_Sequence = 0;
  Revision m_InForce;
  LoadReport m_Load;
};

/// One instance in the platform's list.
struct ListedInstance {
  InstanceId m_Id;
  bool m_Leaving = false;
};

/// A member whose heartbeat is overdue here. The other entries that watch it
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
  /// Takes a full heartbeat from the member itself. Returns false if it is
  /// outdated.
  bool receiveHeartbeat(TimePoint Now, const MemberRecord &Record);
  /// Takes a short heartbeat. Returns false if the member's full record is not
  /// known.
  bool receiveShortHeartbeat(TimePoint Now, const Heartbeat &Short);
  /// Merges a record from another entry. Returns true if it changed anything.
  bool merge(TimePoint Now, const MemberRecord &Record);
  /// Applies the platform's list. The list lags, so it neither revives members
  /// nor declares them gone. Its leaving mark counts, for the incarnation that
  /// was known when the mark appeared.
  void applyPlatformList(const std::vector<ListedInstance> &List);
  /// Updates the states of silent members, and returns the questions to ask
  /// other entries.
  std::vector<SilenceQuestion> tick(TimePoint Now);

  /// Takes at most Most changed records that have yet to be sent, those sent
  /// least often first. Each is returned as often as gossip needs to reach all
  /// entries.
  std::vector<MemberRecord> takeChanges(std::size_t Most);
  std::vector<MemberRecord> records() const;
  const MemberRecord *find(const InstanceId &Id) const;
  /// Returns the incarnation of this member that is leaving, as far as is known
  /// here; an empty one if it is not. For this entry itself, it is what the
  /// platform's list says.
  Incarnation leavingIncarnation(const InstanceId &Id) const;
  /// Returns a hash of the view, without load and sequences, which is equal at
  /// entries with the same view.
  std::uint64_t digest() const;
  MembershipView view() const;
  /// Returns the entries that are not gone, this one included.
  std::vector<EntryCandidate> entries() const;
  /// Returns the entries that watch this member, as far as this entry knows.
  std::vector<InstanceId> watchersOf(const Member &Watched) const;

private:
  struct Known {
    MemberRecord m_Record;
    TimePoint m_LastUpdate; ///< arrival of the newest sequence, on any path
    TimePoint m_Asked;      ///< when the other watchers were asked
    bool m_HasAsked = false;
    bool m_IsWatchedHere = false;
    bool m_Leaving = false;   ///< permanent in this incarnation
    unsigned m_TimesSent = 0; ///< how often the newest change was sent
  };

  bool apply(TimePoint Now, const MemberRecord &Record, MemberSource Source);
  void updateSilence(TimePoint Now, Known &Observed,
                     std::vector<SilenceQuestion> &Out);
  void dropGone(TimePoint Now);

  InstanceId m_SelfId;
  MembershipSettings m_Limits;
  std::map<InstanceId, Known> m_Known;
  std::map<InstanceId, Incarnation> m_ListedLeaving;
};

} // namespace deckpitch
