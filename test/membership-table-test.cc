#include "deckpitch/membership-table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr MembershipSettings Limits{1'000ms, 3'000ms, 15'000ms};

Member member(const std::string &Name, Role As,
              std::uint64_t IncarnationNumber = 1,
              const std::string &Centre = "lahore") {
  Member Out;
  Out.m_Id.m_Text = Name;
  Out.m_Incarnation.m_Value = IncarnationNumber;
  Out.m_Role = As;
  Out.m_DataCentre.m_Text = Centre;
  return Out;
}

/// Entries that exchange records, and members that send heartbeats, on a
/// virtual clock that advances one heartbeat interval per step.
class Fleet {
public:
  Fleet(std::size_t Entries, std::size_t Agents) {
    for (std::size_t I = 0; I < Entries; ++I)
      add(member("e" + std::to_string(I), Role::Entry));
    for (std::size_t I = 0; I < Agents; ++I)
      add(member("a" + std::to_string(I), Role::Agent));
    for (auto &[Id, Table] : m_Tables)
      for (const auto &[Other, Each] : m_Members)
        Table.merge(m_Now, {Each, 1});
  }

  void add(Member Value) {
    if (Value.m_Role == Role::Entry)
      m_Tables.emplace(Value.m_Id, MembershipTable(Value, Limits));
    m_Members[Value.m_Id] = Value;
  }

  /// Advances by one heartbeat interval.
  void step() {
    m_Now += 1s;
    ++m_Sequence;
    for (auto &[Id, Table] : m_Tables)
      if (!m_Dead.contains(Id))
        Table.setSelf(m_Members[Id], m_Sequence);
    for (const auto &[Id, Each] : m_Members)
      if (!m_Dead.contains(Id))
        beat(Each);
    for (auto &[Id, Table] : m_Tables)
      if (!m_Dead.contains(Id))
        exchange(Id, Table);
  }

  void steps(int Count) {
    for (int I = 0; I < Count; ++I)
      step();
  }

  MemberState stateAt(const std::string &Entry, const std::string &Of) {
    const MemberRecord *Found = m_Tables.at({Entry}).find({Of});
    return Found ? Found->m_Member.m_State : MemberState::Gone;
  }

  std::size_t seenAs(MemberState State, const std::string &Of) {
    std::size_t Count = 0;
    for (auto &[Id, Table] : m_Tables)
      if (!m_Dead.contains(Id))
        Count += stateAt(Id.m_Text, Of) == State ? 1 : 0;
    return Count;
  }

  TimePoint m_Now{};
  std::uint64_t m_Sequence = 1;
  std::map<InstanceId, Member> m_Members;
  std::map<InstanceId, MembershipTable> m_Tables;
  std::set<InstanceId> m_Dead;
  std::set<std::pair<InstanceId, InstanceId>> m_Cut; ///< from, to
  std::set<InstanceId> m_Silent; ///< alive, but their heartbeats are late

private:
  bool reaches(const InstanceId &From, const InstanceId &To) const {
    return !m_Dead.contains(To) && !m_Cut.contains({From, To});
  }

  void beat(const Member &Sender) {
    if (m_Silent.contains(Sender.m_Id))
      return;
    std::vector<EntryCandidate> Entries;
    for (const auto &[Id, Table] : m_Tables)
      if (!m_Dead.contains(Id))
        Entries.push_back({Id, m_Members[Id].m_DataCentre});
    for (const InstanceId &To :
         chooseEntries(Sender.m_Id, Sender.m_DataCentre, Entries))
      if (reaches(Sender.m_Id, To))
        m_Tables.at(To).receiveHeartbeat(m_Now, {Sender, m_Sequence});
  }

  void exchange(const InstanceId &Self, MembershipTable &Table) {
    for (const SilenceQuestion &Each : Table.tick(m_Now))
      for (const InstanceId &To : Each.m_Watchers)
        if (reaches(Self, To))
          if (const MemberRecord *Found = m_Tables.at(To).find(Each.m_Silent))
            Table.merge(m_Now, *Found);
    for (const InstanceId &To : targets(Self)) {
      const auto Changes = Table.takeChanges(20);
      if (!reaches(Self, To))
        continue;
      MembershipTable &Other = m_Tables.at(To);
      for (const MemberRecord &Each : Changes)
        Other.merge(m_Now, Each);
      compare(Self, Table, Other);
    }
  }

  /// Exchanges full views that differ several times in a row, as the daemon
  /// does.
  void compare(const InstanceId &Self, MembershipTable &A, MembershipTable &B) {
    unsigned &Differences = m_Differences[Self];
    Differences = A.digest() == B.digest() ? 0 : Differences + 1;
    if (Differences < 3)
      return;
    Differences = 0;
    for (const MemberRecord &Each : A.records())
      B.merge(m_Now, Each);
    for (const MemberRecord &Each : B.records())
      A.merge(m_Now, Each);
  }

  std::vector<InstanceId> targets(const InstanceId &Self) {
    std::vector<InstanceId> Others;
    for (const auto &[Id, Table] : m_Tables)
      if (Id != Self)
        Others.push_back(Id);
    std::shuffle(Others.begin(), Others.end(), m_Random);
    Others.resize(std::min<std::size_t>(Others.size(), 3));
    return Others;
  }

  std::map<InstanceId, unsigned> m_Differences;
  std::mt19937_64 m_Random{7};
};

TEST(Membership, SilentMemberIsSuspectThenGoneEverywhere) {
  Fleet Of(7, 20);
  Of.steps(3);
  Of.m_Dead.insert({"a3"});
  Of.steps(9);
  EXPECT_EQ(Of.seenAs(MemberState::Suspect, "a3"), 7U);
  Of.steps(15);
  EXPECT_EQ(Of.seenAs(MemberState::Gone, "a3"), 7U);
  EXPECT_EQ(Of.seenAs(MemberState::Alive, "a4"), 7U);
}

TEST(Membership, SlowMemberIsNeverGone) {
  Fleet Of(7, 20);
  Of.steps(3);
  for (int I = 0; I < 6; ++I) {
    Of.m_Silent.insert({"a3"});
    Of.steps(8);
    EXPECT_EQ(Of.seenAs(MemberState::Gone, "a3"), 0U);
    Of.m_Silent.clear();
    Of.steps(4);
    EXPECT_EQ(Of.seenAs(MemberState::Alive, "a3"), 7U);
  }
}

TEST(Membership, OneWayCutCausesNoSuspicion) {
  Fleet Of(7, 20);
  Of.steps(3);
  const auto Watchers = Of.m_Tables.at({"e0"}).watchersOf(Of.m_Members[{"a3"}]);
  Of.m_Cut.insert({{"a3"}, Watchers[0]});
  for (int I = 0; I < 40; ++I) {
    Of.step();
    ASSERT_EQ(Of.seenAs(MemberState::Alive, "a3"), 7U) << I;
  }
}

TEST(Membership, MemberLostWithBothWatchersIsGone) {
  Fleet Of(7, 20);
  Of.steps(3);
  for (const InstanceId &Each :
       Of.m_Tables.at({"e0"}).watchersOf(Of.m_Members[{"a3"}]))
    Of.m_Dead.insert(Each);
  Of.m_Dead.insert({"a3"});
  Of.m_Dead.insert({"a4"});
  Of.steps(50);
  EXPECT_EQ(Of.seenAs(MemberState::Gone, "a3"), 5U);
  EXPECT_EQ(Of.seenAs(MemberState::Gone, "a4"), 5U);
  EXPECT_EQ(Of.seenAs(MemberState::Alive, "a5"), 5U);
}

TEST(Membership, RestartIgnoresRecordsOfEarlierIncarnation) {
  Fleet Of(3, 4);
  Of.steps(3);
  const MemberRecord Old{Of.m_Members[{"a1"}], 1'000};
  Of.m_Members[{"a1"}].m_Incarnation = {2};
  Of.steps(4);
  MemberRecord Gone = Old;
  Gone.m_Member.m_State = MemberState::Gone;
  EXPECT_FALSE(Of.m_Tables.at({"e0"}).merge(Of.m_Now, Gone));
  EXPECT_EQ(Of.stateAt("e0", "a1"), MemberState::Alive);
}

TEST(Membership, PlatformListNeitherKillsNorRevives) {
  Fleet Of(3, 4);
  Of.steps(3);
  Of.m_Dead.insert({"a1"});
  Of.steps(25);
  ASSERT_EQ(Of.seenAs(MemberState::Gone, "a1"), 3U);
  for (auto &[Id, Table] : Of.m_Tables)
    Table.applyPlatformList({{{"a1"}, false}}); // a2 is missing, though alive
  Of.steps(2);
  EXPECT_EQ(Of.seenAs(MemberState::Gone, "a1"), 3U);
  EXPECT_EQ(Of.seenAs(MemberState::Alive, "a2"), 3U);
}

TEST(Membership, LeavingMarkReachesAllForOneIncarnation) {
  Fleet Of(5, 4);
  Of.steps(3);
  Of.m_Tables.at({"e0"}).applyPlatformList({{{"a1"}, true}});
  Of.steps(6);
  EXPECT_EQ(Of.seenAs(MemberState::Leaving, "a1"), 5U);
  Of.m_Members[{"a1"}].m_Incarnation = {2}; // the mark lags behind the restart
  Of.m_Tables.at({"e0"}).applyPlatformList({{{"a1"}, true}});
  Of.steps(6);
  Of.m_Tables.at({"e0"}).applyPlatformList({{{"a1"}, true}});
  Of.steps(6);
  EXPECT_EQ(Of.seenAs(MemberState::Alive, "a1"), 5U);
}

TEST(Membership, LeavingIncarnationIsKnownEverywhere) {
  Fleet Of(5, 4);
  Of.steps(3);
  EXPECT_EQ(Of.m_Tables.at({"e1"}).leavingIncarnation({"a1"}), Incarnation{});
  Of.m_Tables.at({"e0"}).applyPlatformList({{{"a1"}, true}});
  Of.steps(6);
  for (auto &[Id, Table] : Of.m_Tables) {
    EXPECT_EQ(Table.leavingIncarnation({"a1"}), Incarnation{1}) << Id.m_Text;
    EXPECT_EQ(Table.leavingIncarnation({"a2"}), Incarnation{}) << Id.m_Text;
  }
  Of.m_Members[{"a1"}].m_Incarnation = {2};
  Of.steps(6);
  for (auto &[Id, Table] : Of.m_Tables)
    EXPECT_EQ(Table.leavingIncarnation({"a1"}), Incarnation{}) << Id.m_Text;
}

TEST(Membership, EntryReadsItsOwnLeavingMark) {
  Fleet Of(3, 1);
  Of.steps(3);
  Of.m_Tables.at({"e0"}).applyPlatformList({{{"e0"}, true}});
  EXPECT_EQ(Of.m_Tables.at({"e0"}).leavingIncarnation({"e0"}), Incarnation{1});
  EXPECT_EQ(Of.stateAt("e0", "e0"), MemberState::Alive);
}

/// Members are restarted one after the other, without any list from the
/// platform.
TEST(Membership, TenMinutesWithoutPlatformLoseNoMember) {
  Fleet Of(5, 20);
  Of.steps(3);
  for (auto &[Id, Each] : Of.m_Members) {
    Of.m_Dead.insert(Id);
    Of.steps(4);
    Of.m_Dead.erase(Id);
    ++Each.m_Incarnation.m_Value;
    if (Each.m_Role == Role::Entry) {
      Of.m_Tables.at(Id) = MembershipTable(Each, Limits);
      for (const auto &[Other, Known] : Of.m_Members)
        Of.m_Tables.at(Id).merge(Of.m_Now, {Known, 1});
    }
    Of.steps(20);
  }
  ASSERT_GE(Of.m_Now.time_since_epoch(), 600s);
  for (const auto &[Id, Each] : Of.m_Members)
    for (const auto &[Entry, Table] : Of.m_Tables) {
      const MemberRecord *Found = Table.find(Id);
      ASSERT_NE(Found, nullptr);
      EXPECT_EQ(Found->m_Member.m_State, MemberState::Alive) << Id.m_Text;
      EXPECT_EQ(Found->m_Member.m_Incarnation, Incarnation{2}) << Id.m_Text;
    }
}

/// One entry that watches one agent.
struct Watch {
  Watch() {
    m_Table.receiveHeartbeat(TimePoint(0s), {member("a1", Role::Agent), 5});
    m_Table.tick(TimePoint(0s)); // the watch begins
  }
  MemberState state() const { return m_Table.find({"a1"})->m_Member.m_State; }

  MembershipTable m_Table{member("e0", Role::Entry), Limits};
};

TEST(Membership, OtherWatchersHaveTimeToAnswerBeforeSuspicion) {
  Watch Of;
  EXPECT_EQ(Of.m_Table.tick(TimePoint(3'000ms)).size(), 1U);
  Of.m_Table.tick(TimePoint(3'900ms));
  EXPECT_EQ(Of.state(), MemberState::Alive);
  Of.m_Table.tick(TimePoint(4'000ms));
  EXPECT_EQ(Of.state(), MemberState::Suspect);
}

TEST(Membership, SuspicionOfAnotherIsNoSignOfLife) {
  Watch Of;
  Member Suspected = member("a1", Role::Agent);
  Suspected.m_State = MemberState::Suspect;
  Of.m_Table.merge(TimePoint(2'900ms), {Suspected, 5});
  Of.m_Table.tick(TimePoint(13s));
  Of.m_Table.tick(TimePoint(15s));
  EXPECT_EQ(Of.state(), MemberState::Gone);
}

TEST(Membership, LateLeavingRecordStillCounts) {
  Watch Of;
  Member Leaves = member("a1", Role::Agent);
  Leaves.m_State = MemberState::Leaving;
  EXPECT_TRUE(Of.m_Table.merge(TimePoint(1s), {Leaves, 4}));
  EXPECT_EQ(Of.state(), MemberState::Leaving);
  Of.m_Table.receiveHeartbeat(TimePoint(2s), {member("a1", Role::Agent), 6});
  EXPECT_EQ(Of.state(), MemberState::Leaving);
}

TEST(Membership, TakenOverWatchStartsAtTakeover) {
  MembershipTable Table(member("e0", Role::Entry), Limits);
  Table.merge(TimePoint(0s), {member("e1", Role::Entry), 1});
  Table.merge(TimePoint(0s), {member("e2", Role::Entry), 1});
  std::vector<InstanceId> Taken;
  for (int I = 0; I < 30; ++I) {
    const Member Agent = member("a" + std::to_string(I), Role::Agent);
    Table.merge(TimePoint(0s), {Agent, 1});
    const auto Watchers = Table.watchersOf(Agent);
    if (std::find(Watchers.begin(), Watchers.end(), InstanceId{"e0"}) ==
        Watchers.end())
      Taken.push_back(Agent.m_Id);
  }
  ASSERT_FALSE(Taken.empty());
  Table.tick(TimePoint(0s));
  Member Gone = member("e1", Role::Entry);
  Gone.m_State = MemberState::Gone;
  Table.merge(TimePoint(100s), {Gone, 2});
  for (const SilenceQuestion &Each : Table.tick(TimePoint(100s)))
    EXPECT_EQ(std::count(Taken.begin(), Taken.end(), Each.m_Silent), 0)
        << Each.m_Silent.m_Text;
  std::size_t Asked = 0;
  for (const SilenceQuestion &Each : Table.tick(TimePoint(103s)))
    Asked += std::count(Taken.begin(), Taken.end(), Each.m_Silent);
  EXPECT_EQ(Asked, Taken.size());
}

TEST(Membership, ShortHeartbeatOfUnknownIncarnationNeedsFullRecord) {
  MembershipTable Table(member("e0", Role::Entry), Limits);
  EXPECT_FALSE(Table.receiveShortHeartbeat({}, {{"a1"}, {1}, 5, {}, {}}));
  Table.receiveHeartbeat({}, {member("a1", Role::Agent), 5});
  EXPECT_TRUE(Table.receiveShortHeartbeat({}, {{"a1"}, {1}, 6, {9}, {}}));
  EXPECT_FALSE(Table.receiveShortHeartbeat({}, {{"a1"}, {2}, 1, {}, {}}));
  EXPECT_EQ(Table.find({"a1"})->m_Member.m_InForce, Revision{9});
}

TEST(EntryChoice, LostEntryMovesOnlyItsOwnMembers) {
  std::vector<EntryCandidate> Entries;
  Entries.reserve(20);
  for (int I = 0; I < 20; ++I)
    Entries.push_back({{"e" + std::to_string(I)}, {"lahore"}});
  int Moved = 0;
  for (int I = 0; I < 200; ++I) {
    const InstanceId Agent{"a" + std::to_string(I)};
    const auto Before = chooseEntries(Agent, {"lahore"}, Entries);
    auto Fewer = Entries;
    Fewer.erase(Fewer.begin());
    const auto After = chooseEntries(Agent, {"lahore"}, Fewer);
    const bool Concerned = std::find(Before.begin(), Before.end(),
                                     Entries[0].m_Id) != Before.end();
    EXPECT_EQ(Before != After, Concerned);
    Moved += Concerned ? 1 : 0;
  }
  EXPECT_LT(Moved, 60);
}

TEST(EntryChoice, FirstIsInOwnDataCentre) {
  std::vector<EntryCandidate> Entries{{{"e0"}, {"karachi"}},
                                      {{"e1"}, {"karachi"}},
                                      {{"e2"}, {"lahore"}},
                                      {{"e3"}, {"multan"}}};
  for (int I = 0; I < 50; ++I)
    EXPECT_EQ(
        chooseEntries({"a" + std::to_string(I)}, {"lahore"}, Entries).front(),
        InstanceId{"e2"});
}

} // namespace
