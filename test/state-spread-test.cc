// What an entry knows and believes; whom a relay tells is in
// state-rounds-test.cc.
#include "state-spread-fixture.h"

#include <gtest/gtest.h>

#include <functional>
#include <ostream>

using namespace deckpitch;
using namespace deckpitch::spread_test;
using namespace std::chrono_literals;

namespace {

std::uint32_t runningAt(const StateSpread &Of, const std::string &Address) {
  const auto Known = Of.find(Address);
  return Known ? Known->m_Said.m_Report.m_Running : 0;
}

TEST(StateSpread, KnowsWhatTheAgentSaidAndWhen) {
  StateSpread Of = plainEntry();
  EXPECT_EQ(Of.find(OwnInstance), std::nullopt);
  const SpreadState Said = stateOf(OwnInstance, {{5}, 1}, 7);
  Of.hearAgent(Said, Start + 100ms, 30ms);
  EXPECT_EQ(Of.find(OwnInstance), (KnownState{Said, Start + 70ms}));
  EXPECT_EQ(Of.refusedStates(), 0U);
}

TEST(StateSpread, AddsTheTimeOnTheWayToTheAgeThatIsTold) {
  StateSpread Of = plainEntry();
  const SpreadState Said = stateOf(FarInstance, {{5}, 1}, 7);
  Of.hearEntry(farRelay(0), {StateBatchFormat, There, {{Said, 150ms}}},
               Start + 1s, 20ms);
  EXPECT_EQ(Of.find(FarInstance), (KnownState{Said, Start + 830ms}));
}

TEST(StateSpread, TheSameStateIsNotMadeYoungerByAnotherPath) {
  StateSpread Of = plainEntry();
  const SpreadState Said = stateOf(OwnInstance, {{5}, 1}, 7);
  const auto Tell = [&](std::chrono::milliseconds Age) {
    Of.hearEntry(nearRelay(0), {StateBatchFormat, Here, {{Said, Age}}},
                 Start + 1s);
    return Of.find(OwnInstance)->m_AsOf;
  };
  EXPECT_EQ(Tell(100ms), Start + 900ms);
  EXPECT_EQ(Tell(200ms), Start + 800ms);
  EXPECT_EQ(Tell(50ms), Start + 800ms);
}

/// A way by which a state reaches an entry.
struct Way {
  const char *m_Name;
  std::function<void(StateSpread &, const SpreadState &, TimePoint)> m_Hear;
};

void PrintTo(const Way &Value, std::ostream *Out) { *Out << Value.m_Name; }

void hearFrom(StateSpread &By, const InstanceId &From, const SpreadState &Said,
              TimePoint Now) {
  By.hearEntry(From, {StateBatchFormat, Here, {{Said, 0ms}}}, Now);
}

const Way Ways[] = {
    {"Agent", [](StateSpread &By, const SpreadState &Said,
                 TimePoint Now) { By.hearAgent(Said, Now); }},
    {"NearRelay", [](StateSpread &By, const SpreadState &Said,
                     TimePoint Now) { hearFrom(By, nearRelay(0), Said, Now); }},
    {"FarRelay", [](StateSpread &By, const SpreadState &Said,
                    TimePoint Now) { hearFrom(By, farRelay(0), Said, Now); }},
    {"Unknown", [](StateSpread &By, const SpreadState &Said,
                   TimePoint Now) { hearFrom(By, {"unknown"}, Said, Now); }},
};

class StateSpreadWay : public testing::TestWithParam<Way> {};

TEST_P(StateSpreadWay, ANewerStateWinsAndAnOlderNever) {
  for (const Way &First : Ways) {
    SCOPED_TRACE(First.m_Name);
    StateSpread Of = plainEntry();
    First.m_Hear(Of, stateOf(OwnInstance, {{5}, 10}, 1), Start);
    GetParam().m_Hear(Of, stateOf(OwnInstance, {{5}, 9}, 2), Start + 1ms);
    EXPECT_EQ(runningAt(Of, OwnInstance), 1U);
    GetParam().m_Hear(Of, stateOf(OwnInstance, {{5}, 11}, 3), Start + 2ms);
    EXPECT_EQ(runningAt(Of, OwnInstance), 3U);
    GetParam().m_Hear(Of, stateOf(OwnInstance, {{6}, 1}, 4), Start + 3ms);
    EXPECT_EQ(runningAt(Of, OwnInstance), 4U);
    GetParam().m_Hear(Of, stateOf(OwnInstance, {{5}, 12}, 5), Start + 4ms);
    EXPECT_EQ(runningAt(Of, OwnInstance), 4U);
    EXPECT_EQ(Of.refusedStates(), 0U);
  }
}

TEST_P(StateSpreadWay, ASmallerIncarnationWinsOnceTheLargerIsOutOfUse) {
  StateSpread Of = plainEntry();
  const TimePoint Last = Start + 1s;
  GetParam().m_Hear(Of, stateOf(OwnInstance, {{6}, 1}, 1), Start);
  GetParam().m_Hear(Of, stateOf(OwnInstance, {{6}, 2}, 2), Last);
  GetParam().m_Hear(Of, stateOf(OwnInstance, {{5}, 1}, 3), Last + LongestUse);
  EXPECT_EQ(runningAt(Of, OwnInstance), 2U);
  const TimePoint After = Last + LongestUse + 1ms;
  GetParam().m_Hear(Of, stateOf(OwnInstance, {{6}, 1}, 4), After);
  EXPECT_EQ(runningAt(Of, OwnInstance), 2U);
  GetParam().m_Hear(Of, stateOf(OwnInstance, {{5}, 1}, 5), After);
  EXPECT_EQ(runningAt(Of, OwnInstance), 5U);
}

INSTANTIATE_TEST_SUITE_P(Table, StateSpreadWay, testing::ValuesIn(Ways),
                         [](const auto &Info) { return Info.param.m_Name; });

TEST(StateSpread, ForgetsWhatIsNoLongerListed) {
  StateSpread Of = plainEntry();
  Of.hearAgent(stateOf(OwnInstance, {{5}, 1}, 7), Start);
  Of.setInstances(listed());
  EXPECT_NE(Of.find(OwnInstance), std::nullopt);
  Of.setInstances({{FarInstance, There}});
  EXPECT_EQ(Of.find(OwnInstance), std::nullopt);
  Of.setInstances(listed());
  EXPECT_EQ(Of.find(OwnInstance), std::nullopt);
}

/// Something told that nobody may believe.
struct Refusal {
  const char *m_Name;
  std::uint64_t m_Count; ///< of states
  std::function<void(StateBatch &)> m_Spoil;
};

void PrintTo(const Refusal &Value, std::ostream *Out) { *Out << Value.m_Name; }

class StateSpreadRefusal : public testing::TestWithParam<Refusal> {};

TEST_P(StateSpreadRefusal, BelievesNothingAndCounts) {
  StateSpread Of = plainEntry();
  StateBatch Told{StateBatchFormat, There, {}};
  Told.m_States.push_back({stateOf(FarInstance, {{5}, 1}, 7), 100ms});
  GetParam().m_Spoil(Told);
  Of.hearEntry(farRelay(0), Told, Start);
  EXPECT_EQ(Of.find(FarInstance), std::nullopt);
  EXPECT_EQ(Of.find("10.9.9.9:1"), std::nullopt);
  EXPECT_EQ(Of.refusedStates(), GetParam().m_Count);
}

constexpr std::size_t TooMany = 200;

const Refusal Refusals[] = {
    {"Format", 1, [](StateBatch &In) { ++In.m_Format; }},
    {"FormatWithoutStates", 1,
     [](StateBatch &In) {
       ++In.m_Format;
       In.m_States.clear();
     }},
    {"Unlisted", 1,
     [](StateBatch &In) {
       In.m_States.front().m_State.m_Address = "10.9.9.9:1";
     }},
    {"OfAnotherDataCentre", 1, [](StateBatch &In) { In.m_Of = Here; }},
    {"TooOld", 1,
     [](StateBatch &In) {
       In.m_States.front().m_Age =
           std::chrono::ceil<std::chrono::milliseconds>(LongestUse) + 1ms;
     }},
    {"AgeWithoutBounds", 1,
     [](StateBatch &In) {
       In.m_States.front().m_Age = std::chrono::milliseconds::max();
     }},
    {"FromTheFuture", 1,
     [](StateBatch &In) { In.m_States.front().m_Age = -1ms; }},
    {"TooMany", TooMany,
     [](StateBatch &In) { In.m_States.resize(TooMany, In.m_States.front()); }},
};

INSTANTIATE_TEST_SUITE_P(Table, StateSpreadRefusal, testing::ValuesIn(Refusals),
                         [](const auto &Info) { return Info.param.m_Name; });

TEST(StateSpread, BelievesTheSoundStatesBesideOneThatIsRefused) {
  StateSpread Of = plainEntry();
  const ToldState Sound{stateOf(FarInstance, {{5}, 1}, 7), 100ms};
  const ToldState Unlisted{stateOf("10.9.9.9:1", {{5}, 1}, 7), 100ms};
  Of.hearEntry(farRelay(0), {StateBatchFormat, There, {Unlisted, Sound}},
               Start);
  EXPECT_EQ(runningAt(Of, FarInstance), 7U);
  EXPECT_EQ(Of.refusedStates(), 1U);
}

TEST(StateSpread, RefusesAnAgentThatIsNotListedOrFarTooLate) {
  StateSpread Of = plainEntry();
  Of.hearAgent(stateOf("10.9.9.9:1", {{5}, 1}, 7), Start);
  Of.hearAgent(stateOf(OwnInstance, {{5}, 1}, 7), Start, LongestUse + 1ms);
  EXPECT_EQ(Of.find("10.9.9.9:1"), std::nullopt);
  EXPECT_EQ(Of.find(OwnInstance), std::nullopt);
  EXPECT_EQ(Of.refusedStates(), 2U);
}

TEST(StateSpread, RelaysWantReports) {
  for (std::size_t Rank : {0U, 1U})
    EXPECT_TRUE(entry(nearRelay(Rank)).wantsReports(Start));
  EXPECT_FALSE(plainEntry().wantsReports(Start));
}

TEST(StateSpread, AnEntryWithoutAWordOfItsRelaysWantsReportsForAWhile) {
  StateSpread Of = plainEntry();
  const StateBatch Empty{StateBatchFormat, Here, {}};
  Of.hearEntry(nearRelay(1), Empty, Start + 100ms);
  const TimePoint Silent = Start + 100ms + RelaySilence;
  EXPECT_FALSE(Of.wantsReports(Silent - 1ns));
  EXPECT_TRUE(Of.wantsReports(Silent));
  Of.hearEntry(nearRelay(0), Empty, Silent + 100ms);
  for (Duration After = 100ms; After < LeastOwnHearing; After += 100ms) {
    EXPECT_TRUE(Of.wantsReports(Silent + After));
    Of.hearEntry(nearRelay(0), Empty, Silent + After);
  }
  EXPECT_FALSE(Of.wantsReports(Silent + LeastOwnHearing));
}

TEST(StateSpread, OtherDataCentresAreNoWordOfTheOwnRelays) {
  StateSpread Of = plainEntry();
  Of.hearEntry(farRelay(0), {StateBatchFormat, There, {}}, Start + 300ms);
  Of.hearEntry(nearRelay(0), {StateBatchFormat, There, {}}, Start + 300ms);
  Of.hearEntry(farRelay(0), {StateBatchFormat, Here, {}}, Start + 300ms);
  EXPECT_TRUE(Of.wantsReports(Start + RelaySilence));
}

} // namespace
