// The entries that an entry knows: for callers who ask for addresses, and to
// share what all entries together may do.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/shared-reading.h"
#include "deckpitch/time.h"
#include "direct/state-link.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace deckpitch::direct {

/// Which entries are told what one has learnt.
enum class NewsReach { All, Near };

/// How an entry is reached.
struct EntryAddress {
  InstanceId m_Id;
  DataCentreId m_DataCentre;
  std::string m_Link;    ///< for datagrams
  std::string m_Callers; ///< for callers

  friend bool operator==(const EntryAddress &, const EntryAddress &) = default;
};

/// Addresses of entries to which hellos are due.
struct DueHellos {
  /// That are to say what is known of the store too: to all of the own data
  /// centre, and from its first entries to those of others. Who has missed a
  /// change hears of it with one of the next few.
  std::vector<std::string> m_Telling;
  std::vector<std::string> m_Plain;

  friend bool operator==(const DueHellos &, const DueHellos &) = default;
};

/// An entry lives while its hellos come. No clock and no socket of its own.
class EntryPeers {
public:
  explicit EntryPeers(EntryAddress Own) : m_Own(std::move(Own)) {}

  /// From the store: told where to send hellos to, not that it lives.
  void learn(const EntryAddress &Listed);
  void heard(const wire::LinkMessage &Message, const std::string &From,
             TimePoint Now);

  /// Where hellos are due now; the spans grow with the number of entries, so
  /// that each receives no more than a hundred a second.
  DueHellos dueHellos(TimePoint Now);

  /// Entries that take callers, this one included if it does.
  std::size_t liveCount(TimePoint Now) const;
  /// Entries that were ever listed or heard, this one included: who is cut off
  /// still takes callers.
  std::size_t knownCount() const { return 1 + m_Peers.size(); }
  /// Where to tell what this entry has read from the store: to all that share
  /// a reader, or to those of them in its own data centre.
  std::vector<std::string> group(TimePoint Now, NewsReach Reach) const;
  /// Entries of that group that read the store before this one: those that take
  /// callers and whose id is smaller.
  ReadingTurn ownTurn(TimePoint Now) const;
  /// Whether the entry with that link address is in this data centre.
  bool isNear(const std::string &Link) const;
  /// For a caller in that data centre: the entries there if there are enough
  /// of them, else all.
  std::vector<std::string> addressesFor(const DataCentreId &Caller,
                                        bool IncludeOwn, TimePoint Now) const;
  const EntryAddress &own() const { return m_Own; }

private:
  struct Peer {
    EntryAddress m_Address;
    LinkOrder m_Order;
    TimePoint m_Heard{};
    bool m_WasHeard = false;
    bool m_TakesCallers = false;
    TimePoint m_NextHello{};
  };

  bool isLive(const Peer &Each, TimePoint Now) const;
  bool isInGroup(const Peer &Each, TimePoint Now) const;
  bool isNear(const Peer &Each) const;
  Duration helloSpan() const;

  EntryAddress m_Own;
  std::map<InstanceId, Peer> m_Peers;
};

} // namespace deckpitch::direct
