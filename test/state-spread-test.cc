// What an entry knows and accepts. The sending half is tested in
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
  return Known ? Known->m_Latest.m_Report.m_Running : 0;
}

TEST(StateSpread, StoresAgentReportWithItsTime) {
  StateSpread Of = plainEntry();
  EXPECT_EQ(Of.find(OwnInstance), std::nullopt);
  const SpreadState State = stateOf(OwnInstance, {{5}, 1}, 7);
  Of.receiveReport(State, Start + 100ms, 30ms);
  EXPECT_EQ(Of.find(OwnInstance), (KnownState{State, Start + 70ms}));
  EXPECT_EQ(Of.refusedStates(), 0U);
}

TEST(StateSpread, AddsDelayToReceivedAge) {
  StateSpread Of = plainEntry();
  const SpreadState State = stateOf(RemoteInstance, {{5}, 1}, 7);
  Of.receiveBatch(remoteRelay(0), {StateBatchFormat, There, {{State, 150ms}}},
                  Start + 1s, 20ms);
  EXPECT_EQ(Of.find(RemoteInstance), (KnownState{State, Start + 830ms}));
}

TEST(StateSpread, SameStateGetsNoYoungerByAnotherPath) {
  StateSpread Of = plainEntry();
  const SpreadState State = stateOf(OwnInstance, {{5}, 1}, 7);
  const auto Send = [&](std::chrono::milliseconds Age) {
    Of.receiveBatch(localRelay(0), {StateBatchFormat, Here, {{State, Age}}},
                    Start + 1s);
    return Of.find(OwnInstance)->m_AsOf;
  };
  EXPECT_EQ(Send(100ms), Start + 900ms);
  EXPECT_EQ(Send(200ms), Start + 800ms);
  EXPECT_EQ(Send(50ms), Start + 800ms);
}

/// A path by which a state reaches an entry.
struct Way {
  const char *m_Name;
  std::function<void(StateSpread &, const SpreadState &, TimePoint)> m_Deliver;
};

void PrintTo(const Way &Value, std::ostream *Out) { *Out << Value.m_Name; }

void receiveFrom(StateSpread &By, const InstanceId &From,
                 const SpreadState &State, TimePoint Now) {
  By.receiveBatch(From, {StateBatchFormat, Here, {{State, 0ms}}}, Now);
}

const Way Ways[] = {
    {"Agent", [](StateSpread &By, const SpreadState &State,
                 TimePoint Now) { By.receiveReport(State, Now); }},
    {"LocalRelay",
     [](StateSpread &By, const SpreadState &State, TimePoint Now) {
       receiveFrom(By, localRelay(0), State, Now);
     }},
    {"RemoteRelay",
     [](StateSpread &By, const SpreadState &State, TimePoint Now) {
       receiveFrom(By, remoteRelay(0), State, Now);
     }},
    {"Unknown",
     [](StateSpread &By, const SpreadState &State, TimePoint Now) {
       receiveFrom(By, {"unknown"}, State, Now);
     }},
};

class StateSpreadDelivery : public testing::TestWithParam<Way> {};

TEST_P(StateSpreadDelivery, OlderStateNeverReplacesNewer) {
  for (const Way &First : Ways) {
    SCOPED_TRACE(First.m_Name);
    StateSpread Of = plainEntry();
    First.m_Deliver(Of, stateOf(OwnInstance, {{5}, 10}, 1), Start);
    GetParam().m_Deliver(Of, stateOf(OwnInstance, {{5}, 9}, 2), Start + 1ms);
    EXPECT_EQ(runningAt(Of, OwnInstance), 1U);
    GetParam().m_Deliver(Of, stateOf(OwnInstance, {{5}, 11}, 3), Start + 2ms);
    EXPECT_EQ(runningAt(Of, OwnInstance), 3U);
    GetParam().m_Deliver(Of, stateOf(OwnInstance, {{6}, 1}, 4), Start + 3ms);
    EXPECT_EQ(runningAt(Of, OwnInstance), 4U);
    GetParam().m_Deliver(Of, stateOf(OwnInstance, {{5}, 12}, 5), Start + 4ms);
    EXPECT_EQ(runningAt(Of, OwnInstance), 4U);
    EXPECT_EQ(Of.refusedStates(), 0U);
  }
}

TEST_P(StateSpreadDelivery, SmallerIncarnationWinsOnceLargerIsTooOld) {
  StateSpread Of = plainEntry();
  const TimePoint Last = Start + 1s;
  GetParam().m_Deliver(Of, stateOf(OwnInstance, {{6}, 1}, 1), Start);
  GetParam().m_Deliver(Of, stateOf(OwnInstance, {{6}, 2}, 2), Last);
  GetParam().m_Deliver(Of, stateOf(OwnInstance, {{5}, 1}, 3),
                       Last + MaxStateAge);
  EXPECT_EQ(runningAt(Of, OwnInstance), 2U);
  const TimePoint After = Last + MaxStateAge + 1ms;
  GetParam().m_Deliver(Of, stateOf(OwnInstance, {{6}, 1}, 4), After);
  EXPECT_EQ(runningAt(Of, OwnInstance), 2U);
  GetParam().m_Deliver(Of, stateOf(OwnInstance, {{5}, 1}, 5), After);
  EXPECT_EQ(runningAt(Of, OwnInstance), 5U);
}

INSTANTIATE_TEST_SUITE_P(Table, StateSpreadDelivery, testing::ValuesIn(Ways),
                         [](const auto &Info) { return Info.param.m_Name; });

TEST(StateSpread, DropsStatesOfUnlistedInstances) {
  StateSpread Of = plainEntry();
  Of.receiveReport(stateOf(OwnInstance, {{5}, 1}, 7), Start);
  Of.setInstances(listed());
  EXPECT_NE(Of.find(OwnInstance), std::nullopt);
  Of.setInstances({{RemoteInstance, There}});
  EXPECT_EQ(Of.find(OwnInstance), std::nullopt);
  Of.setInstances(listed());
  EXPECT_EQ(Of.find(OwnInstance), std::nullopt);
}

/// A defect for which a batch must be rejected.
struct Refusal {
  const char *m_Name;
  std::uint64_t m_Count; ///< rejected states
  std::function<void(StateBatch &)> m_Corrupt;
};

void PrintTo(const Refusal &Value, std::ostream *Out) { *Out << Value.m_Name; }

class StateSpreadRefusal : public testing::TestWithParam<Refusal> {};

TEST_P(StateSpreadRefusal, RejectsAndCounts) {
  StateSpread Of = plainEntry();
  StateBatch Received{StateBatchFormat, There, {}};
  Received.m_States.push_back({stateOf(RemoteInstance, {{5}, 1}, 7), 100ms});
  GetParam().m_Corrupt(Received);
  Of.receiveBatch(remoteRelay(0), Received, Start);
  EXPECT_EQ(Of.find(RemoteInstance), std::nullopt);
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
           std::chrono::ceil<std::chrono::milliseconds>(MaxStateAge) + 1ms;
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

TEST(StateSpread, AcceptsValidStatesBesideRejectedOne) {
  StateSpread Of = plainEntry();
  const AgedState Sound{stateOf(RemoteInstance, {{5}, 1}, 7), 100ms};
  const AgedState Unlisted{stateOf("10.9.9.9:1", {{5}, 1}, 7), 100ms};
  Of.receiveBatch(remoteRelay(0), {StateBatchFormat, There, {Unlisted, Sound}},
                  Start);
  EXPECT_EQ(runningAt(Of, RemoteInstance), 7U);
  EXPECT_EQ(Of.refusedStates(), 1U);
}

TEST(StateSpread, RejectsUnlistedOrLateAgent) {
  StateSpread Of = plainEntry();
  Of.receiveReport(stateOf("10.9.9.9:1", {{5}, 1}, 7), Start);
  Of.receiveReport(stateOf(OwnInstance, {{5}, 1}, 7), Start, MaxStateAge + 1ms);
  EXPECT_EQ(Of.find("10.9.9.9:1"), std::nullopt);
  EXPECT_EQ(Of.find(OwnInstance), std::nullopt);
  EXPECT_EQ(Of.refusedStates(), 2U);
}

TEST(StateSpread, RelaysWantReports) {
  for (std::size_t Rank : {0U, 1U})
    EXPECT_TRUE(entry(localRelay(Rank)).wantsReports(Start));
  EXPECT_FALSE(plainEntry().wantsReports(Start));
}

TEST(StateSpread, SilentRelaysMakeEntryWantReports) {
  StateSpread Of = plainEntry();
  const StateBatch Empty{StateBatchFormat, Here, {}};
  Of.receiveBatch(localRelay(1), Empty, Start + 100ms);
  const TimePoint Silent = Start + 100ms + RelayTimeout;
  EXPECT_FALSE(Of.wantsReports(Silent - 1ns));
  EXPECT_TRUE(Of.wantsReports(Silent));
  Of.receiveBatch(localRelay(0), Empty, Silent + 100ms);
  for (Duration After = 100ms; After < MinDirectReporting; After += 100ms) {
    EXPECT_TRUE(Of.wantsReports(Silent + After));
    Of.receiveBatch(localRelay(0), Empty, Silent + After);
  }
  EXPECT_FALSE(Of.wantsReports(Silent + MinDirectReporting));
}

TEST(StateSpread, BatchesOfOthersDoNotCountAsOwnRelays) {
  StateSpread Of = plainEntry();
  Of.receiveBatch(remoteRelay(0), {StateBatchFormat, There, {}}, Start + 300ms);
  Of.receiveBatch(localRelay(0), {StateBatchFormat, There, {}}, Start + 300ms);
  Of.receiveBatch(remoteRelay(0), {StateBatchFormat, Here, {}}, Start + 300ms);
  EXPECT_TRUE(Of.wantsReports(Start + RelayTimeout));
}

} // namespace
