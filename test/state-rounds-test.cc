// What a relay sends to whom, and when.
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

/// What one entry received: running requests by address, in order.
using Received = std::map<std::string, std::vector<std::uint32_t>>;

Received sentTo(const InstanceId &Id, const std::vector<StateSend> &Sends) {
  Received Out;
  for (const StateSend &Send : Sends)
    for (const InstanceId &To : Send.m_To)
      for (const AgedState &Each : Send.m_Batch.m_States)
        if (To == Id)
          Out[Each.m_State.m_Address].push_back(
              Each.m_State.m_Report.m_Running);
  return Out;
}

/// Returns the entries that receive the state of an instance.
std::set<InstanceId> receivers(const std::string &Of,
                               const std::vector<StateSend> &Sends) {
  std::set<InstanceId> Out;
  for (const EntryCandidate &Each : allEntries())
    if (sentTo(Each.m_Id, Sends).contains(Of))
      Out.insert(Each.m_Id);
  return Out;
}

/// Returns the entries to which anything is sent.
std::set<InstanceId> receivers(const std::vector<StateSend> &Sends) {
  std::set<InstanceId> Out;
  for (const StateSend &Each : Sends)
    Out.insert(Each.m_To.begin(), Each.m_To.end());
  return Out;
}

std::set<InstanceId> setOf(std::vector<InstanceId> Ids) {
  return {Ids.begin(), Ids.end()};
}

/// Delivers a state from another data centre, or from another relay of the own
/// one.
void deliver(StateSpread &By, const InstanceId &From, const DataCentreId &Of,
             const SpreadState &Said, TimePoint Now) {
  By.receiveBatch(From, {StateBatchFormat, Of, {{Said, 0ms}}}, Now);
}

/// By then a relay has sent all that it knows.
constexpr TimePoint Quiet = Start + 1ms;

StateSpread relayAfterFirstRound(const InstanceId &Id) {
  StateSpread Of = entry(Id);
  Of.receiveReport(stateOf(OwnInstance, {{5}, 1}, 1), Start);
  Of.due(Quiet);
  return Of;
}

TEST(StateSpreadRounds, NonRelaySendsNothing) {
  StateSpread Of = plainEntry();
  Of.receiveReport(stateOf(OwnInstance, {{5}, 1}, 1), Start);
  deliver(Of, remoteRelay(0), There, stateOf(RemoteInstance, {{5}, 1}, 1),
          Start);
  for (TimePoint Now = Start; Now < Start + 3s; Now += 10ms)
    EXPECT_TRUE(Of.due(Now).empty());
}

TEST(StateSpreadRounds, ChangeGoesToAllLocalEntriesAndOneRemoteRelayEach) {
  for (std::size_t Rank : {0U, 1U}) {
    StateSpread Of = entry(localRelay(Rank));
    Of.receiveReport(stateOf(OwnInstance, {{5}, 1}, 7), Start);
    std::set<InstanceId> Expected = setOf(plainEntriesOf(Here));
    Expected.insert(localRelay(1 - Rank));
    Expected.insert(remoteRelay(Rank));
    Expected.insert(chooseRelays(Third, allEntries()).at(Rank));
    EXPECT_EQ(receivers(OwnInstance, Of.due(Start)), Expected);
  }
}

TEST(StateSpreadRounds, ChangesWaitForRound) {
  StateSpread Of = relayAfterFirstRound(localRelay(0));
  const InstanceId Local = plainEntriesOf(Here).front();
  std::map<InstanceId, std::vector<TimePoint>> Sent;
  std::uint64_t Sequence = 1;
  for (TimePoint Now = Quiet + 10ms; Now < Quiet + 1s; Now += 10ms) {
    const auto Count = static_cast<std::uint32_t>(++Sequence);
    Of.receiveReport(stateOf(OwnInstance, {{5}, Sequence}, Count), Now);
    for (const StateSend &Send : Of.due(Now))
      for (const InstanceId &To : Send.m_To)
        Sent[To].push_back(Now);
  }
  const auto CheckInterval = [&](const InstanceId &To, Duration Span) {
    const std::vector<TimePoint> &Times = Sent[To];
    ASSERT_GE(Times.size(), 2U);
    for (std::size_t I = 1; I < Times.size(); ++I)
      EXPECT_EQ(Times[I] - Times[I - 1], Span);
  };
  CheckInterval(Local, LocalInterval);
  CheckInterval(remoteRelay(0), RemoteInterval);
}

TEST(StateSpreadRounds, UnchangedStatesAreRepeatedOncePerInterval) {
  constexpr std::size_t Count = 40;
  StateSpread Of({localRelay(0), Here});
  std::vector<ListedAddress> Listed;
  for (std::size_t I = 0; I < Count; ++I)
    Listed.push_back({"10.0.0." + std::to_string(I) + ":9000", Here});
  Of.setInstances(Listed);
  Of.setEntries(allEntries(), Start);
  for (const ListedAddress &Each : Listed)
    Of.receiveReport(stateOf(Each.m_Address, {{5}, 1}, 1), Start);
  const InstanceId Local = plainEntriesOf(Here).front();
  EXPECT_EQ(sentTo(Local, Of.due(Start)).size(), Count);
  Received All;
  std::size_t MostInOne = 0;
  for (TimePoint Now = Start + 10ms; Now <= Start + RepeatInterval;
       Now += 10ms) {
    const Received Round = sentTo(Local, Of.due(Now));
    MostInOne = std::max(MostInOne, Round.size());
    for (const auto &[Address, Counts] : Round)
      All[Address].insert(All[Address].end(), Counts.begin(), Counts.end());
  }
  EXPECT_EQ(All.size(), Count);
  for (const auto &[Address, Counts] : All)
    EXPECT_EQ(Counts.size(), 1U) << Address;
  EXPECT_LE(MostInOne, Count / 2);
}

TEST(StateSpreadRounds, IdleRelaySendsEmptyRounds) {
  StateSpread Of = relayAfterFirstRound(localRelay(0));
  for (TimePoint Now = Quiet + RemoteInterval; Now < Quiet + 3s;
       Now += RemoteInterval) {
    const std::set<InstanceId> Reached = receivers(Of.due(Now));
    EXPECT_TRUE(Reached.contains(plainEntriesOf(Here).front()));
    EXPECT_TRUE(Reached.contains(remoteRelay(0)));
  }
}

TEST(StateSpreadRounds, OutdatedStatesAreNotSent) {
  StateSpread Of = entry(localRelay(0));
  Of.receiveReport(stateOf(OwnInstance, {{5}, 1}, 7), Start);
  Of.due(Start);
  std::size_t Young = 0;
  std::size_t Old = 0;
  for (TimePoint Now = Start; Now < Start + 8s; Now += 10ms)
    (Now - Start <= MaxStateAge ? Young : Old) +=
        receivers(OwnInstance, Of.due(Now)).size();
  EXPECT_GT(Young, 0U);
  EXPECT_EQ(Old, 0U);
}

TEST(StateSpreadRounds, SendsAgeAtSending) {
  StateSpread Of = entry(localRelay(0));
  Of.receiveReport(stateOf(OwnInstance, {{5}, 1}, 7), Start, 20ms);
  std::vector<AgedState> All;
  for (const StateSend &Each : Of.due(Start + 30ms + 1us))
    All.insert(All.end(), Each.m_Batch.m_States.begin(),
               Each.m_Batch.m_States.end());
  ASSERT_FALSE(All.empty());
  for (const AgedState &Each : All)
    EXPECT_EQ(Each.m_Age, 51ms); // rounded up
}

/// A change of what may be sent to an instance.
struct Urgent {
  const char *m_Name;
  std::function<void(InstanceReport &)> m_Change;
};

void PrintTo(const Urgent &Value, std::ostream *Out) { *Out << Value.m_Name; }

class StateSpreadUrgent : public testing::TestWithParam<Urgent> {};

TEST_P(StateSpreadUrgent, IsSentAtOnceAndNotAgainInRound) {
  StateSpread Of = relayAfterFirstRound(localRelay(0));
  SpreadState Said = stateOf(OwnInstance, {{5}, 2}, 1);
  GetParam().m_Change(Said.m_Report);
  const TimePoint Now = Quiet + 10ms;
  Of.receiveReport(Said, Now);
  std::set<InstanceId> Expected = setOf(plainEntriesOf(Here));
  Expected.insert(localRelay(1));
  Expected.insert(remoteRelay(0));
  Expected.insert(chooseRelays(Third, allEntries()).at(0));
  EXPECT_EQ(receivers(OwnInstance, Of.due(Now)), Expected);
  const InstanceId Local = plainEntriesOf(Here).front();
  std::size_t Again = 0;
  std::size_t AgainRemote = 0;
  for (TimePoint Later = Now; Later < Now + RepeatInterval; Later += 10ms) {
    // Otherwise everything is sent to both relays there.
    Of.receiveBatch(remoteRelay(0), {StateBatchFormat, There, {}}, Later);
    const std::vector<StateSend> Sends = Of.due(Later);
    Again += sentTo(Local, Sends).size();
    AgainRemote += sentTo(remoteRelay(0), Sends).size();
  }
  EXPECT_LE(Again, 1U); // the repeat
  EXPECT_LE(AgainRemote, 1U);
}

TEST_P(StateSpreadUrgent, IsPassedOnAtOnceByRemoteRelay) {
  StateSpread Of = entry(localRelay(0));
  deliver(Of, remoteRelay(0), There, stateOf(RemoteInstance, {{5}, 1}, 1),
          Start);
  Of.due(Quiet);
  SpreadState Said = stateOf(RemoteInstance, {{5}, 2}, 1);
  GetParam().m_Change(Said.m_Report);
  deliver(Of, remoteRelay(0), There, Said, Quiet + 10ms);
  EXPECT_EQ(receivers(RemoteInstance, Of.due(Quiet + 10ms)),
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

TEST(StateSpreadRounds, SwapCountdownIsNoChange) {
  StateSpread Of = entry(localRelay(0));
  SpreadState Said = stateOf(OwnInstance, {{5}, 1}, 1);
  Said.m_Report.m_SwapIn = 60s;
  Of.receiveReport(Said, Start);
  Of.due(Start);
  std::size_t Times = 0;
  for (Duration After = 50ms; After <= RepeatInterval; After += 50ms) {
    ++Said.m_Order.m_Sequence;
    Said.m_Report.m_SwapIn = 60s - After;
    Of.receiveReport(Said, Start + After);
    Of.receiveBatch(remoteRelay(0), {StateBatchFormat, There, {}},
                    Start + After);
    Times += sentTo(remoteRelay(0), Of.due(Start + After)).size();
  }
  EXPECT_EQ(Times, 1U); // the repeat
}

TEST(StateSpreadRounds, RemoteStatesGoToLocalNonRelays) {
  StateSpread Of = entry(localRelay(0));
  deliver(Of, remoteRelay(0), There, stateOf(RemoteInstance, {{5}, 1}, 1),
          Start);
  EXPECT_EQ(receivers(RemoteInstance, Of.due(Start)),
            setOf(plainEntriesOf(Here)));
}

TEST(StateSpreadRounds, StatesOfOtherRelayAreNotSentTwice) {
  StateSpread Of = relayAfterFirstRound(localRelay(0));
  deliver(Of, localRelay(1), Here, stateOf(OwnInstance, {{5}, 2}, 2),
          Quiet + 10ms);
  deliver(Of, localRelay(1), There, stateOf(RemoteInstance, {{5}, 2}, 2),
          Quiet + 10ms);
  const std::vector<StateSend> Sends = Of.due(Quiet + RemoteInterval);
  // The own path of this relay may not have delivered it.
  EXPECT_EQ(sentTo(remoteRelay(0), Sends), (Received{{OwnInstance, {2}}}));
  for (const InstanceId &Each : plainEntriesOf(Here))
    EXPECT_FALSE(sentTo(Each, Sends).contains(RemoteInstance));
}

TEST(StateSpreadRounds, SenderForAnotherDataCentreIsNotAnswered) {
  StateSpread Of = relayAfterFirstRound(localRelay(0));
  const InstanceId Stranger = plainEntriesOf(Third).front();
  deliver(Of, Stranger, There, stateOf(RemoteInstance, {{5}, 1}, 1), Quiet);
  for (TimePoint Now = Quiet; Now < Quiet + 1s; Now += 10ms)
    EXPECT_FALSE(receivers(Of.due(Now)).contains(Stranger));
}

TEST(StateSpreadRounds, BatchesAreBoundedAndComplete) {
  constexpr std::size_t Count = 100;
  std::vector<AgedState> States;
  for (std::size_t I = 0; I < Count; ++I)
    States.push_back(
        {stateOf("10.0.0." + std::to_string(I) + ":9000", {{5}, 1}, 1), 0ms});
  std::vector<AgedState> Back;
  const std::vector<StateBatch> Batches = inBatches(Here, States);
  for (const StateBatch &Each : Batches) {
    EXPECT_LE(estimatedBytes(Each), MaxBatchBytes);
    EXPECT_TRUE(isValid(Each));
    Back.insert(Back.end(), Each.m_States.begin(), Each.m_States.end());
  }
  EXPECT_EQ(Back, States);
  EXPECT_GT(Batches.size(), 1U);
  EXPECT_TRUE(inBatches(Here, {}).empty());
}

TEST(StateSpreadRounds, OversizedStateGetsItsOwnBatch) {
  SpreadState Large = stateOf(OwnInstance, {{5}, 1}, 1);
  for (int I = 0; I < 100; ++I)
    Large.m_Report.m_Weights.push_back({"model", 1, true});
  const auto Batches = inBatches(Here, {{Large, 0ms}, {Large, 0ms}});
  ASSERT_EQ(Batches.size(), 2U);
  for (const StateBatch &Each : Batches)
    EXPECT_TRUE(isValid(Each) && Each.m_States.size() == 1);
}

TEST(StateSpreadRounds, NewEntryReceivesAllStates) {
  StateSpread Of = relayAfterFirstRound(localRelay(0));
  deliver(Of, remoteRelay(0), There, stateOf(RemoteInstance, {{5}, 1}, 1),
          Start);
  Of.due(Quiet + 1ms);
  const InstanceId Late = plainEntriesOf(Here).front();
  Of.setEntries(without(allEntries(), {Late}), Quiet + 2ms);
  Of.due(Quiet + 3ms);
  Of.setEntries(allEntries(), Quiet + 4ms);
  const Received Reached = sentTo(Late, Of.due(Quiet + 2 * LocalInterval));
  EXPECT_EQ(Reached, (Received{{OwnInstance, {1}}, {RemoteInstance, {1}}}));
}

TEST(StateSpreadRounds, SingleRelaySendsToBothRemoteRelays) {
  const InstanceId Only = localRelay(0);
  StateSpread Of({Only, Here});
  Of.setInstances(listed());
  std::vector<EntryCandidate> Live = entriesOf(There);
  Live.push_back({Only, Here});
  Of.setEntries(Live, Start);
  Of.receiveReport(stateOf(OwnInstance, {{5}, 1}, 1), Start);
  EXPECT_EQ(receivers(OwnInstance, Of.due(Start)),
            (std::set<InstanceId>{remoteRelay(0), remoteRelay(1)}));
}

TEST(StateSpreadRounds, BothRelaysSendToSingleRemoteRelay) {
  const InstanceId Only = remoteRelay(0);
  std::vector<EntryCandidate> Live = entriesOf(Here);
  Live.push_back({Only, There});
  for (std::size_t Rank : {0U, 1U}) {
    StateSpread Of({localRelay(Rank), Here});
    Of.setInstances(listed());
    Of.setEntries(Live, Start);
    Of.receiveReport(stateOf(OwnInstance, {{5}, 1}, 1), Start);
    EXPECT_TRUE(receivers(OwnInstance, Of.due(Start)).contains(Only));
  }
}

TEST(StateSpreadRounds, SilentPartnerIsBackedUpByBothRelays) {
  StateSpread Of = relayAfterFirstRound(localRelay(0));
  const auto IsOtherReached = [&](TimePoint Now) {
    const std::set<InstanceId> Reached = receivers(Of.due(Now));
    EXPECT_TRUE(Reached.contains(remoteRelay(0)));
    return Reached.contains(remoteRelay(1));
  };
  const StateBatch Empty{StateBatchFormat, There, {}};
  EXPECT_FALSE(IsOtherReached(Start + RemoteInterval + 1ms));
  Of.receiveBatch(remoteRelay(0), Empty, Start + RemoteInterval + 1ms);
  EXPECT_FALSE(IsOtherReached(Start + PathTimeout));
  EXPECT_TRUE(IsOtherReached(Start + RemoteInterval + PathTimeout + 100ms));
  Of.receiveBatch(remoteRelay(0), Empty, Start + 2s);
  EXPECT_FALSE(IsOtherReached(Start + 2s));
}

TEST(StateSpreadRounds, SuccessorRelayIsAnswered) {
  StateSpread Of = relayAfterFirstRound(localRelay(0));
  const StateBatch Empty{StateBatchFormat, There, {}};
  const InstanceId Successor = plainEntriesOf(There).front();
  Of.receiveBatch(remoteRelay(0), Empty, Quiet + 10ms);
  Of.receiveBatch(Successor, Empty, Quiet + 10ms);
  const std::vector<StateSend> Sends = Of.due(Quiet + RemoteInterval);
  EXPECT_EQ(sentTo(Successor, Sends), (Received{{OwnInstance, {1}}}));
}

} // namespace
