// Simulation of entries and agents of several data centres in virtual time: how
// the states of all instances reach all entries.
#pragma once

#include "deckpitch/state-spread.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace deckpitch::simulation {

struct SpreadOptions {
  std::size_t m_DataCentres = 5;
  std::size_t m_Entries = 149; ///< assigned to the data centres round-robin
  std::size_t m_Instances = 204;
  Duration m_LocalDelay = std::chrono::microseconds(900);
  Duration m_RemoteDelay = std::chrono::microseconds(1'800);
  double m_LossShare = 0;
  /// Probability that an instance's counts change between inspections.
  double m_ChangeChance = 1;
  std::uint64_t m_Seed = 1;
};

/// Bytes of a datagram besides the estimated ones: headers of the network and
/// of the link's message.
inline constexpr std::size_t HeaderBytes = 28 + 24;

/// Datagrams and their estimated bytes.
struct Traffic {
  std::uint64_t m_Datagrams = 0;
  std::uint64_t m_Bytes = 0;

  friend bool operator==(const Traffic &, const Traffic &) = default;
};

/// Counts since the start, or since the last reset.
struct SpreadCounts {
  std::vector<Traffic> m_AgentsSent;      ///< by agent
  std::vector<Traffic> m_EntriesReceived; ///< by entry
  std::vector<Traffic> m_EntriesSent;     ///< by entry
  Traffic m_Hellos;                       ///< from entries to agents
  Traffic m_AcrossBorders;
  std::uint64_t m_StatesAcrossBorders = 0;
  std::uint64_t m_Changes = 0; ///< reports that differ from the previous one
};

/// Ages of the states that entries know, of instances in their own data centre
/// and in others. An unknown state is as old as the simulation.
struct SpreadAges {
  std::vector<Duration> m_Local;
  std::vector<Duration> m_Remote;
  /// Maximum by which a state was older than its entry assumed.
  Duration m_MaxAgeError{};

  friend bool operator==(const SpreadAges &, const SpreadAges &) = default;
};

/// Returns the age that the given percentage does not exceed; 0 for no ages.
Duration percentile(std::vector<Duration> Of, double InHundred);

/// A simulated network of entries and agents. Each process has its own phase.
/// Entries are polled for due batches every 10 ms, and learn of each death and
/// return after a delay.
class SpreadNetwork {
public:
  explicit SpreadNetwork(SpreadOptions Options);

  void runFor(Duration Length);
  /// As runFor(Length), and samples the ages in between.
  void runFor(Duration Length, SpreadAges &Into);
  void resetCounts();
  const SpreadCounts &counts() const { return m_Counts; }

  std::size_t dataCentreOf(std::size_t Process) const {
    return Process % m_Options.m_DataCentres;
  }
  std::vector<std::size_t> entriesIn(std::size_t DataCentre) const;
  /// Returns the relays as the live entries choose them once all know which
  /// entries are live.
  std::vector<std::size_t> relaysIn(std::size_t DataCentre) const;

  void killEntry(std::size_t Entry);
  /// Restarts a killed entry, without its earlier state.
  void startEntry(std::size_t Entry);
  void killAgent(std::size_t Agent);
  /// Pauses an entry: it neither reads nor sends until it is resumed; datagrams
  /// are queued.
  void pauseEntry(std::size_t Entry);
  void resumeEntry(std::size_t Entry);
  /// Drops everything between that data centre and the others until mend().
  void cut(std::size_t DataCentre);
  void mend(std::size_t DataCentre);
  /// Restarts an agent: a new incarnation, whose sequence starts again.
  void restartAgent(std::size_t Agent);
  /// Makes an instance stop accepting requests.
  void closeInstance(std::size_t Agent);

  /// Returns the number of live entries that know a state of the agent's
  /// current incarnation which is no older than NoOlder.
  std::size_t entriesThatKnow(std::size_t Agent, Duration NoOlder) const;
  /// Returns the number of live entries that know that the instance accepts no
  /// requests.
  std::size_t entriesThatKnowClosed(std::size_t Agent) const;
  std::size_t liveEntries() const;
  std::optional<KnownState> knownAt(std::size_t Entry, std::size_t Agent) const;
  std::uint64_t refusedStates() const;
  /// Returns how often an entry replaced a state of the first agent by an older
  /// one.
  std::uint64_t orderViolations() const { return m_OrderViolations; }

private:
  using Action = std::function<void()>;
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Order; ///< order among events of the same time
    Action m_Do;
    bool operator<(const Event &Other) const {
      return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
    }
  };
  /// A period in which a process could not be reached.
  struct Absence {
    std::optional<TimePoint> m_Since;
    std::optional<TimePoint> m_Until;
  };
  /// A datagram that a paused process has not read yet.
  struct Waiting {
    TimePoint m_Arrived;
    std::function<void(Duration Late)> m_Read;
  };
  struct Entry {
    std::unique_ptr<StateSpread> m_Spread;
    bool m_IsAlive = true;
    bool m_IsPaused = false;
    Absence m_Absence;
    std::vector<Waiting> m_Waiting;
    bool m_WantedReports =
        false; ///< whether it wanted reports when last polled
    TimePoint m_NextHello{};
    ReportOrder m_Newest; ///< latest known order of the first agent
  };
  struct Agent {
    bool m_IsAlive = true;
    SpreadState m_Now;
    InstanceReport m_LastReported;
    TimePoint m_LastReportedAt{};
    std::vector<std::optional<TimePoint>> m_Listeners; ///< last hello, by entry
    /// Report times of this incarnation, by sequence.
    std::vector<TimePoint> m_ReportedAt;
  };

  DataCentreId nameOf(std::size_t DataCentre) const;
  std::unique_ptr<StateSpread> freshSpread(std::size_t Entry) const;
  EntryCandidate candidate(std::size_t Entry) const;
  std::size_t entryOf(const InstanceId &Id) const;

  void at(TimePoint When, Action Do);
  void runTo(TimePoint When);
  /// Returns the delay of a datagram; nothing if it is lost.
  std::optional<Duration> delay(std::size_t FromCentre, std::size_t ToCentre);
  void toEntry(std::size_t To, std::size_t FromCentre, std::size_t Bytes,
               std::function<void(Duration Late)> Read);
  void readAt(std::size_t To, const std::function<void(Duration Late)> &Read,
              Duration Late);
  void noteOrder(Entry &Of);

  void tickEntry(std::size_t Which);
  void hello(std::size_t From);
  void sendBatch(std::size_t From, const StateSend &What);
  void inspect(std::size_t Agent);
  void step(InstanceReport &Of);
  void report(std::size_t From);

  bool isConsideredAway(const Absence &Of, Duration Noticed) const;
  bool considersAlive(std::size_t Of, std::size_t Other) const;
  void refreshView(std::size_t Entry);
  void refreshViewsSoon();
  void sample(SpreadAges &Into) const;

  SpreadOptions m_Options;
  std::mt19937_64 m_Random;
  TimePoint m_Now{std::chrono::hours(1)};
  TimePoint m_Start = m_Now;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextOrder = 0;
  std::vector<Entry> m_Entries;
  std::vector<Agent> m_Agents;
  std::vector<Absence> m_Cuts; ///< by data centre
  SpreadCounts m_Counts;
  std::uint64_t m_OrderViolations = 0;
};

} // namespace deckpitch::simulation
