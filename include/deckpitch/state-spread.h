// How an entry learns the states of all instances and, as a relay, passes on
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

/// Between two rounds of a relay to the entries of its data centre: with the
/// agents' span of 50 ms what they know stays younger than 0.15 s.
inline constexpr Duration NearSpan = std::chrono::milliseconds(100);
/// Between two rounds to another data centre: entries there send here only what
/// their own instances cannot take.
inline constexpr Duration FarSpan = std::chrono::milliseconds(200);
/// In which a relay tells again what has not changed, for lost datagrams.
inline constexpr Duration RepeatSpan = std::chrono::seconds(1);
/// Without a word of the own relays: four rounds of two relays are not all
/// lost by chance.
inline constexpr Duration RelaySilence = std::chrono::milliseconds(400);
/// For so long at least an entry then hears the agents itself: until its data
/// centre has chosen other relays, and these are heard.
inline constexpr Duration LeastOwnHearing = std::chrono::seconds(2);
/// Without a word of the relay that one talks to in another data centre: three
/// rounds of it were lost.
inline constexpr Duration PathSilence = std::chrono::milliseconds(600);

/// An address that the fleet lists now.
struct ListedAddress {
  std::string m_Address;
  DataCentreId m_DataCentre;

  friend bool operator==(const ListedAddress &,
                         const ListedAddress &) = default;
};

/// A state, and when the agent said it: not later than that, as far as is known
/// here, but for the datagrams' usual time on the way.
struct KnownState {
  SpreadState m_Said;
  TimePoint m_AsOf;

  friend bool operator==(const KnownState &, const KnownState &) = default;
};

/// One batch, the same for each of the receivers.
struct StateSend {
  std::vector<InstanceId> m_To;
  StateBatch m_Batch;

  friend bool operator==(const StateSend &, const StateSend &) = default;
};

/// No clock and no socket. Agents report to the relays of their data centre.
/// These tell all entries there, and each the relay of its rank in each other
/// data centre, which tells the entries of its own. So a change crosses each
/// border twice, on paths that share no process. Of two states the one with the
/// larger order is known, whoever told it. A smaller incarnation counts only
/// when nothing younger than LongestUse is known of the larger one, so that an
/// agent whose clock was set back is not unheard for ever.
class StateSpread {
public:
  explicit StateSpread(EntryCandidate Own) : m_Own(std::move(Own)) {}

  /// The live entries of all data centres, this one included.
  void setEntries(const std::vector<EntryCandidate> &Live, TimePoint Now);
  /// What is not listed is forgotten, and not believed when it is told.
  void setInstances(const std::vector<ListedAddress> &Listed);
  /// An agent's own datagram, that came so much later than usual.
  void hearAgent(const SpreadState &Said, TimePoint Now, Duration Late = {});
  /// Another entry's datagram, that came so much later than usual.
  void hearEntry(const InstanceId &From, const StateBatch &Told, TimePoint Now,
                 Duration Late = {});

  /// What to send now. To be asked after each change, and each few
  /// milliseconds.
  std::vector<StateSend> due(TimePoint Now);
  /// Whether the agents of this data centre are to report to this entry: to
  /// relays, and to one that hears of none.
  bool wantsReports(TimePoint Now) const;
  /// How old it may be for a use, the caller decides.
  std::optional<KnownState> find(const std::string &Address) const;
  /// States that entries or agents told and that could not be believed: not
  /// listed, too old, in another format or too many. Of a refused batch without
  /// states the batch counts.
  std::uint64_t refusedStates() const { return m_Refused; }

private:
  struct Instance {
    DataCentreId m_DataCentre;
    std::optional<KnownState> m_Known;
  };
  /// Whose states, and to the entries of which data centre.
  struct Path {
    DataCentreId m_Of;
    DataCentreId m_To;

    friend auto operator<=>(const Path &, const Path &) = default;
  };
  /// What the entries at the end of a path are still to be told.
  struct Channel {
    std::vector<InstanceId> m_Targets; ///< when last looked, sorted
    std::set<std::string> m_Behind;    ///< addresses, with the next round
    std::set<std::string> m_Urgent;    ///< of these, at once
    TimePoint m_NextRound{};
    TimePoint m_RepeatedTo{};
  };
  /// The relay, or relays, of another data centre that this one talks to.
  struct Partners {
    std::vector<InstanceId> m_Ids;
    TimePoint m_Since{};
  };
  /// An entry of another data centre that told of the instances there.
  struct Teller {
    DataCentreId m_Of;
    TimePoint m_Heard{};
  };

  const std::vector<InstanceId> &relaysOf(const DataCentreId &Of) const;
  bool isNear(const InstanceId &Entry) const;
  bool mayTellOf(const InstanceId &Entry, const DataCentreId &Of) const;
  void setPartners(const DataCentreId &In, TimePoint Now);
  void setChannels();

  void hearTeller(const InstanceId &From, const DataCentreId &Of,
                  TimePoint Now);
  void hearState(const InstanceId &From, const DataCentreId &Of,
                 const ToldState &Told, TimePoint Now, Duration Late);
  ReportChange learn(Instance &About, const KnownState &Told, TimePoint Now);
  void markNear(const DataCentreId &Of, const std::string &Address,
                ReportChange Change);
  void markFar(const std::string &Address, ReportChange Change);

  std::vector<InstanceId> targetsOf(const Path &Along, TimePoint Now) const;
  std::vector<InstanceId> nearTargets(const DataCentreId &Of) const;
  std::vector<InstanceId> farTargets(const DataCentreId &To,
                                     TimePoint Now) const;
  bool isSilent(const Partners &Of, TimePoint Now) const;
  void setTargets(const Path &Along, Channel &To, TimePoint Now) const;
  void addRepeats(const Path &Along, Channel &To, TimePoint Now) const;
  void tell(const Path &Along, Channel &To, TimePoint Now,
            std::vector<StateSend> &Out) const;
  std::vector<ToldState> statesFor(const std::set<std::string> &Addresses,
                                   TimePoint Now) const;

  EntryCandidate m_Own;
  std::map<InstanceId, DataCentreId> m_Live;
  std::map<DataCentreId, std::vector<InstanceId>> m_Relays; ///< by rank
  std::optional<std::size_t> m_Rank; ///< among the own relays; none: no relay
  std::map<DataCentreId, Partners> m_Partners;
  std::map<InstanceId, Teller> m_Tellers;
  std::map<std::string, Instance> m_Instances; ///< by address
  std::set<DataCentreId> m_InstanceCentres;
  std::map<Path, Channel> m_Channels; ///< none unless it is a relay
  std::optional<TimePoint> m_RelayHeard;
  TimePoint m_OwnHearingUntil{};
  std::uint64_t m_Refused = 0;
};

} // namespace deckpitch
