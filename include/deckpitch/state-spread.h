// Distribution of the states of all instances to all entries. A relay passes on
// those of its data centre.
#pragma once

#include "deckpitch/relay-choice.h"
#include "deckpitch/state-batch.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace deckpitch {

/// Interval between a relay's rounds to the entries of its data centre: with
/// the agents' interval of 50 ms, what they know stays younger than 0.15 s.
inline constexpr Duration LocalInterval = std::chrono::milliseconds(100);
/// Interval between rounds to another data centre: entries there send requests
/// here only if their own instances cannot take them.
inline constexpr Duration RemoteInterval = std::chrono::milliseconds(200);
/// Interval in which a relay repeats unchanged states, because datagrams are
/// lost.
inline constexpr Duration RepeatInterval = std::chrono::seconds(1);
/// Time without a batch from the own relays after which they count as silent:
/// four rounds of two relays are not all lost by chance.
inline constexpr Duration RelayTimeout = std::chrono::milliseconds(400);
/// Minimum time for which an entry then receives the agents' reports directly:
/// until its data centre has chosen other relays and their batches arrive.
inline constexpr Duration MinDirectReporting = std::chrono::seconds(2);
/// Time without a batch from the partner relay in another data centre after
/// which it counts as silent: three of its rounds were lost.
inline constexpr Duration PathTimeout = std::chrono::milliseconds(600);

/// Address of an instance in the current instance list.
struct ListedAddress {
  std::string m_Address;
  DataCentreId m_DataCentre;

  friend bool operator==(const ListedAddress &,
                         const ListedAddress &) = default;
};

/// A state and when the agent reported it. The true time is not later, as far
/// as is known here, apart from the usual network delay of the datagrams.
struct KnownState {
  SpreadState m_Latest;
  TimePoint m_AsOf;

  friend bool operator==(const KnownState &, const KnownState &) = default;
};

/// One batch, the same for each of the receivers.
struct StateSend {
  std::vector<InstanceId> m_To;
  StateBatch m_Batch;

  friend bool operator==(const StateSend &, const StateSend &) = default;
};

/// Decides what an entry knows of the instances, and what it sends to which
/// other entries. Uses no clock and no socket.
///
/// Agents report to the relays of their data centre. Each relay sends the
/// states to all entries there, and to the relay of its rank in each other data
/// centre, which sends them to the entries of its own. So a change crosses each
/// border twice, on paths that share no process.
///
/// Of two states the one with the larger order is kept, whoever sent it. A
/// smaller incarnation counts only if nothing younger than MaxStateAge is known
/// of the larger one, so that an agent whose clock was set back is not ignored
/// for ever.
class StateSpread {
public:
  explicit StateSpread(EntryCandidate Own) : m_Own(std::move(Own)) {}

  /// Sets the live entries of all data centres, this one included.
  void setEntries(const std::vector<EntryCandidate> &Live, TimePoint Now);
  /// Sets the listed instances. The states of all others are dropped, and
  /// rejected when they arrive.
  void setInstances(const std::vector<ListedAddress> &Listed);
  /// Takes an agent's own datagram, which arrived later than usual by Late.
  void receiveReport(const SpreadState &State, TimePoint Now,
                     Duration Late = {});
  /// Takes another entry's datagram, which arrived later than usual by Late.
  void receiveBatch(const InstanceId &From, const StateBatch &Received,
                    TimePoint Now, Duration Late = {});

  /// Returns the batches to send now. To be called after each change and every
  /// few milliseconds.
  std::vector<StateSend> due(TimePoint Now);
  /// Returns whether the agents of this data centre must report to this entry:
  /// to relays, and to an entry whose relays are silent.
  bool wantsReports(TimePoint Now) const;
  /// Returns the latest known state of the instance; the caller decides how old
  /// it may be.
  std::optional<KnownState> find(const std::string &Address) const;
  /// Returns the number of states that were rejected: not listed, too old, in
  /// an unknown format, or too many. A rejected batch without states counts as
  /// one.
  std::uint64_t refusedStates() const { return m_Refused; }

private:
  struct Instance {
    DataCentreId m_DataCentre;
    std::optional<KnownState> m_Known;
  };
  /// The states of the instances in m_Of, sent to entries in m_To.
  struct Path {
    DataCentreId m_Of;
    DataCentreId m_To;

    friend auto operator<=>(const Path &, const Path &) = default;
  };
  /// What has yet to be sent to the entries at the end of a path.
  struct Channel {
    std::vector<InstanceId> m_Targets; ///< at the last update, sorted
    std::set<std::string> m_Pending;   ///< addresses to send in the next round
    std::set<std::string> m_Urgent;    ///< those of them to send at once
    TimePoint m_NextRound{};
    TimePoint m_RepeatedUntil{};
  };
  /// The relays of another data centre that this relay exchanges batches with.
  struct Partners {
    std::vector<InstanceId> m_Ids;
    TimePoint m_Since{};
  };
  /// An entry of another data centre that sent the states of the instances
  /// there.
  struct RemoteSender {
    DataCentreId m_Of;
    TimePoint m_Heard{};
  };

  const std::vector<InstanceId> &relaysOf(const DataCentreId &DataCentre) const;
  bool isLocal(const InstanceId &Entry) const;
  bool maySendFor(const InstanceId &Entry,
                  const DataCentreId &DataCentre) const;
  void setPartners(const DataCentreId &DataCentre, TimePoint Now);
  void setChannels();

  void noteSender(const InstanceId &From, const DataCentreId &DataCentre,
                  TimePoint Now);
  void receiveState(const InstanceId &From, const DataCentreId &DataCentre,
                    const AgedState &Received, TimePoint Now, Duration Late);
  ReportChange update(Instance &About, const KnownState &Received,
                      TimePoint Now);
  void markLocal(const DataCentreId &DataCentre, const std::string &Address,
                 ReportChange Change);
  void markRemote(const std::string &Address, ReportChange Change);

  std::vector<InstanceId> targetsOf(const Path &Along, TimePoint Now) const;
  std::vector<InstanceId> localTargets(const DataCentreId &DataCentre) const;
  std::vector<InstanceId> remoteTargets(const DataCentreId &To,
                                        TimePoint Now) const;
  bool isSilent(const Partners &Group, TimePoint Now) const;
  void updateTargets(const Path &Along, Channel &To, TimePoint Now) const;
  void addRepeats(const Path &Along, Channel &To, TimePoint Now) const;
  void addDueBatches(const Path &Along, Channel &To, TimePoint Now,
                     std::vector<StateSend> &Out) const;
  std::vector<AgedState> statesFor(const std::set<std::string> &Addresses,
                                   TimePoint Now) const;

  EntryCandidate m_Own;
  std::map<InstanceId, DataCentreId> m_Live;
  std::map<DataCentreId, std::vector<InstanceId>> m_Relays; ///< by rank
  /// Rank among the own relays; none: not a relay.
  std::optional<std::size_t> m_Rank;
  std::map<DataCentreId, Partners> m_Partners;
  std::map<InstanceId, RemoteSender> m_RemoteSenders;
  std::map<std::string, Instance> m_Instances; ///< by address
  std::set<DataCentreId> m_InstanceCentres;
  std::map<Path, Channel> m_Channels; ///< empty unless this entry is a relay
  std::optional<TimePoint> m_LastRelayBatch;
  TimePoint m_DirectReportsUntil{};
  std::uint64_t m_Refused = 0;
};

} // namespace deckpitch
