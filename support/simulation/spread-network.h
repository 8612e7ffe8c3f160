// Entries and agents of several data centres in virtual time: how the states of
// all instances reach all entries.
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
  std::size_t m_Entries = 149; ///< dealt out to the data centres in turn
  std::size_t m_Instances = 204;
  Duration m_NearDelay = std::chrono::microseconds(900);
  Duration m_FarDelay = std::chrono::microseconds(1'800);
  double m_LossShare = 0;
  double m_StepChance = 1; ///< that an instance's counts change between looks
  std::uint64_t m_Seed = 1;
};

/// Of a datagram, beside what is estimated: of the network and of the link's
/// message.
inline constexpr std::size_t HeaderBytes = 28 + 24;

/// Datagrams and their bytes by estimate.
struct Traffic {
  std::uint64_t m_Datagrams = 0;
  std::uint64_t m_Bytes = 0;

  friend bool operator==(const Traffic &, const Traffic &) = default;
};

/// Since the start, or since they were reset.
struct SpreadCounts {
  std::vector<Traffic> m_AgentsSent;      ///< by agent
  std::vector<Traffic> m_EntriesReceived; ///< by entry
  std::vector<Traffic> m_EntriesSent;     ///< by entry
  Traffic m_Hellos;                       ///< from entries to agents
  Traffic m_AcrossBorders;
  std::uint64_t m_StatesAcrossBorders = 0;
  std::uint64_t m_Changes = 0; ///< reports that differ from the one before
};

/// Ages of what entries know, sorted by whose instances they are. What an entry
/// does not know is as old as the network.
struct SpreadAges {
  std::vector<Duration> m_Near;
  std::vector<Duration> m_Far;
  /// Claimed to be so much younger than it was, at the most.
  Duration m_MostFlattered{};

  friend bool operator==(const SpreadAges &, const SpreadAges &) = default;
};

/// The age that so many in a hundred don't exceed; of none it is 0.
Duration percentile(std::vector<Duration> Of, double InHundred);

/// Each process has its own phase. Entries are asked what is due each 10 ms;
/// who lives they are told some time after each death and return.
class SpreadNetwork {
public:
  explicit SpreadNetwork(SpreadOptions Options);

  void runFor(Duration Length);
  /// As runFor(), with a look at the ages in between.
  void runFor(Duration Length, SpreadAges &Into);
  void resetCounts();
  const SpreadCounts &counts() const { return m_Counts; }

  std::size_t dataCentreOf(std::size_t Process) const {
    return Process % m_Options.m_DataCentres;
  }
  std::vector<std::size_t> entriesIn(std::size_t DataCentre) const;
  /// As the entries that live choose them by now, when all know who lives.
  std::vector<std::size_t> relaysIn(std::size_t DataCentre) const;

  void killEntry(std::size_t Entry);
  /// A killed one, with no memory.
  void startEntry(std::size_t Entry);
  void killAgent(std::size_t Agent);
  /// It neither reads nor does anything until it is resumed; datagrams wait.
  void pauseEntry(std::size_t Entry);
  void resumeEntry(std::size_t Entry);
  /// Nothing passes between that data centre and the others until the mend.
  void cut(std::size_t DataCentre);
  void mend(std::size_t DataCentre);
  /// Another life, whose sequence begins anew.
  void restartAgent(std::size_t Agent);
  /// It takes no requests any more.
  void closeInstance(std::size_t Agent);

  /// Of the living entries, those that know a state of the agent's present life
  /// no older than that.
  std::size_t entriesThatKnow(std::size_t Agent, Duration NoOlder) const;
  /// Of the living entries, those that know that it takes no requests.
  std::size_t entriesThatKnowClosed(std::size_t Agent) const;
  std::size_t livingEntries() const;
  std::optional<KnownState> knownAt(std::size_t Entry, std::size_t Agent) const;
  std::uint64_t refusedStates() const;
  /// Times at which an entry replaced a state of the first agent by an older
  /// one.
  std::uint64_t steppedBack() const { return m_SteppedBack; }

private:
  using Act = std::function<void()>;
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Order; ///< of those at one time
    Act m_Do;
    bool operator<(const Event &Other) const {
      return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
    }
  };
  /// A time in which a process could not be reached.
  struct Absence {
    std::optional<TimePoint> m_Since;
    std::optional<TimePoint> m_Until;
  };
  /// A datagram that a paused process has not read yet.
  struct Waiting {
    TimePoint m_Came;
    std::function<void(Duration Late)> m_Read;
  };
  struct Entry {
    std::unique_ptr<StateSpread> m_Spread;
    bool m_Lives = true;
    bool m_IsPaused = false;
    Absence m_Absence;
    std::vector<Waiting> m_Waiting;
    bool m_Wanted = false; ///< reports, when last asked
    TimePoint m_NextHello{};
    ReportOrder m_Newest; ///< known of the first agent when last read
  };
  struct Agent {
    bool m_Lives = true;
    SpreadState m_Now;
    InstanceReport m_Told;
    TimePoint m_ToldAt{};
    std::vector<std::optional<TimePoint>> m_Listeners; ///< last hello, by entry
    std::vector<TimePoint> m_SaidAt; ///< of this life, by sequence
  };

  DataCentreId nameOf(std::size_t DataCentre) const;
  std::unique_ptr<StateSpread> freshSpread(std::size_t Entry) const;
  EntryCandidate candidate(std::size_t Entry) const;
  std::size_t entryOf(const InstanceId &Id) const;

  void at(TimePoint When, Act Do);
  void runTo(TimePoint When);
  /// Whether it arrives, and when; nothing where it is lost.
  std::optional<Duration> delay(std::size_t FromCentre, std::size_t ToCentre);
  void toEntry(std::size_t To, std::size_t FromCentre, std::size_t Bytes,
               std::function<void(Duration Late)> Read);
  void readAt(std::size_t To, const std::function<void(Duration Late)> &Read,
              Duration Late);
  void noteOrder(Entry &Of);

  void tickEntry(std::size_t Which);
  void hello(std::size_t From);
  void sendBatch(std::size_t From, const StateSend &What);
  void lookAt(std::size_t Agent);
  void step(InstanceReport &Of);
  void report(std::size_t From);

  bool isBelievedAway(const Absence &Of, Duration Noticed) const;
  bool believesAlive(std::size_t Of, std::size_t Other) const;
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
  std::uint64_t m_SteppedBack = 0;
};

} // namespace deckpitch::simulation
