// Checks in virtual time and with faults that the states of all instances reach
// all entries within the bounds of the design.
#include "simulation/spread-network.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

using namespace deckpitch;
using namespace deckpitch::simulation;
using namespace std::chrono_literals;

namespace {

/// Maximum age of the states that an entry knows of its own data centre and of
/// others, in 99 of 100 samples.
constexpr Duration LocalAim = 150ms;
constexpr Duration RemoteAim = 400ms;
constexpr double AgePercentile = 99;
/// Delay from agent to relay, across a border, and from relay to entry.
constexpr Duration PathDelay = 4ms;
/// Time until all know that an instance has closed.
constexpr Duration ClosedAim = 300ms;
/// Interval between two inspections of an instance by its agent.
constexpr Duration InspectionInterval = 50ms;
/// Time from a relay's death until its data centre knows it.
constexpr Duration LocalDeathDetection = 1'200ms;
constexpr Duration HelloInterval = 300ms;
/// Time until others know that a process has returned.
constexpr Duration ReturnDetection = 600ms;
/// Time for the first hellos and rounds.
constexpr Duration Settling = 1s;

/// The size of fleet that the design is made for.
SpreadOptions large() { return {}; }

SpreadOptions middle() {
  SpreadOptions Out;
  Out.m_DataCentres = 5;
  Out.m_Entries = 50;
  Out.m_Instances = 70;
  return Out;
}

SpreadOptions small() {
  SpreadOptions Out;
  Out.m_DataCentres = 3;
  Out.m_Entries = 18;
  Out.m_Instances = 24;
  return Out;
}

Duration most(const std::vector<Duration> &Of) { return percentile(Of, 100); }

double ms(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

void print(const char *What, const SpreadAges &Of) {
  std::cout << What << ": near 99% "
            << ms(percentile(Of.m_Local, AgePercentile)) << " ms, most "
            << ms(most(Of.m_Local)) << " ms; far 99% "
            << ms(percentile(Of.m_Remote, AgePercentile)) << " ms, most "
            << ms(most(Of.m_Remote)) << " ms\n";
}

void expectAims(const SpreadAges &Of) {
  EXPECT_FALSE(Of.m_Local.empty());
  EXPECT_FALSE(Of.m_Remote.empty());
  EXPECT_LE(percentile(Of.m_Local, AgePercentile), LocalAim);
  EXPECT_LE(percentile(Of.m_Remote, AgePercentile), RemoteAim + PathDelay);
}

/// Returns the instances that not all live entries know with a state that
/// recent.
std::vector<std::size_t> instancesNotKnownToAll(const SpreadNetwork &In,
                                                std::size_t Instances,
                                                Duration NoOlder) {
  std::vector<std::size_t> Out;
  for (std::size_t I = 0; I < Instances; ++I)
    if (In.entriesThatKnow(I, NoOlder) != In.liveEntries())
      Out.push_back(I);
  return Out;
}

using Indices = std::vector<std::size_t>;

TEST(StateSpreadSimulation, AgesStayWithinBounds) {
  SpreadNetwork Network(large());
  Network.runFor(Settling);
  SpreadAges Ages;
  Network.runFor(2s, Ages);
  print("undisturbed", Ages);
  expectAims(Ages);
  EXPECT_LE(most(Ages.m_Local), MaxStateAge);
  EXPECT_LE(most(Ages.m_Remote), MaxStateAge);
  EXPECT_LE(Ages.m_MaxAgeError, PathDelay);
  EXPECT_EQ(instancesNotKnownToAll(Network, large().m_Instances, MaxStateAge),
            Indices{});
  EXPECT_EQ(Network.refusedStates(), 0U);
  EXPECT_EQ(Network.orderViolations(), 0U);
}

TEST(StateSpreadSimulation, ClosedInstanceIsKnownToAllSoon) {
  SpreadNetwork Network(large());
  Network.runFor(Settling);
  for (std::size_t I = 0; I < large().m_DataCentres; ++I) {
    Network.closeInstance(I);
    Network.runFor(ClosedAim);
    EXPECT_EQ(Network.entriesThatKnowClosed(I), Network.liveEntries()) << I;
  }
}

TEST(StateSpreadSimulation, AgentSendsATenthOfDirectReporting) {
  // Datagrams per second: every 50 ms to the entries of its data centre, every
  // 200 ms to the others.
  constexpr double Direct = 30 * 20 + 119 * 5;
  constexpr auto Length = 3s;
  SpreadNetwork Network(large());
  Network.runFor(Settling);
  Network.resetCounts();
  Network.runFor(Length);
  std::uint64_t Most = 0;
  std::uint64_t Least = UINT64_MAX;
  for (const Traffic &Each : Network.counts().m_AgentsSent) {
    Most = std::max(Most, Each.m_Datagrams);
    Least = std::min(Least, Each.m_Datagrams);
  }
  const double Seconds = std::chrono::duration<double>(Length).count();
  const double PerSecond = static_cast<double>(Most) / Seconds;
  const double Hellos = static_cast<double>(Network.counts().m_Hellos.m_Bytes) /
                        Seconds / static_cast<double>(large().m_Instances);
  std::cout << "an agent sends at most " << PerSecond << " datagrams/s, of "
            << Direct << "; receives " << Hellos << " bytes/s of hellos\n";
  EXPECT_LE(PerSecond, Direct / 10);
  EXPECT_GT(Least, 0U);
}

/// Returns the largest traffic that an entry received in a second.
Traffic maxReceived(const SpreadOptions &Options) {
  SpreadNetwork Network(Options);
  Network.runFor(Settling);
  Network.resetCounts();
  constexpr std::uint64_t Seconds = 3;
  Network.runFor(std::chrono::seconds(Seconds));
  Traffic Most;
  for (const Traffic &Each : Network.counts().m_EntriesReceived) {
    Most.m_Datagrams = std::max(Most.m_Datagrams, Each.m_Datagrams / Seconds);
    Most.m_Bytes = std::max(Most.m_Bytes, Each.m_Bytes / Seconds);
  }
  return Most;
}

std::size_t ownEntries(const SpreadOptions &Of) {
  return Of.m_Entries / Of.m_DataCentres;
}

/// Returns the permitted growth of an entry's incoming traffic: in proportion
/// to whichever has grown most of the instances, the entries of its own data
/// centre, and the data centres.
double permittedGrowth(const SpreadOptions &From, const SpreadOptions &To) {
  const auto Growth = [](std::size_t Before, std::size_t After) {
    return static_cast<double>(After) / static_cast<double>(Before);
  };
  return std::max({Growth(From.m_Instances, To.m_Instances),
                   Growth(From.m_DataCentres, To.m_DataCentres),
                   Growth(ownEntries(From), ownEntries(To))});
}

double slope(std::uint64_t From, std::uint64_t To, std::size_t More) {
  return (static_cast<double>(To) - static_cast<double>(From)) /
         static_cast<double>(More);
}

void expectGrowth(const char *What, const SpreadOptions &From,
                  const SpreadOptions &To, double Most) {
  const Traffic Less = maxReceived(From);
  const Traffic More = maxReceived(To);
  const std::size_t Added =
      To.m_Instances - From.m_Instances + (To.m_Entries - From.m_Entries);
  const auto Check = [&](const char *Unit, std::uint64_t Before,
                         std::uint64_t After) {
    std::cout << What << ": an entry receives at most " << Before << " and "
              << After << " " << Unit << "/s with " << From.m_Instances
              << " and " << To.m_Instances << " instances, " << From.m_Entries
              << " and " << To.m_Entries
              << " entries: " << slope(Before, After, Added)
              << " for each more\n";
    EXPECT_LE(static_cast<double>(After), Most * static_cast<double>(Before))
        << Unit;
  };
  Check("datagrams", Less.m_Datagrams, More.m_Datagrams);
  Check("bytes", Less.m_Bytes, More.m_Bytes);
}

TEST(StateSpreadSimulation, EntryTrafficGrowsWithInstances) {
  const SpreadOptions One = middle();
  SpreadOptions Other = One;
  Other.m_Entries *= 2;
  Other.m_Instances *= 2;
  expectGrowth("all twice", One, Other, permittedGrowth(One, Other));
  Other.m_DataCentres *= 2;
  expectGrowth("data centres twice", One, Other, permittedGrowth(One, Other));
}

TEST(StateSpreadSimulation, EntryTrafficDoesNotGrowWithEntries) {
  const SpreadOptions One = middle();
  SpreadOptions Other = One;
  Other.m_Entries *= 2;
  expectGrowth("entries twice", One, Other, 1.05); // the random walks differ
}

/// Returns the counts of a run in which few instances change at a time, so that
/// few changes are sent as one.
SpreadCounts quietRun(std::size_t Entries, Duration Length) {
  SpreadOptions Options = middle();
  Options.m_Entries = Entries;
  Options.m_ChangeChance = 0.05;
  SpreadNetwork Network(Options);
  Network.runFor(2 * Settling);
  Network.resetCounts();
  Network.runFor(Length);
  return Network.counts();
}

std::size_t bytesOfState() {
  SpreadState Longest{"10.0.0.99:9000", {}, {}};
  Longest.m_Report.m_Weights = {{"model", 1, true}};
  return estimatedBytes(Longest);
}

StateBatch emptyBatch() { return {StateBatchFormat, {"dc-0"}, {}}; }

TEST(StateSpreadSimulation, ChangeCrossesBorderTwice) {
  constexpr auto Length = 5s;
  const SpreadCounts Counts = quietRun(middle().m_Entries, Length);
  const std::uint64_t Others = middle().m_DataCentres - 1;
  const std::uint64_t Repeats =
      middle().m_Instances *
      static_cast<std::uint64_t>(Length / RepeatInterval);
  const std::uint64_t Most =
      RelaysPerDataCentre * Others * (Counts.m_Changes + Repeats);
  std::cout << Counts.m_Changes << " changes: " << Counts.m_StatesAcrossBorders
            << " states across borders, of " << Most << " with repeats; "
            << Counts.m_AcrossBorders.m_Bytes << " bytes in "
            << Counts.m_AcrossBorders.m_Datagrams << " datagrams\n";
  EXPECT_GT(Counts.m_Changes, 0U);
  EXPECT_LE(Counts.m_StatesAcrossBorders, Most);
  // A round's states fit into one datagram.
  const std::uint64_t Rounds =
      static_cast<std::uint64_t>(Length / RemoteInterval) + 1;
  const std::uint64_t Paths =
      RelaysPerDataCentre * middle().m_DataCentres * Others;
  EXPECT_LE(Counts.m_AcrossBorders.m_Datagrams, Paths * Rounds);
  EXPECT_LE(Counts.m_AcrossBorders.m_Bytes,
            Most * bytesOfState() +
                Paths * Rounds * (HeaderBytes + estimatedBytes(emptyBatch())));
}

TEST(StateSpreadSimulation, BorderTrafficDoesNotGrowWithReceivers) {
  constexpr auto Length = 5s;
  const SpreadCounts Few = quietRun(middle().m_Entries, Length);
  const SpreadCounts Many = quietRun(2 * middle().m_Entries, Length);
  const auto Less = static_cast<double>(Few.m_AcrossBorders.m_Bytes);
  const auto More = static_cast<double>(Many.m_AcrossBorders.m_Bytes);
  std::cout << Less << " and " << More << " bytes with twice the entries\n";
  EXPECT_LE(More, 1.05 * Less); // the random walks differ
}

TEST(StateSpreadSimulation, LostDatagramsAreRepeated) {
  SpreadOptions Options = middle();
  Options.m_LossShare = 0.05;
  SpreadNetwork Network(Options);
  Network.runFor(2 * Settling);
  SpreadAges Ages;
  Network.runFor(5s, Ages);
  print("one in twenty lost", Ages);
  // One more round.
  EXPECT_LE(percentile(Ages.m_Local, AgePercentile), LocalAim + LocalInterval);
  EXPECT_LE(percentile(Ages.m_Remote, AgePercentile),
            RemoteAim + RemoteInterval + PathDelay);
  EXPECT_LE(most(Ages.m_Remote), MaxStateAge);
  EXPECT_EQ(Network.orderViolations(), 0U);
  // At the latest with the repetitions of both relays.
  for (std::size_t I = 0; I < Options.m_DataCentres; ++I)
    Network.closeInstance(I);
  Network.runFor(ClosedAim + RepeatInterval);
  for (std::size_t I = 0; I < Options.m_DataCentres; ++I)
    EXPECT_EQ(Network.entriesThatKnowClosed(I), Network.liveEntries()) << I;
}

/// Maximum age while the data centre has no working relay: an entry then
/// receives the agents' reports directly, after a silence, a hello and an
/// inspection.
constexpr Duration MaxAgeWithoutRelays =
    LocalAim + RelayTimeout + InspectionInterval;

TEST(StateSpreadSimulation, RelaysKilledOneAfterTheOther) {
  SpreadNetwork Network(middle());
  Network.runFor(Settling);
  SpreadAges Ages;
  for (int I = 0; I < 6; ++I) {
    Network.killEntry(Network.relaysIn(0).at(0));
    Network.runFor(300ms, Ages);
  }
  Network.runFor(LocalDeathDetection + RemoteAim, Ages);
  print("relays killed one after the other", Ages);
  EXPECT_LE(most(Ages.m_Local), MaxAgeWithoutRelays);
  EXPECT_LE(most(Ages.m_Remote), MaxStateAge);
  EXPECT_EQ(instancesNotKnownToAll(Network, middle().m_Instances,
                                   RemoteAim + PathDelay),
            Indices{});
  EXPECT_EQ(Network.orderViolations(), 0U);
}

TEST(StateSpreadSimulation, AllRelaysOfADataCentreKilledAtOnce) {
  SpreadNetwork Network(middle());
  Network.runFor(Settling);
  SpreadAges Ages;
  for (const std::size_t Each : Network.relaysIn(0))
    Network.killEntry(Each);
  Network.runFor(LocalDeathDetection + RemoteInterval + RemoteAim, Ages);
  print("all relays of a data centre killed", Ages);
  EXPECT_LE(most(Ages.m_Local), MaxAgeWithoutRelays);
  // Other data centres answer the new relays in their next round.
  EXPECT_LE(most(Ages.m_Remote),
            LocalDeathDetection + RemoteInterval + RemoteAim + PathDelay);
  SpreadAges After;
  Network.runFor(5s, After);
  print("after that", After);
  expectAims(After);
}

TEST(StateSpreadSimulation, OneRelayAtEachEndKilledAtOnce) {
  SpreadNetwork Network(middle());
  Network.runFor(Settling);
  SpreadAges Ages;
  const std::size_t One = Network.relaysIn(0).at(0);
  const std::size_t Other = Network.relaysIn(1).at(1);
  Network.killEntry(One);
  Network.killEntry(Other);
  Network.runFor(4s, Ages);
  print("one relay at each end killed", Ages);
  EXPECT_LE(percentile(Ages.m_Local, AgePercentile), LocalAim);
  // The silence, the round to both relays, and its answer.
  EXPECT_LE(most(Ages.m_Remote),
            PathTimeout + 2 * RemoteInterval + RemoteAim + PathDelay);
}

TEST(StateSpreadSimulation, RelaysRestartedOneAfterTheOther) {
  SpreadNetwork Network(middle());
  Network.runFor(Settling);
  for (const std::size_t Each : Network.relaysIn(0)) {
    Network.killEntry(Each);
    Network.runFor(3s); // others have taken over its role
    Network.startEntry(Each);
    // Until the others know that it is alive.
    Network.runFor(ReturnDetection + RemoteAim);
    EXPECT_EQ(instancesNotKnownToAll(Network, middle().m_Instances,
                                     RemoteAim + PathDelay),
              Indices{});
    SpreadAges Ages;
    Network.runFor(2s, Ages);
    print("a relay restarted", Ages);
    expectAims(Ages);
  }
}

TEST(StateSpreadSimulation, WholeDataCentreKilled) {
  SpreadNetwork Network(middle());
  Network.runFor(Settling);
  for (const std::size_t Each : Network.entriesIn(2))
    Network.killEntry(Each);
  for (std::size_t I = 2; I < middle().m_Instances; I += middle().m_DataCentres)
    Network.killAgent(I);
  SpreadAges Ages;
  Network.runFor(4s, Ages);
  print("a whole data centre killed", Ages);
  expectAims(Ages);
  EXPECT_EQ(Network.liveEntries(), 40U);
}

TEST(StateSpreadSimulation, LinksOfARegionCutForAMinute) {
  SpreadNetwork Network(small());
  Network.runFor(Settling);
  Network.cut(0);
  SpreadAges Ages;
  Network.runFor(60s, Ages);
  EXPECT_FALSE(Ages.m_Local.empty());
  EXPECT_LE(percentile(Ages.m_Local, AgePercentile), LocalAim);
  EXPECT_LE(most(Ages.m_Local), LocalAim + LocalInterval);
  // The other two still reach each other: a third of the remote pairs.
  EXPECT_LE(percentile(Ages.m_Remote, 33), RemoteAim + PathDelay);
  EXPECT_GE(most(Ages.m_Remote), 59s); // nothing passed
  Network.mend(0);
  Network.runFor(1'200ms);
  EXPECT_EQ(instancesNotKnownToAll(Network, small().m_Instances,
                                   RemoteAim + PathDelay),
            Indices{});
  EXPECT_EQ(Network.orderViolations(), 0U);
}

TEST(StateSpreadSimulation, PausedRelayDoesNotRestoreOldStates) {
  for (std::uint64_t Seed : {1, 2, 3}) {
    SCOPED_TRACE(Seed);
    SpreadOptions Options = middle();
    Options.m_Seed = Seed;
    SpreadNetwork Network(Options);
    Network.runFor(Settling);
    const std::size_t Relay = Network.relaysIn(0).at(0);
    Network.pauseEntry(Relay);
    SpreadAges Ages;
    Network.runFor(1s);
    Network.closeInstance(0);
    Network.runFor(1s);
    Network.resumeEntry(Relay);
    for (int I = 0; I < 20; ++I) {
      EXPECT_EQ(Network.entriesThatKnowClosed(0), Network.liveEntries());
      Network.runFor(97ms, Ages);
    }
    EXPECT_EQ(Network.orderViolations(), 0U);
    EXPECT_LE(Ages.m_MaxAgeError, PathDelay);
    expectAims(Ages);
  }
}

TEST(StateSpreadSimulation, RestartedAgentIsAcceptedSoon) {
  SpreadNetwork Network(middle());
  Network.runFor(Settling);
  Network.restartAgent(0);
  // It must first receive a hello.
  Network.runFor(HelloInterval + InspectionInterval + RemoteAim + PathDelay);
  EXPECT_EQ(Network.entriesThatKnow(0, RemoteAim + PathDelay),
            Network.liveEntries());
  EXPECT_EQ(Network.orderViolations(), 0U);
}

} // namespace
