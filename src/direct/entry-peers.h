// The entries that an entry knows: to answer callers who ask for addresses, and
// to divide limits among all entries.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/shared-reading.h"
#include "deckpitch/time.h"
#include "direct/state-link.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace deckpitch::direct {

/// Which entries receive an update: all of the group, or the local ones.
enum class UpdateReach { All, Local };

/// How an entry is reached.
struct EntryAddress {
  InstanceId m_Id;
  DataCentreId m_DataCentre;
  std::string m_Link;    ///< for datagrams
  std::string m_Callers; ///< for callers

  friend bool operator==(const EntryAddress &, const EntryAddress &) = default;
};

/// Link addresses of entries to which hellos are due.
struct DueHellos {
  /// Hellos that include the digest of the store. All entries send it within
  /// their data centre, and the relays of each to those of others, so that a
  /// lost update is noticed within a few hellos.
  std::vector<std::string> m_WithDigest;
  std::vector<std::string> m_WithoutDigest;

  friend bool operator==(const DueHellos &, const DueHellos &) = default;
};

/// Tracks the liveness of entries by their hellos. Has no clock or socket of
/// its own.
class EntryPeers {
public:
  explicit EntryPeers(EntryAddress Own) : m_Own(std::move(Own)) {}

  /// Adds an entry that the store lists: hellos are sent to it, but it is not
  /// live until one of its own arrives.
  void addListed(const EntryAddress &Listed);
  void onHello(const wire::LinkMessage &Message, const std::string &From,
               TimePoint Now);

  /// The hellos that are due now. Those to other data centres are sent by the
  /// first entries of each, unless the fleet is so small that one entry reads
  /// the store for all.
  DueHellos dueHellos(TimePoint Now);

  /// Number of live entries that accept callers, counting this one.
  std::size_t liveCount(TimePoint Now) const;
  /// Number of entries ever listed or received from, including this one, here
  /// or at an entry that sends hellos: an entry cut off by a network failure
  /// may still accept callers.
  std::size_t knownCount() const {
    return std::max(1 + m_Peers.size(), m_ToldCount);
  }
  /// Interval of this entry's hellos. It grows with the number of entries that
  /// send hellos here, so that each receives at most a hundred a second.
  Duration helloInterval() const;
  /// Link addresses of the live entries that share one reader of the store with
  /// this one, or of those among them in this data centre.
  std::vector<std::string> group(TimePoint Now, UpdateReach Reach) const;
  /// Number of entries of the group that read the store before this one: those
  /// that accept callers and have a smaller id.
  ReadRank ownRank(TimePoint Now) const;
  /// Whether this entry is one of the first of its data centre, which exchange
  /// hellos with the entries of other data centres.
  bool isRelay(TimePoint Now) const;
  /// The data centres of the live entries, its own included.
  std::set<DataCentreId> liveCentres(TimePoint Now) const;
  /// Whether the entry with that link address is in this data centre.
  bool isLocal(const std::string &Link) const;
  /// Addresses for a caller in a data centre: the entries there if there are
  /// enough of them, else all.
  std::vector<std::string> addressesFor(const DataCentreId &Caller,
                                        bool IncludeOwn, TimePoint Now) const;
  /// Addresses of the entries in data centres for which the condition holds.
  std::vector<std::string>
  addressesWhere(const std::function<bool(const DataCentreId &)> &Holds,
                 bool IncludeOwn, TimePoint Now) const;
  /// The entry that all entries choose for a duty in the data centre: one of
  /// those that all of them know to be live; this one if there is no other.
  const EntryAddress &responsibleFor(const std::string &Duty,
                                     const DataCentreId &DataCentre,
                                     bool IncludeOwn, TimePoint Now) const;
  const EntryAddress &own() const { return m_Own; }

private:
  struct Peer {
    EntryAddress m_Address;
    LinkOrder m_Order;
    TimePoint m_LastHello{};
    bool m_HasHello = false;
    bool m_TakesCallers = false;
    TimePoint m_NextHello{};
    /// Between two of its hellos, as it says; nothing: it does not say.
    std::optional<Duration> m_Interval;
  };

  void setAddress(Peer &Known, const EntryAddress &Address);
  void countCorrespondents();

  /// Whether one entry reads the store for all, so that all know each other.
  bool sharesReadsWithAll() const;
  const EntryAddress *firstIn(const DataCentreId &DataCentre, bool IncludeOwn,
                              TimePoint Now) const;
  bool isLive(const Peer &Each, TimePoint Now) const;
  bool isInGroup(const Peer &Each, TimePoint Now) const;
  bool isLocal(const Peer &Each) const;

  EntryAddress m_Own;
  std::map<InstanceId, Peer> m_Peers;
  std::size_t m_Correspondents = 0; ///< entries that send hellos here
  std::size_t m_ToldCount = 0;      ///< the most that another entry knows
};

} // namespace deckpitch::direct
