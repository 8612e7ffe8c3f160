// Whom a relay tells what, and when.
#include "state-spread-fixture.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <ostream>
#include <set>

using namespace deckpitch;
using namespace deckpitch::spread_test;
using namespace std::chrono_literals;

namespace {

/// What one entry was told, by address: running requests, in order.
using Told = std::map<std::string, std::vector<std::uint32_t>>;

Told toldTo(const InstanceId &Id, const std::vector<StateSend> &Sends) {
  Told Out;
  for (const StateSend &Send : Sends)
    for (const InstanceId &To : Send.m_To)
      for (const ToldState &Each : Send.m_Batch.m_States)
        if (To == Id)
          Out[Each.m_State.m_Address].push_back(
              Each.m_State.m_Report.m_Running);
  return Out;
}

/// Entries that are told of an instance.
std::set<InstanceId> receivers(const std::string &Of,
                               const std::vector<StateSend> &Sends) {
  std::set<InstanceId> Out;
  for (const EntryCandidate &Each : allEntries())
    if (toldTo(Each.m_Id, Sends).contains(Of))
      Out.insert(Each.m_Id);
  return Out;
}

/// Entries to which anything is sent.
std::set<InstanceId> receivers(const std::vector<StateSend> &Sends) {
  std::set<InstanceId> Out;
  for (const StateSend &Each : Sends)
    Out.insert(Each.m_To.begin(), Each.m_To.end());
  return Out;
}

std::set<InstanceId> setOf(std::vector<InstanceId> Ids) {
  return {Ids.begin(), Ids.end()};
}

/// A state that came from another data centre, or another relay of the own.
void hear(StateSpread &By, const InstanceId &From, const DataCentreId &Of,
          const SpreadState &Said, TimePoint Now) {
  By.hearEntry(From, {StateBatchFormat, Of, {{Said, 0ms}}}, Now);
}

/// A relay has told all that it knows by then.
constexpr TimePoint Quiet = Start + 1ms;

StateSpread toldRelay(const InstanceId &Id) {
  StateSpread Of = entry(Id);
  Of.hearAgent(stateOf(OwnInstance, {{5}, 1}, 1), Start);
  Of.due(Quiet);
  return Of;
}

TEST(StateSpreadRounds, AnEntryThatIsNoRelaySendsNothing) {
  StateSpread Of = plainEntry();
  Of.hearAgent(stateOf(OwnInstance, {{5}, 1}, 1), Start);
  hear(Of, farRelay(0), There, stateOf(FarInstance, {{5}, 1}, 1), Start);
  for (TimePoint Now = Start; Now < Start + 3s; Now += 10ms)
    EXPECT_TRUE(Of.due(Now).empty());
}

TEST(StateSpreadRounds, AChangeGoesToAllNearAndToOneInEachOtherDataCentre) {
  for (std::size_t Rank : {0U, 1U}) {
    StateSpread Of = entry(nearRelay(Rank));
    Of.hearAgent(stateOf(OwnInstance, {{5}, 1}, 7), Start);
    std::set<InstanceId> Expected = setOf(plainEntriesOf(Here));
    Expected.insert(nearRelay(1 - Rank));
    Expected.insert(farRelay(Rank));
    Expected.insert(chooseRelays(Third, allEntries()).at(Rank));
    EXPECT_EQ(receivers(OwnInstance, Of.due(Start)), Expected);
  }
}

TEST(StateSpreadRounds, ChangesWaitForTheRoundOfTheirReceiver) {
  StateSpread Of = toldRelay(nearRelay(0));
  const InstanceId Near = plainEntriesOf(Here).front();
  std::map<InstanceId, std::vector<TimePoint>> Sent;
  std::uint64_t Sequence = 1;
  for (TimePoint Now = Quiet + 10ms; Now < Quiet + 1s; Now += 10ms) {
    const auto Count = static_cast<std::uint32_t>(++Sequence);
    Of.hearAgent(stateOf(OwnInstance, {{5}, Sequence}, Count), Now);
    for (const StateSend &Send : Of.due(Now))
      for (const InstanceId &To : Send.m_To)
        Sent[To].push_back(Now);
  }
  const auto CheckSpan = [&](const InstanceId &To, Duration Span) {
    const std::vector<TimePoint> &Times = Sent[To];
    ASSERT_GE(Times.size(), 2U);
    for (std::size_t I = 1; I < Times.size(); ++I)
      EXPECT_EQ(Times[I] - Times[I - 1], Span);
  };
  CheckSpan(Near, NearSpan);
  CheckSpan(farRelay(0), FarSpan);
}

TEST(StateSpreadRounds, WhatHasNotChangedIsToldOnceInEachSpan) {
  constexpr std::size_t Count = 40;
  StateSpread Of({nearRelay(0), Here});
  std::vector<ListedAddress> Listed;
  for (std::size_t I = 0; I < Count; ++I)
    Listed.push_back({"10.0.0." + std::to_string(I) + ":9000", Here});
  Of.setInstances(Listed);
  Of.setEntries(allEntries(), Start);
  for (const ListedAddress &Each : Listed)
    Of.hearAgent(stateOf(Each.m_Address, {{5}, 1}, 1), Start);
  const InstanceId Near = plainEntriesOf(Here).front();
  EXPECT_EQ(toldTo(Near, Of.due(Start)).size(), Count);
  Told All;
  std::size_t MostInOne = 0;
  for (TimePoint Now = Start + 10ms; Now <= Start + RepeatSpan; Now += 10ms) {
    const Told Round = toldTo(Near, Of.due(Now));
    MostInOne = std::max(MostInOne, Round.size());
    for (const auto &[Address, Counts] : Round)
      All[Address].insert(All[Address].end(), Counts.begin(), Counts.end());
  }
  EXPECT_EQ(All.size(), Count);
  for (const auto &[Address, Counts] : All)
    EXPECT_EQ(Counts.size(), 1U) << Address;
  EXPECT_LE(MostInOne, Count / 2);
}

TEST(StateSpreadRounds, ARelayWithNothingToTellIsHeardAllTheSame) {
  StateSpread Of = toldRelay(nearRelay(0));
  for (TimePoint Now = Quiet + FarSpan; Now < Quiet + 3s; Now += FarSpan) {
    const std::set<InstanceId> Heard = receivers(Of.due(Now));
    EXPECT_TRUE(Heard.contains(plainEntriesOf(Here).front()));
    EXPECT_TRUE(Heard.contains(farRelay(0)));
  }
}

TEST(StateSpreadRounds, StatesOutOfUseAreNotPassedOn) {
  StateSpread Of = entry(nearRelay(0));
  Of.hearAgent(stateOf(OwnInstance, {{5}, 1}, 7), Start);
  Of.due(Start);
  std::size_t Young = 0;
  std::size_t Old = 0;
  for (TimePoint Now = Start; Now < Start + 8s; Now += 10ms)
    (Now - Start <= LongestUse ? Young : Old) +=
        receivers(OwnInstance, Of.due(Now)).size();
  EXPECT_GT(Young, 0U);
  EXPECT_EQ(Old, 0U);
}

TEST(StateSpreadRounds, TellsTheAgeThatAStateHasByThen) {
  StateSpread Of = entry(nearRelay(0));
  Of.hearAgent(stateOf(OwnInstance, {{5}, 1}, 7), Start, 20ms);
  std::vector<ToldState> All;
  for (const StateSend &Each : Of.due(Start + 30ms + 1us))
    All.insert(All.end(), Each.m_Batch.m_States.begin(),
               Each.m_Batch.m_States.end());
  ASSERT_FALSE(All.empty());
  for (const ToldState &Each : All)
    EXPECT_EQ(Each.m_Age, 51ms); // rounded up
}

/// A change of what may be sent to an instance.
struct Urgent {
  const char *m_Name;
  std::function<void(InstanceReport &)> m_Change;
};

void PrintTo(const Urgent &Value, std::ostream *Out) { *Out << Value.m_Name; }

class StateSpreadUrgent : public testing::TestWithParam<Urgent> {};

TEST_P(StateSpreadUrgent, IsToldAtOnceAndNotAgainWithTheRound) {
  StateSpread Of = toldRelay(nearRelay(0));
  SpreadState Said = stateOf(OwnInstance, {{5}, 2}, 1);
  GetParam().m_Change(Said.m_Report);
  const TimePoint Now = Quiet + 10ms;
  Of.hearAgent(Said, Now);
  std::set<InstanceId> Expected = setOf(plainEntriesOf(Here));
  Expected.insert(nearRelay(1));
  Expected.insert(farRelay(0));
  Expected.insert(chooseRelays(Third, allEntries()).at(0));
  EXPECT_EQ(receivers(OwnInstance, Of.due(Now)), Expected);
  const InstanceId Near = plainEntriesOf(Here).front();
  std::size_t Again = 0;
  std::size_t AgainFar = 0;
  for (TimePoint Later = Now; Later < Now + RepeatSpan; Later += 10ms) {
    // Else all is told to both relays there.
    Of.hearEntry(farRelay(0), {StateBatchFormat, There, {}}, Later);
    const std::vector<StateSend> Sends = Of.due(Later);
    Again += toldTo(Near, Sends).size();
    AgainFar += toldTo(farRelay(0), Sends).size();
  }
  EXPECT_LE(Again, 1U); // the repeat
  EXPECT_LE(AgainFar, 1U);
}

TEST_P(StateSpreadUrgent, IsPassedOnAtOnceByARelayOfAnotherDataCentre) {
  StateSpread Of = entry(nearRelay(0));
  hear(Of, farRelay(0), There, stateOf(FarInstance, {{5}, 1}, 1), Start);
  Of.due(Quiet);
  SpreadState Said = stateOf(FarInstance, {{5}, 2}, 1);
  GetParam().m_Change(Said.m_Report);
  hear(Of, farRelay(0), There, Said, Quiet + 10ms);
  EXPECT_EQ(receivers(FarInstance, Of.due(Quiet + 10ms)),
            setOf(plainEntriesOf(Here)));
}

const Urgent UrgentChanges[] = {
    {"TakesRequests", [](InstanceReport &In) { In.m_TakesRequests = false; }},
    {"Weights", [](InstanceReport &In) { ++In.m_Weights.front().m_Version; }},
    {"Loading", [](InstanceReport &In) { In.m_Loading = 2; }},
    {"Start", [](InstanceReport &In) { In.m_Start = 9; }},
    {"SwapIn", [](InstanceReport &In) { In.m_SwapIn = 1s; }},
};

INSTANTIATE_TEST_SUITE_P(Table, StateSpreadUrgent,
                         testing::ValuesIn(UrgentChanges),
                         [](const auto &Info) { return Info.param.m_Name; });

TEST(StateSpreadRounds, TheCountdownToOtherWeightsIsNoChange) {
  StateSpread Of = entry(nearRelay(0));
  SpreadState Said = stateOf(OwnInstance, {{5}, 1}, 1);
  Said.m_Report.m_SwapIn = 60s;
  Of.hearAgent(Said, Start);
  Of.due(Start);
  std::size_t Times = 0;
  for (Duration After = 50ms; After <= RepeatSpan; After += 50ms) {
    ++Said.m_Order.m_Sequence;
    Said.m_Report.m_SwapIn = 60s - After;
    Of.hearAgent(Said, Start + After);
    Of.hearEntry(farRelay(0), {StateBatchFormat, There, {}}, Start + After);
    Times += toldTo(farRelay(0), Of.due(Start + After)).size();
  }
  EXPECT_EQ(Times, 1U); // the repeat
}

TEST(StateSpreadRounds, StatesOfOthersGoToTheOwnEntriesThatAreNoRelays) {
  StateSpread Of = entry(nearRelay(0));
  hear(Of, farRelay(0), There, stateOf(FarInstance, {{5}, 1}, 1), Start);
  EXPECT_EQ(receivers(FarInstance, Of.due(Start)), setOf(plainEntriesOf(Here)));
}

TEST(StateSpreadRounds, WhatTheOtherRelayToldIsNotToldToTheSameEntriesAgain) {
  StateSpread Of = toldRelay(nearRelay(0));
  hear(Of, nearRelay(1), Here, stateOf(OwnInstance, {{5}, 2}, 2), Quiet + 10ms);
  hear(Of, nearRelay(1), There, stateOf(FarInstance, {{5}, 2}, 2),
       Quiet + 10ms);
  const std::vector<StateSend> Sends = Of.due(Quiet + FarSpan);
  // It may be what this relay's own path has not brought.
  EXPECT_EQ(toldTo(farRelay(0), Sends), (Told{{OwnInstance, {2}}}));
  for (const InstanceId &Each : plainEntriesOf(Here))
    EXPECT_FALSE(toldTo(Each, Sends).contains(FarInstance));
}

TEST(StateSpreadRounds, WhoTellsForAnotherDataCentreIsNotAnswered) {
  StateSpread Of = toldRelay(nearRelay(0));
  const InstanceId Stranger = plainEntriesOf(Third).front();
  hear(Of, Stranger, There, stateOf(FarInstance, {{5}, 1}, 1), Quiet);
  for (TimePoint Now = Quiet; Now < Quiet + 1s; Now += 10ms)
    EXPECT_FALSE(receivers(Of.due(Now)).contains(Stranger));
}

TEST(StateSpreadRounds, BatchesAreBoundedAndHoldAll) {
  constexpr std::size_t Count = 100;
  std::vector<ToldState> States;
  for (std::size_t I = 0; I < Count; ++I)
    States.push_back(
        {stateOf("10.0.0." + std::to_string(I) + ":9000", {{5}, 1}, 1), 0ms});
  std::vector<ToldState> Back;
  const std::vector<StateBatch> Batches = inBatches(Here, States);
  for (const StateBatch &Each : Batches) {
    EXPECT_LE(estimatedBytes(Each), MostBatchBytes);
    EXPECT_TRUE(isSound(Each));
    Back.insert(Back.end(), Each.m_States.begin(), Each.m_States.end());
  }
  EXPECT_EQ(Back, States);
  EXPECT_GT(Batches.size(), 1U);
  EXPECT_TRUE(inBatches(Here, {}).empty());
}

TEST(StateSpreadRounds, AStateThatFillsABatchGoesAlone) {
  SpreadState Large = stateOf(OwnInstance, {{5}, 1}, 1);
  for (int I = 0; I < 100; ++I)
    Large.m_Report.m_Weights.push_back({"model", 1, true});
  const auto Batches = inBatches(Here, {{Large, 0ms}, {Large, 0ms}});
  ASSERT_EQ(Batches.size(), 2U);
  for (const StateBatch &Each : Batches)
    EXPECT_TRUE(isSound(Each) && Each.m_States.size() == 1);
}

TEST(StateSpreadRounds, AnEntryThatIsNewIsToldAll) {
  StateSpread Of = toldRelay(nearRelay(0));
  hear(Of, farRelay(0), There, stateOf(FarInstance, {{5}, 1}, 1), Start);
  Of.due(Quiet + 1ms);
  const InstanceId Late = plainEntriesOf(Here).front();
  Of.setEntries(without(allEntries(), {Late}), Quiet + 2ms);
  Of.due(Quiet + 3ms);
  Of.setEntries(allEntries(), Quiet + 4ms);
  const Told Heard = toldTo(Late, Of.due(Quiet + 2 * NearSpan));
  EXPECT_EQ(Heard, (Told{{OwnInstance, {1}}, {FarInstance, {1}}}));
}

TEST(StateSpreadRounds, ASingleRelayTellsBothOfAnotherDataCentre) {
  const InstanceId Only = nearRelay(0);
  StateSpread Of({Only, Here});
  Of.setInstances(listed());
  std::vector<EntryCandidate> Live = entriesOf(There);
  Live.push_back({Only, Here});
  Of.setEntries(Live, Start);
  Of.hearAgent(stateOf(OwnInstance, {{5}, 1}, 1), Start);
  EXPECT_EQ(receivers(OwnInstance, Of.due(Start)),
            (std::set<InstanceId>{farRelay(0), farRelay(1)}));
}

TEST(StateSpreadRounds, BothRelaysTellTheSingleOneOfAnotherDataCentre) {
  const InstanceId Only = farRelay(0);
  std::vector<EntryCandidate> Live = entriesOf(Here);
  Live.push_back({Only, There});
  for (std::size_t Rank : {0U, 1U}) {
    StateSpread Of({nearRelay(Rank), Here});
    Of.setInstances(listed());
    Of.setEntries(Live, Start);
    Of.hearAgent(stateOf(OwnInstance, {{5}, 1}, 1), Start);
    EXPECT_TRUE(receivers(OwnInstance, Of.due(Start)).contains(Only));
  }
}

TEST(StateSpreadRounds, ASilentPartnerIsReplacedByBothUntilItIsHeard) {
  StateSpread Of = toldRelay(nearRelay(0));
  const auto IsOtherTold = [&](TimePoint Now) {
    const std::set<InstanceId> Heard = receivers(Of.due(Now));
    EXPECT_TRUE(Heard.contains(farRelay(0)));
    return Heard.contains(farRelay(1));
  };
  const StateBatch Empty{StateBatchFormat, There, {}};
  EXPECT_FALSE(IsOtherTold(Start + FarSpan + 1ms));
  Of.hearEntry(farRelay(0), Empty, Start + FarSpan + 1ms);
  EXPECT_FALSE(IsOtherTold(Start + PathSilence));
  EXPECT_TRUE(IsOtherTold(Start + FarSpan + PathSilence + 100ms));
  Of.hearEntry(farRelay(0), Empty, Start + 2s);
  EXPECT_FALSE(IsOtherTold(Start + 2s));
}

TEST(StateSpreadRounds, WhoTellsOfItsDataCentreIsAnswered) {
  StateSpread Of = toldRelay(nearRelay(0));
  const StateBatch Empty{StateBatchFormat, There, {}};
  const InstanceId Successor = plainEntriesOf(There).front();
  Of.hearEntry(farRelay(0), Empty, Quiet + 10ms);
  Of.hearEntry(Successor, Empty, Quiet + 10ms);
  const std::vector<StateSend> Sends = Of.due(Quiet + FarSpan);
  EXPECT_EQ(toldTo(Successor, Sends), (Told{{OwnInstance, {1}}}));
}

} // namespace
