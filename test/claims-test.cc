#include "deckpitch/call-records.h"
#include "deckpitch/claims.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>
#include <set>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

using Verdict = ClaimOutcome::Verdict;

/// The platform's object store for one shard.
class FakePlatform {
public:
  enum class Answer { Created, Conflict };

  Answer create(std::uint64_t Number, const ClaimBatch &Batch) {
    const auto [Place, Added] = m_Objects.try_emplace(
        Number, LoggedBatch{Number, {m_Revision + 1}, Batch});
    if (!Added)
      return Answer::Conflict;
    ++m_Revision;
    return Answer::Created;
  }

  std::optional<LoggedBatch> get(std::uint64_t Number) const {
    const auto Found = m_Objects.find(Number);
    if (Found == m_Objects.end())
      return std::nullopt;
    return Found->second;
  }

  std::vector<LoggedBatch> list() const {
    std::vector<LoggedBatch> All;
    for (const auto &[Number, Each] : m_Objects)
      All.push_back(Each);
    return All;
  }

  std::map<std::uint64_t, LoggedBatch> m_Objects;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_Calls = 0;
};

/// Faults of an entry's operations.
enum class Fault { None, Down, AnswerLost, RequestLost, RequestDelayed };

/// One entry with its log, connected to the platform.
class Entry {
public:
  Entry(std::string Name, FakePlatform &Platform,
        ClaimLogSettings Settings = {})
      : m_Platform(Platform), m_Log(std::move(Name), Settings) {}

  /// Performs one action; returns false if there is none.
  bool step(TimePoint Now, Fault With = Fault::None) {
    const ClaimAction Action = m_Log.next(Now);
    collect();
    if (std::holds_alternative<IdleLog>(Action))
      return false;
    ++m_Platform.m_Calls;
    perform(Action, Now, With);
    collect();
    return true;
  }

  void run(TimePoint Now, Fault With = Fault::None) {
    for (int I = 0; I < 50 && step(Now, With); ++I) {
    }
  }

  void submit(ClaimWaiterId Id, const std::string &Key, TimePoint Now,
              std::uint32_t Attempt = 1) {
    Claim Wanted{Key, {"agent-1"}, {7}, 1, Attempt};
    m_Log.submit(Id, Wanted, Now + 1s, Now);
    collect();
  }

  std::optional<Verdict> verdict(ClaimWaiterId Id) const {
    const auto Found = m_Settled.find(Id);
    if (Found == m_Settled.end())
      return std::nullopt;
    return Found->second.m_Verdict;
  }

  /// Delivers delayed creates to the platform.
  void deliverDelayed() {
    for (const AppendLog &Each : m_Delayed)
      m_Platform.create(Each.m_Number, Each.m_Batch);
    m_Delayed.clear();
  }

  void collect() {
    for (const ClaimOutcome &Each : m_Log.takeOutcomes())
      m_Settled.emplace(Each.m_Waiter, Each);
  }

  FakePlatform &m_Platform;
  ClaimLog m_Log;
  std::map<ClaimWaiterId, ClaimOutcome> m_Settled;
  std::vector<AppendLog> m_Delayed;

private:
  void perform(const ClaimAction &Action, TimePoint Now, Fault With) {
    const auto *Append = std::get_if<AppendLog>(&Action);
    if (Append && With == Fault::AnswerLost)
      m_Platform.create(Append->m_Number, Append->m_Batch);
    if (Append && With == Fault::RequestDelayed)
      m_Delayed.push_back(*Append);
    if (With == Fault::Down || (Append && With != Fault::None))
      return m_Log.failed(Append && With != Fault::Down, Now);
    if (std::holds_alternative<ListLog>(Action))
      m_Log.listed(m_Platform.list(), Now);
    if (const auto *Read = std::get_if<ReadLog>(&Action))
      m_Log.read(m_Platform.get(Read->m_Number), Now);
    if (const auto *Delete = std::get_if<DeleteLog>(&Action)) {
      m_Platform.m_Objects.erase(Delete->m_Number);
      m_Log.removed();
    }
    if (!Append)
      return;
    const auto Answer = m_Platform.create(Append->m_Number, Append->m_Batch);
    if (Answer == FakePlatform::Answer::Created)
      m_Log.appended({m_Platform.m_Revision}, Now);
    else
      m_Log.conflicted();
  }
};

constexpr TimePoint Start{1h};

TEST(ClaimLog, GrantsAKeyOnceAndReportsItsClaimToOthers) {
  FakePlatform Platform;
  Entry One("one", Platform);
  Entry Two("two", Platform);
  One.run(Start);
  Two.run(Start);
  One.submit(1, "k", Start);
  Two.submit(1, "k", Start);
  One.submit(2, "k", Start);
  One.run(Start);
  Two.run(Start);
  One.run(Start + 1s);
  EXPECT_EQ(One.verdict(1), Verdict::Granted);
  EXPECT_EQ(One.verdict(2), Verdict::Taken);
  EXPECT_EQ(Two.verdict(1), Verdict::Taken);
  EXPECT_EQ(Two.m_Settled.at(1).m_Claim.m_Instance.m_Text, "agent-1");
}

TEST(ClaimLog, BatchesWaitingClaims) {
  FakePlatform Platform;
  Entry One("one", Platform);
  One.run(Start);
  for (int I = 0; I < 100; ++I)
    One.submit(I, "k" + std::to_string(I), Start);
  const std::uint64_t Before = Platform.m_Calls;
  One.run(Start);
  EXPECT_EQ(Platform.m_Calls - Before, 1u);
  for (int I = 0; I < 100; ++I)
    EXPECT_EQ(One.verdict(I), Verdict::Granted);
}

struct FaultCase {
  const char *m_Name;
  Fault m_Fault;
  std::optional<Verdict> m_Expected;
};

TEST(ClaimLog, ReportsTheTrueOutcomeUnderEachFault) {
  const FaultCase Cases[] = {
      {"down", Fault::Down, Verdict::Refused},
      {"answer lost", Fault::AnswerLost, Verdict::Granted},
      {"request lost", Fault::RequestLost, Verdict::Refused},
      {"request delayed", Fault::RequestDelayed, Verdict::Refused},
  };
  for (const FaultCase &Each : Cases) {
    FakePlatform Platform;
    Entry One("one", Platform);
    One.run(Start);
    One.submit(1, "k", Start);
    One.step(Start, Each.m_Fault);
    One.run(Start);
    EXPECT_EQ(One.verdict(1), Each.m_Expected) << Each.m_Name;
    One.deliverDelayed();
    One.submit(2, "k", Start + 5s);
    One.run(Start + 5s);
    const bool Claimed = Platform.m_Objects.size() > 0 &&
                         Each.m_Fault != Fault::Down &&
                         Each.m_Fault != Fault::RequestLost;
    EXPECT_EQ(One.verdict(2), Claimed ? Verdict::Taken : Verdict::Granted)
        << Each.m_Name;
  }
}

TEST(ClaimLog, RefusesAtOnceWhileThePlatformIsDown) {
  FakePlatform Platform;
  Entry One("one", Platform);
  One.run(Start);
  One.submit(1, "a", Start);
  One.step(Start, Fault::Down);
  One.submit(2, "b", Start + 1ms);
  EXPECT_EQ(One.verdict(2), Verdict::Refused);
}

TEST(ClaimLog, RefusesAtOnceWhileThePlatformIsSlow) {
  FakePlatform Platform;
  Entry One("one", Platform);
  One.run(Start);
  One.submit(1, "a", Start);
  One.m_Log.next(Start);
  One.submit(2, "b", Start + 499ms);
  EXPECT_EQ(One.verdict(2), std::nullopt);
  One.submit(3, "c", Start + 500ms);
  EXPECT_EQ(One.verdict(3), Verdict::Refused);
  One.m_Log.next(Start + 1s);
  One.collect();
  EXPECT_EQ(One.verdict(1), Verdict::Refused);
}

/// An entry is paused before its create and resumes after the objects that it
/// had not seen were deleted, so its create succeeds although the key was
/// claimed.
TEST(ClaimLog, GrantsNothingAfterALongPause) {
  FakePlatform Platform;
  Entry Paused("frozen", Platform);
  Entry Other("other", Platform);
  Paused.run(Start);
  Other.run(Start);
  Other.m_Log.setDeletes(true);
  Paused.submit(1, "k", Start);
  const ClaimAction Action = Paused.m_Log.next(Start);
  const auto &Append = std::get<AppendLog>(Action);
  Other.submit(1, "k", Start);
  Other.run(Start);
  Other.submit(2, "x", Start + 1s);
  Other.run(Start + 1s);
  Other.run(Start + 11min);
  ASSERT_FALSE(Platform.get(Append.m_Number));
  ASSERT_EQ(Platform.create(Append.m_Number, Append.m_Batch),
            FakePlatform::Answer::Created);
  Paused.m_Log.appended({Platform.m_Revision}, Start + 11min);
  Paused.collect();
  EXPECT_NE(Paused.verdict(1), Verdict::Granted);
  Paused.submit(2, "x", Start + 11min);
  Paused.run(Start + 11min);
  EXPECT_EQ(Paused.verdict(2), Verdict::Taken);
}

TEST(ClaimLog, AnIdleEntryVerifiesItsPositionFirst) {
  FakePlatform Platform;
  Entry Idle("idle", Platform);
  Entry Busy("busy", Platform);
  Idle.run(Start);
  Busy.run(Start);
  Busy.m_Log.setDeletes(true);
  for (int I = 0; I < 20; ++I) {
    const TimePoint Now = Start + I * 1min;
    Busy.submit(I, "k" + std::to_string(I), Now);
    Busy.run(Now);
  }
  Idle.submit(1, "k19", Start + 19min);
  Idle.run(Start + 19min);
  EXPECT_EQ(Idle.verdict(1), Verdict::Taken);
}

TEST(ClaimLog, DeletesOldObjectsButNeverTheLast) {
  FakePlatform Platform;
  Entry One("one", Platform);
  One.run(Start);
  One.m_Log.setDeletes(true);
  for (int I = 0; I < 5; ++I) {
    One.submit(I, "k" + std::to_string(I), Start + I * 1s);
    One.run(Start + I * 1s);
  }
  for (int I = 0; I < 10; ++I)
    One.run(Start + 1h + I * 1s);
  EXPECT_EQ(Platform.m_Objects.size(), 1u);
  EXPECT_EQ(Platform.m_Objects.begin()->first, 5u);
  EXPECT_EQ(One.m_Log.known(), 0u);
}

/// Randomized: several entries under mixed faults must grant each key only
/// once.
TEST(ClaimLog, NeverGrantsARunTwice) {
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    std::mt19937 Random(Seed);
    const auto Draw = [&](unsigned Below) { return Random() % Below; };
    FakePlatform Platform;
    std::vector<std::unique_ptr<Entry>> Entries;
    Entries.reserve(3);
    for (int I = 0; I < 3; ++I)
      Entries.push_back(
          std::make_unique<Entry>("e" + std::to_string(I), Platform));
    std::vector<std::unique_ptr<Entry>> Ended;
    TimePoint Now = Start;
    ClaimWaiterId Next = 1;
    std::map<ClaimWaiterId, std::string> KeyOf;
    for (int Round = 0; Round < 200; ++Round) {
      Now += std::chrono::milliseconds(Draw(100));
      Entry &Chosen = *Entries[Draw(3)];
      if (Draw(3) == 0) {
        const std::string Key = "k" + std::to_string(Draw(20));
        KeyOf[Next] = Key;
        Chosen.submit(Next++, Key, Now);
      }
      const unsigned FaultDraw = Draw(20);
      const Fault With =
          FaultDraw < 5 ? static_cast<Fault>(FaultDraw) : Fault::None;
      Chosen.step(Now, With);
      if (Draw(30) == 0)
        Entries[Draw(3)]->deliverDelayed();
      if (Draw(10) == 0 && !Platform.m_Objects.empty())
        Chosen.m_Log.observed(Platform.m_Objects.rbegin()->second, Now);
      if (Draw(60) == 0) {
        std::unique_ptr<Entry> &Replaced = Entries[Draw(3)];
        Ended.push_back(std::move(Replaced));
        Replaced =
            std::make_unique<Entry>("life" + std::to_string(Round), Platform);
      }
    }
    for (auto &Each : Entries)
      Ended.push_back(std::move(Each));
    std::map<std::string, int> Grants;
    for (const auto &Each : Ended)
      for (const auto &[Id, Settled] : Each->m_Settled)
        if (Settled.m_Verdict == Verdict::Granted)
          ++Grants[KeyOf[Id]];
    for (const auto &[Key, Count] : Grants)
      ASSERT_EQ(Count, 1) << Key << " with seed " << Seed;
  }
}

TEST(ClaimBatch, RoundTripsThroughJson) {
  const ClaimBatch Batch{"e-1-2", {{"k", {"agent-1"}, {9}, 12, 3}}};
  const auto Read =
      outcomeOf([&] { return parseClaimBatch(formatClaimBatch(Batch)); });
  ASSERT_TRUE(Read);
  EXPECT_EQ(*Read, Batch);
  EXPECT_EQ(parseLogPosition("3-17"), (LogPosition{3, 17}));
  for (const char *Bad : {"", "3", "3-", "-1", "3-0", "x-1", "3-1x"})
    EXPECT_EQ(parseLogPosition(Bad), std::nullopt) << Bad;
}

TEST(ClaimKey, DiffersWithEachPart) {
  std::set<std::string> Keys;
  for (const char *Organisation : {"a", "b"})
    for (const char *Pool : {"p", "q"})
      for (const char *Key : {"1", "2"})
        Keys.insert(claimKeyOf({Organisation}, {Pool}, Key));
  EXPECT_EQ(Keys.size(), 8u);
  EXPECT_NE(claimKeyOf({"a/1:p"}, {"p"}, ""), claimKeyOf({"a"}, {"p/1:p"}, ""));
}

struct RecordCase {
  const char *m_Name;
  RunState m_State;
};

KeyedRun runAt(TimePoint Now, std::uint32_t Attempt = 1) {
  return {"k", Attempt, CallRecords::ticketAt(Now)};
}

TEST(CallRecords, StartsAKeyOnceInEveryState) {
  const RecordCase Cases[] = {{"running", RunState::Running},
                              {"done", RunState::Done},
                              {"lost", RunState::Unknown}};
  for (const RecordCase &Each : Cases) {
    CallRecords Records;
    ASSERT_EQ(Records.admit(runAt(Start), Start), RunAdmission::Start);
    if (Each.m_State == RunState::Done)
      Records.done("k", Start, StoredAnswer{200, "t", "body"});
    if (Each.m_State == RunState::Unknown)
      Records.lost("k", Start);
    EXPECT_EQ(Records.admit(runAt(Start), Start), RunAdmission::Duplicate);
    EXPECT_EQ(Records.admit(runAt(Start, 2), Start), RunAdmission::Duplicate);
    EXPECT_EQ(Records.fence(runAt(Start), Start), Each.m_State) << Each.m_Name;
    EXPECT_EQ(Records.answerOf("k").has_value(),
              Each.m_State == RunState::Done);
  }
}

TEST(CallRecords, AFencedRunNeverStartsButTheNextAttemptMay) {
  CallRecords Records;
  EXPECT_EQ(Records.fence(runAt(Start), Start), RunState::NeverRan);
  EXPECT_EQ(Records.admit(runAt(Start), Start), RunAdmission::Refused);
  EXPECT_EQ(Records.admit(runAt(Start, 2), Start), RunAdmission::Start);
  EXPECT_EQ(Records.admit(runAt(Start), Start), RunAdmission::Refused);
  EXPECT_EQ(Records.fence(runAt(Start, 2), Start), RunState::Running);
}

/// Twelve callers with one key queried each other's claims before the runs had
/// arrived. Each query fenced the run of the previous claim, and after four
/// rounds all were told that no instance accepted it.
TEST(CallRecords, ARunIsAwaitedUntilItArrivesOrIsFenced) {
  CallRecords Records;
  EXPECT_TRUE(Records.isAwaited(runAt(Start)));
  Records.fence(runAt(Start), Start);
  EXPECT_FALSE(Records.isAwaited(runAt(Start)));
  EXPECT_TRUE(Records.isAwaited(runAt(Start, 2)));
  Records.admit(runAt(Start, 2), Start);
  EXPECT_FALSE(Records.isAwaited(runAt(Start, 2)));
  Records.done("k", Start);
  EXPECT_FALSE(Records.isAwaited(runAt(Start, 2)));
  EXPECT_FALSE(Records.isAwaited(runAt(Start, 3)));
}

TEST(CallRecords, RefusesExpiredTickets) {
  CallRecords Records;
  EXPECT_EQ(Records.admit(runAt(Start), Start + 31s), RunAdmission::Refused);
  EXPECT_EQ(Records.admit(runAt(Start), Start + 30s), RunAdmission::Start);
}

TEST(CallRecords, ReportsUnknownForEvictedRuns) {
  CallRecords Records;
  ASSERT_EQ(Records.admit(runAt(Start), Start), RunAdmission::Start);
  Records.done("k", Start);
  const TimePoint Later = Start + 13min;
  ASSERT_EQ(Records.admit({"other", 1, CallRecords::ticketAt(Later)}, Later),
            RunAdmission::Start);
  EXPECT_EQ(Records.size(), 1u);
  EXPECT_EQ(Records.fence(runAt(Start), Later), RunState::Unknown);
  EXPECT_EQ(Records.fence({"new", 1, CallRecords::ticketAt(Later)}, Later),
            RunState::NeverRan);
}

TEST(CallRecords, RefusesNewRunsWhenFull) {
  CallRecords Records({.m_MaxRecords = 2});
  const std::uint64_t Ticket = CallRecords::ticketAt(Start);
  ASSERT_EQ(Records.admit({"a", 1, Ticket}, Start), RunAdmission::Start);
  ASSERT_EQ(Records.admit({"b", 1, Ticket}, Start), RunAdmission::Start);
  EXPECT_EQ(Records.admit({"c", 1, Ticket}, Start), RunAdmission::Refused);
  EXPECT_EQ(Records.fence({"c", 1, Ticket}, Start), RunState::Unknown);
  EXPECT_EQ(Records.fence({"a", 1, Ticket}, Start), RunState::Running);
}

TEST(CallRecords, StoresOnlyAnswersThatFit) {
  CallRecords Records({.m_MaxAnswerBytes = 4});
  ASSERT_EQ(Records.admit(runAt(Start), Start), RunAdmission::Start);
  Records.done("k", Start, StoredAnswer{200, "t", "12345"});
  EXPECT_EQ(Records.fence(runAt(Start), Start), RunState::Done);
  EXPECT_EQ(Records.answerOf("k"), std::nullopt);
}

} // namespace
