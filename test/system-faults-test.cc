// Injects faults of whole processes during a rollout under load.
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

struct FaultCase {
  std::string m_Name;
  /// Runs just after the second version is accepted, and clears its own fault.
  std::function<void(Cluster &)> m_Fault;
  /// Callers connected to an entry that dies may get a broken answer.
  bool m_MayBreakAnswers = false;
};

void PrintTo(const FaultCase &Row, std::ostream *Out) { *Out << Row.m_Name; }

/// Returns whether the entry reports every wanted instance ready with these
/// weights.
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

bool allReady(Cluster &TestCluster, const std::string &Weights) {
  for (std::size_t I = 0; I < TestCluster.entries(); ++I)
    if (!seesReady(TestCluster.entry(I), Weights))
      return false;
  return TestCluster.enginesServing(Weights) == Engines;
}

std::uint64_t answeredCount(Cluster &TestCluster) {
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I < TestCluster.engines(); ++I)
    Sum += counterOf(TestCluster.engine(I).m_Address, "completed");
  return Sum;
}

void awaitMoreAnswers(Cluster &TestCluster) {
  const std::uint64_t Before = answeredCount(TestCluster);
  EXPECT_TRUE(eventually([&] {
    return answeredCount(TestCluster) >= Before + AnswersDuringOutage;
  })) << "no further requests were answered";
}

void awaitOtherEngines(Cluster &TestCluster) {
  EXPECT_TRUE(eventually(
      [&] { return TestCluster.enginesServing("m@2") >= Engines - 1; }));
}

template <typename Process>
void killAndRestart(Cluster &TestCluster, Process &Which) {
  Which.m_Process->signal(SIGKILL);
  Which.m_Process->waitForExit();
  EXPECT_TRUE(TestCluster.restart(Which)) << TestCluster.failure();
}

template <typename Process, typename Condition>
void pauseUntil(Process &Which, Condition &&Reached) {
  Which.m_Process->signal(SIGSTOP);
  Reached();
  Which.m_Process->signal(SIGCONT);
}

void platformFault(Cluster &TestCluster, const std::string &Json) {
  EXPECT_TRUE(setFaults(TestCluster.platform(), Json));
  awaitMoreAnswers(TestCluster);
  EXPECT_TRUE(setFaults(TestCluster.platform(), "{}"));
}

class SystemFaults : public testing::TestWithParam<FaultCase> {};

TEST_P(SystemFaults, EndOnTheDeclaredVersionWithCompleteAnswers) {
  Cluster TestCluster({.m_Entries = 2, .m_Engines = Engines});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  ASSERT_FALSE(
      TestCluster.addWeights("m@1", ContentSize, ChunkBytes, 1).empty());
  ASSERT_FALSE(
      TestCluster.addWeights("m@2", ContentSize, ChunkBytes, 2).empty());
  ASSERT_TRUE(
      eventually([&] { return TestCluster.declarePool("chat", "m", "1"); }));
  ASSERT_TRUE(eventually([&] { return allReady(TestCluster, "m@1"); }))
      << TestCluster.logs();
  BackgroundLoad Load(TestCluster);
  awaitMoreAnswers(TestCluster);
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "2"));
  GetParam().m_Fault(TestCluster);
  EXPECT_TRUE(eventually([&] { return allReady(TestCluster, "m@2"); }))
      << TestCluster.logs();
  awaitMoreAnswers(TestCluster);
  const LoadReport &Report = Load.finish();
  const std::string Text = json::serialize(load::toJson(Report));
  EXPECT_EQ(Report.count(Verdict::Mixed), 0U) << Text;
  EXPECT_EQ(Report.count(Verdict::Unknown), 0U) << Text;
  if (!GetParam().m_MayBreakAnswers) {
    EXPECT_EQ(Report.count(Verdict::Broken), 0U) << Text;
  }
  EXPECT_GT(Report.count(Verdict::Whole), 2 * AnswersDuringOutage) << Text;
}

INSTANTIATE_TEST_SUITE_P(
    Rows, SystemFaults,
    testing::Values(
        FaultCase{"None", [](Cluster &) {}},
        FaultCase{"EntryKilled",
                  [](Cluster &TestCluster) {
                    killAndRestart(TestCluster, TestCluster.entry(1));
                  },
                  true},
        FaultCase{"EntryFrozenAcrossTheRollout",
                  [](Cluster &TestCluster) {
                    pauseUntil(TestCluster.entry(1),
                               [&] { awaitOtherEngines(TestCluster); });
                  },
                  true},
        FaultCase{"AgentKilled",
                  [](Cluster &TestCluster) {
                    killAndRestart(TestCluster, TestCluster.agent(0));
                  }},
        FaultCase{"AgentFrozenUntilOthersServe",
                  [](Cluster &TestCluster) {
                    pauseUntil(TestCluster.agent(0),
                               [&] { awaitOtherEngines(TestCluster); });
                  }},
        FaultCase{"EngineKilled",
                  [](Cluster &TestCluster) {
                    killAndRestart(TestCluster, TestCluster.engine(0));
                  }},
        FaultCase{"EngineFrozenUntilOthersServe",
                  [](Cluster &TestCluster) {
                    pauseUntil(TestCluster.engine(0),
                               [&] { awaitOtherEngines(TestCluster); });
                  }},
        FaultCase{"PlatformRefusesAcrossTheRollout",
                  [](Cluster &TestCluster) {
                    platformFault(TestCluster, R"({"outage":true})");
                  }},
        FaultCase{"PlatformHangsAcrossTheRollout",
                  [](Cluster &TestCluster) {
                    platformFault(TestCluster, R"({"outage":"hang"})");
                  }},
        FaultCase{"PlatformLosesAnswers",
                  [](Cluster &TestCluster) {
                    platformFault(TestCluster, R"({"loseAnswers":3})");
                  }},
        FaultCase{"OriginCorruptsAChunk",
                  [](Cluster &TestCluster) {
                    EXPECT_TRUE(setFaults(TestCluster.origin(),
                                          R"({"corruptChunks":[3]})"));
                    awaitMoreAnswers(TestCluster);
                    EXPECT_TRUE(setFaults(TestCluster.origin(), "{}"));
                  }},
        FaultCase{"OriginStalls",
                  [](Cluster &TestCluster) {
                    EXPECT_TRUE(setFaults(TestCluster.origin(),
                                          R"({"stallAfterBytes":100000})"));
                    awaitMoreAnswers(TestCluster);
                    EXPECT_TRUE(setFaults(TestCluster.origin(), "{}"));
                  }},
        FaultCase{"AgentKilledDuringAPlatformOutage",
                  [](Cluster &TestCluster) {
                    EXPECT_TRUE(setFaults(TestCluster.platform(),
                                          R"({"outage":true})"));
                    killAndRestart(TestCluster, TestCluster.agent(1));
                    awaitMoreAnswers(TestCluster);
                    EXPECT_TRUE(setFaults(TestCluster.platform(), "{}"));
                  }},
        FaultCase{"EntryAndEngineKilled",
                  [](Cluster &TestCluster) {
                    TestCluster.engine(2).m_Process->signal(SIGKILL);
                    killAndRestart(TestCluster, TestCluster.entry(0));
                    killAndRestart(TestCluster, TestCluster.engine(2));
                  },
                  true},
        FaultCase{"VersionChangesAgainDuringTheCopy",
                  [](Cluster &TestCluster) {
                    EXPECT_TRUE(TestCluster.declarePool("chat", "m", "1"));
                    EXPECT_TRUE(TestCluster.declarePool("chat", "m", "2", 1));
                  }}),
    [](const testing::TestParamInfo<FaultCase> &Info) {
      return Info.param.m_Name;
    });

/// Returns the number of ready instances of the pool as the entry reports it;
/// -1 if it reports none.
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

// The limit on detection is far below the timeout of any request, so that few
// requests are lost at the paused engine.
TEST(PausedEngine, LeavesThePoolUntilItAnswersAgain) {
  constexpr std::chrono::seconds DetectionTimeout{15};
  Cluster TestCluster({.m_Entries = 1, .m_Engines = 2});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  ASSERT_FALSE(
      TestCluster.addWeights("m@1", ContentSize, ChunkBytes, 1).empty());
  ASSERT_TRUE(
      eventually([&] { return TestCluster.declarePool("chat", "m", "1"); }));
  ASSERT_TRUE(eventually([&] { return readyAt(TestCluster.entry(0)) == 2; }))
      << TestCluster.logs();
  TestCluster.engine(0).m_Process->signal(SIGSTOP);
  EXPECT_TRUE(eventually([&] { return readyAt(TestCluster.entry(0)) == 1; },
                         DetectionTimeout));
  TestCluster.engine(0).m_Process->signal(SIGCONT);
  EXPECT_TRUE(eventually([&] { return readyAt(TestCluster.entry(0)) == 2; }))
      << TestCluster.logs();
}

} // namespace
