// Faults of whole processes while a version is brought out and requests flow.
#include "background-load.h"
#include "cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <functional>

using namespace deckpitch;
using namespace deckpitch::test;
using load::LoadReport;
using load::Verdict;

namespace json = boost::json;

namespace {

constexpr std::uint32_t Engines = 3;
constexpr std::uint64_t ContentSize = std::uint64_t{8} * 1024 * 1024;
constexpr std::uint32_t ChunkBytes = 256 * 1024;
constexpr std::uint64_t AnswersDuringOutage = 50;

struct FaultRow {
  std::string m_Name;
  /// Runs just after the second version is accepted; heals what it broke.
  std::function<void(Cluster &)> m_Fault;
  /// Callers connected to an entry that dies see a broken answer.
  bool m_MayBreak = false;
};

void PrintTo(const FaultRow &Row, std::ostream *Out) { *Out << Row.m_Name; }

/// True when the entry sees every wanted instance ready on these weights.
bool seesReady(const Node &Entry, std::string_view Weights) {
  const json::value Status =
      jsonOf(call(Entry.m_Operator, "GET", "/v1/status"));
  if (!Status.is_object() || !Status.get_object().contains("pools"))
    return false;
  for (const json::value &Pool : Status.at("pools").as_array())
    if (Pool.at("name").as_string() == "chat")
      return Pool.at("weights").as_string() == Weights &&
             Pool.at("ready") == Engines && Pool.at("wanted") == Engines;
  return false;
}

bool allReady(Cluster &Under, const std::string &Weights) {
  for (std::size_t I = 0; I < Under.entries(); ++I)
    if (!seesReady(Under.entry(I), Weights))
      return false;
  return Under.enginesServing(Weights) == Engines;
}

std::uint64_t answered(Cluster &Under) {
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I < Under.engines(); ++I)
    Sum += counterOf(Under.engine(I).m_Address, "completed");
  return Sum;
}

void awaitMoreAnswers(Cluster &Under) {
  const std::uint64_t Before = answered(Under);
  EXPECT_TRUE(eventually([&] {
    return answered(Under) >= Before + AnswersDuringOutage;
  })) << "requests stopped";
}

void awaitOtherEngines(Cluster &Under) {
  EXPECT_TRUE(
      eventually([&] { return Under.enginesServing("m@2") >= Engines - 1; }));
}

template <typename Process>
void killAndRestart(Cluster &Under, Process &Which) {
  Which.m_Process->signal(SIGKILL);
  Which.m_Process->waitForExit();
  EXPECT_TRUE(Under.restart(Which)) << Under.failure();
}

template <typename Process, typename Condition>
void freezeUntil(Process &Which, Condition &&Reached) {
  Which.m_Process->signal(SIGSTOP);
  Reached();
  Which.m_Process->signal(SIGCONT);
}

void platformFault(Cluster &Under, const std::string &Json) {
  EXPECT_TRUE(setFaults(Under.platform(), Json));
  awaitMoreAnswers(Under);
  EXPECT_TRUE(setFaults(Under.platform(), "{}"));
}

class SystemFaults : public testing::TestWithParam<FaultRow> {};

TEST_P(SystemFaults, EndOnTheDeclaredVersionWithWholeAnswers) {
  Cluster Under({.m_Entries = 2, .m_Engines = Engines});
  ASSERT_TRUE(Under.start()) << Under.failure();
  ASSERT_FALSE(Under.addWeights("m@1", ContentSize, ChunkBytes, 1).empty());
  ASSERT_FALSE(Under.addWeights("m@2", ContentSize, ChunkBytes, 2).empty());
  ASSERT_TRUE(eventually([&] { return Under.declarePool("chat", "m", "1"); }));
  ASSERT_TRUE(eventually([&] { return allReady(Under, "m@1"); }))
      << Under.logs();
  BackgroundLoad Load(Under);
  awaitMoreAnswers(Under);
  ASSERT_TRUE(Under.declarePool("chat", "m", "2"));
  GetParam().m_Fault(Under);
  EXPECT_TRUE(eventually([&] { return allReady(Under, "m@2"); }))
      << Under.logs();
  awaitMoreAnswers(Under);
  const LoadReport &Report = Load.finish();
  const std::string Text = json::serialize(load::toJson(Report));
  EXPECT_EQ(Report.count(Verdict::Mixed), 0U) << Text;
  EXPECT_EQ(Report.count(Verdict::Unknown), 0U) << Text;
  if (!GetParam().m_MayBreak) {
    EXPECT_EQ(Report.count(Verdict::Broken), 0U) << Text;
  }
  EXPECT_GT(Report.count(Verdict::Whole), 2 * AnswersDuringOutage) << Text;
}

INSTANTIATE_TEST_SUITE_P(
    Rows, SystemFaults,
    testing::Values(
        FaultRow{"None", [](Cluster &) {}},
        FaultRow{"EntryKilled",
                 [](Cluster &Under) { killAndRestart(Under, Under.entry(1)); },
                 true},
        FaultRow{"EntryFrozenAcrossTheRollout",
                 [](Cluster &Under) {
                   freezeUntil(Under.entry(1),
                               [&] { awaitOtherEngines(Under); });
                 },
                 true},
        FaultRow{"AgentKilled",
                 [](Cluster &Under) { killAndRestart(Under, Under.agent(0)); }},
        FaultRow{"AgentFrozenUntilOthersServe",
                 [](Cluster &Under) {
                   freezeUntil(Under.agent(0),
                               [&] { awaitOtherEngines(Under); });
                 }},
        FaultRow{
            "EngineKilled",
            [](Cluster &Under) { killAndRestart(Under, Under.engine(0)); }},
        FaultRow{"EngineFrozenUntilOthersServe",
                 [](Cluster &Under) {
                   freezeUntil(Under.engine(0),
                               [&] { awaitOtherEngines(Under); });
                 }},
        FaultRow{
            "PlatformRefusesAcrossTheRollout",
            [](Cluster &Under) { platformFault(Under, R"({"outage":true})"); }},
        FaultRow{"PlatformHangsAcrossTheRollout",
                 [](Cluster &Under) {
                   platformFault(Under, R"({"outage":"hang"})");
                 }},
        FaultRow{"PlatformLosesAnswers",
                 [](Cluster &Under) {
                   platformFault(Under, R"({"loseAnswers":3})");
                 }},
        FaultRow{"OriginCorruptsAChunk",
                 [](Cluster &Under) {
                   EXPECT_TRUE(
                       setFaults(Under.origin(), R"({"corruptChunks":[3]})"));
                   awaitMoreAnswers(Under);
                   EXPECT_TRUE(setFaults(Under.origin(), "{}"));
                 }},
        FaultRow{"OriginStalls",
                 [](Cluster &Under) {
                   EXPECT_TRUE(setFaults(Under.origin(),
                                         R"({"stallAfterBytes":100000})"));
                   awaitMoreAnswers(Under);
                   EXPECT_TRUE(setFaults(Under.origin(), "{}"));
                 }},
        FaultRow{"AgentKilledDuringAPlatformOutage",
                 [](Cluster &Under) {
                   EXPECT_TRUE(
                       setFaults(Under.platform(), R"({"outage":true})"));
                   killAndRestart(Under, Under.agent(1));
                   awaitMoreAnswers(Under);
                   EXPECT_TRUE(setFaults(Under.platform(), "{}"));
                 }},
        FaultRow{"EntryAndEngineKilled",
                 [](Cluster &Under) {
                   Under.engine(2).m_Process->signal(SIGKILL);
                   killAndRestart(Under, Under.entry(0));
                   killAndRestart(Under, Under.engine(2));
                 },
                 true},
        FaultRow{"VersionChangesAgainDuringTheCopy",
                 [](Cluster &Under) {
                   EXPECT_TRUE(Under.declarePool("chat", "m", "1"));
                   EXPECT_TRUE(Under.declarePool("chat", "m", "2", 1));
                 }}),
    [](const testing::TestParamInfo<FaultRow> &Info) {
      return Info.param.m_Name;
    });

/// Instances of the pool that the entry sees ready.
std::int64_t readyAt(const Node &Entry) {
  const json::value Status =
      jsonOf(call(Entry.m_Operator, "GET", "/v1/status"));
  if (!Status.is_object() || !Status.get_object().contains("pools"))
    return -1;
  for (const json::value &Pool : Status.at("pools").as_array())
    if (Pool.at("name").as_string() == "chat")
      return Pool.at("ready").to_number<std::int64_t>();
  return -1;
}

// Far below the limit of any request, so that few are lost at it.
TEST(FrozenEngine, LeavesThePoolUntilItAnswersAgain) {
  constexpr std::chrono::seconds Noticed{15};
  Cluster Under({.m_Entries = 1, .m_Engines = 2});
  ASSERT_TRUE(Under.start()) << Under.failure();
  ASSERT_FALSE(Under.addWeights("m@1", ContentSize, ChunkBytes, 1).empty());
  ASSERT_TRUE(eventually([&] { return Under.declarePool("chat", "m", "1"); }));
  ASSERT_TRUE(eventually([&] { return readyAt(Under.entry(0)) == 2; }))
      << Under.logs();
  Under.engine(0).m_Process->signal(SIGSTOP);
  EXPECT_TRUE(
      eventually([&] { return readyAt(Under.entry(0)) == 1; }, Noticed));
  Under.engine(0).m_Process->signal(SIGCONT);
  EXPECT_TRUE(eventually([&] { return readyAt(Under.entry(0)) == 2; }))
      << Under.logs();
}

} // namespace
