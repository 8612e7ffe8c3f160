// Faults of a rollout over real processes, while checked requests flow.
#include "background-load.h"
#include "cluster.h"
#include "deckpitch/swarm.h"
#include "lying-peer.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <map>
#include <ostream>
#include <string>

using namespace deckpitch;
using namespace deckpitch::test;
using load::LoadReport;
using load::Verdict;

namespace json = boost::json;

namespace {

constexpr std::uint64_t MiB = std::uint64_t{1024} * 1024;
constexpr std::uint64_t Size = 4 * MiB;
constexpr std::uint32_t ChunkBytes = 64 * 1024;
constexpr std::size_t Chunks = Size / ChunkBytes;
constexpr std::size_t Engines = 4;
constexpr std::uint64_t LinkRate = 4 * MiB;
constexpr std::uint64_t SlowLinkRate = LinkRate / 10;
constexpr std::uint64_t OriginRate = 2 * MiB;
/// Copies when each agent reads again what it was reading as the origin went.
constexpr double CopiesAcrossAnOutage =
    1 + static_cast<double>(Engines * SwarmOptions().m_OriginReads) / Chunks;
constexpr std::uint64_t AnswersAfter = 20;
constexpr std::uint32_t LyingCalls = 10;

struct FaultRow {
  std::string m_Name;
  /// Runs once the second version is declared; heals what it broke.
  std::function<void(Cluster &)> m_Fault;
  std::string m_Version = "2"; ///< that everything ends on
  /// Of what is read of the second and third version at the origin.
  double m_MostCopies = 1.05;
  std::map<std::size_t, std::uint64_t> m_OtherLinkRates = {};
  std::uint64_t m_OriginRate = OriginRate; ///< at first
  /// Breaks the origin before the fault, and gives the copies that it had sent
  /// by then: how many, hangs on when the test gets to look.
  std::function<double(Cluster &)> m_BreakFirst = nullptr;
};

void PrintTo(const FaultRow &Row, std::ostream *Out) { *Out << Row.m_Name; }

/// Replaces the origin's faults.
void breakOrigin(Cluster &Under, const std::string &More,
                 std::uint64_t Rate = OriginRate) {
  const std::string Json =
      R"({"bytesPerSecond":)" + std::to_string(Rate) + More + "}";
  EXPECT_TRUE(setFaults(Under.origin(), Json));
}

void healOrigin(Cluster &Under) { breakOrigin(Under, ""); }

std::size_t staged(Cluster &Under, std::size_t Engine,
                   const std::string &Weights) {
  const json::value Status =
      jsonOf(call(Under.engine(Engine).m_Address, "GET", "/v1/engine/status"));
  if (!Status.is_object())
    return 0;
  for (const json::value &Each : Status.at("staging").as_array())
    if (Each.at("weights").as_string() == Weights)
      return Each.at("chunks").as_array().size();
  return 0;
}

void awaitStaged(Cluster &Under, std::size_t Percent,
                 const std::string &Weights = "m@2", std::size_t Engine = 0) {
  const std::size_t Least = (Chunks * Percent + 99) / 100;
  EXPECT_TRUE(eventually([&] {
    return staged(Under, Engine, Weights) >= Least;
  })) << Under.logs();
}

std::uint64_t originBytes(Cluster &Under, const std::string &Weights) {
  const json::value Counters =
      jsonOf(call(Under.origin(), "GET", "/_standin/counters"));
  const json::value *Found =
      Counters.at("bytesByWeights").as_object().if_contains(Weights);
  return Found ? Found->to_number<std::uint64_t>() : 0;
}

void awaitCounter(Cluster &Under, std::string_view Name, std::uint64_t More) {
  const std::uint64_t Before = counterOf(Under.origin(), Name);
  EXPECT_TRUE(eventually([&] {
    return counterOf(Under.origin(), Name) >= Before + More;
  })) << Under.logs();
}

std::uint64_t answered(Cluster &Under) {
  std::uint64_t Sum = 0;
  for (std::size_t I = 0; I < Under.engines(); ++I)
    Sum += counterOf(Under.engine(I).m_Address, "completed");
  return Sum;
}

bool moreAnswersCome(Cluster &Under, std::uint64_t Count) {
  const std::uint64_t Before = answered(Under);
  return eventually([&] { return answered(Under) >= Before + Count; });
}

/// Engines whose active weights have this digest, by their own word.
std::size_t enginesWith(Cluster &Under, const std::string &Weights,
                        const std::string &Digest) {
  std::size_t Count = 0;
  for (std::size_t I = 0; I < Under.engines(); ++I) {
    const json::value Status =
        jsonOf(call(Under.engine(I).m_Address, "GET", "/v1/engine/status"));
    if (!Status.is_object())
      continue;
    for (const json::value &Held : Status.at("loaded").as_array())
      Count += Held.at("weights").as_string() == Weights &&
               Held.at("state").as_string() == "active" &&
               Held.at("digest").as_string() == Digest;
  }
  return Count;
}

/// The instance and all it held are gone; a fresh one takes its place.
void replaceInstances(Cluster &Under,
                      std::initializer_list<std::size_t> Which) {
  for (std::size_t I : Which) {
    Under.agent(I).m_Process->signal(SIGKILL);
    Under.engine(I).m_Process->signal(SIGKILL);
  }
  for (std::size_t I : Which) {
    Under.agent(I).m_Process->waitForExit();
    Under.engine(I).m_Process->waitForExit();
    EXPECT_TRUE(Under.restart(Under.engine(I))) << Under.failure();
    EXPECT_TRUE(Under.restart(Under.agent(I))) << Under.failure();
  }
}

void restartAgent(Cluster &Under, std::size_t Which) {
  Under.agent(Which).m_Process->signal(SIGKILL);
  Under.agent(Which).m_Process->waitForExit();
  EXPECT_TRUE(Under.restart(Under.agent(Which))) << Under.failure();
}

std::function<void(Cluster &)> changeVersionAt(std::size_t Percent) {
  return [Percent](Cluster &Under) {
    awaitStaged(Under, Percent);
    EXPECT_TRUE(Under.declarePool("chat", "m", "3"));
  };
}

class RolloutFaults : public testing::TestWithParam<FaultRow> {};

TEST_P(RolloutFaults, EndOnTheDeclaredCompleteVersion) {
  const FaultRow &Row = GetParam();
  Cluster Under({.m_Engines = Engines,
                 .m_LinkRate = LinkRate,
                 .m_OtherLinkRates = Row.m_OtherLinkRates});
  ASSERT_TRUE(Under.start()) << Under.failure();
  std::map<std::string, std::string> Digests;
  for (std::uint64_t I : {1, 2, 3}) {
    const std::string Version = std::to_string(I);
    Digests[Version] = Under.addWeights("m@" + Version, Size, ChunkBytes, I);
  }
  ASSERT_TRUE(eventually([&] { return Under.declarePool("chat", "m", "1"); }));
  ASSERT_TRUE(eventually([&] {
    return Under.enginesServing("m@1") == Engines;
  })) << Under.logs();
  BackgroundLoad Load(Under);
  // The entry hears of ready instances later than the engines know.
  ASSERT_TRUE(moreAnswersCome(Under, 1)) << Under.logs();
  breakOrigin(Under, "", Row.m_OriginRate);
  ASSERT_TRUE(Under.declarePool("chat", "m", "2"));
  const double CopiesBefore = Row.m_BreakFirst ? Row.m_BreakFirst(Under) : 0;
  Row.m_Fault(Under);
  const std::string Weights = "m@" + Row.m_Version;
  EXPECT_TRUE(eventually([&] {
    return enginesWith(Under, Weights, Digests[Row.m_Version]) == Engines;
  })) << Under.logs();
  EXPECT_TRUE(moreAnswersCome(Under, AnswersAfter));
  const LoadReport &Report = Load.finish();
  const std::string Text = json::serialize(load::toJson(Report));
  EXPECT_EQ(Report.count(Verdict::Mixed), 0U) << Text;
  EXPECT_EQ(Report.count(Verdict::Broken), 0U) << Text;
  EXPECT_GT(Report.count(Verdict::Whole), AnswersAfter) << Text;
  const auto Read = static_cast<double>(originBytes(Under, "m@2") +
                                        originBytes(Under, "m@3"));
  EXPECT_LE(Read,
            (CopiesBefore + Row.m_MostCopies) * static_cast<double>(Size));
  RecordProperty("originCopiesBefore", std::to_string(CopiesBefore));
  RecordProperty("originCopies",
                 std::to_string(Read / static_cast<double>(Size)));
}

/// The agents had read all of the overtaken version at times by the time at
/// which half of it was seen to be staged: 2.06 copies together with the next.
double breakAtHalf(Cluster &Under) {
  awaitStaged(Under, 50);
  breakOrigin(Under, R"(,"outage":true)");
  return static_cast<double>(originBytes(Under, "m@2")) /
         static_cast<double>(Size);
}

void lieToAll(Cluster &Under) {
  const auto Answer = call(Under.origin(), "GET", "/v1/weights/m@2/manifest");
  const auto Of = outcomeOf([&] { return parseManifest(Answer->m_Body); });
  ASSERT_TRUE(Of);
  for (std::size_t I = 0; I < Under.agents(); ++I) {
    awaitStaged(Under, 1, "m@2", I);
    const std::uint32_t Told = tellLies(Under.agent(I).m_Bulk, *Of, LyingCalls);
    EXPECT_GE(Told, 1U) << "was not asked";
    // Set aside for 10 s, then for 10 minutes.
    EXPECT_LE(Told, 2U) << "was asked again and again";
  }
  healOrigin(Under);
}

INSTANTIATE_TEST_SUITE_P(
    Rows, RolloutFaults,
    testing::Values(
        FaultRow{"None", [](Cluster &) {}},
        FaultRow{"VersionChangesAt10Percent", changeVersionAt(10), "3", 1.5},
        FaultRow{"VersionChangesAt50Percent", changeVersionAt(50), "3", 1.9},
        FaultRow{"VersionChangesAt90Percent", changeVersionAt(90), "3", 2.1},
        FaultRow{"VersionChangesAt100Percent", changeVersionAt(100), "3", 2.1},
        FaultRow{"HalfOfTheInstancesReplaced",
                 [](Cluster &Under) {
                   awaitStaged(Under, 50);
                   replaceInstances(Under, {0, 1});
                 },
                 "2", 1.6},
        FaultRow{"OriginRefusesForRate",
                 [](Cluster &Under) {
                   awaitStaged(Under, 20);
                   breakOrigin(Under, R"(,"requestsPerSecond":2)");
                   awaitCounter(Under, "refused", 6);
                   healOrigin(Under);
                 },
                 "2", CopiesAcrossAnOutage},
        FaultRow{"OriginUnavailableInTheMiddle",
                 [](Cluster &Under) {
                   awaitStaged(Under, 30);
                   breakOrigin(Under, R"(,"outage":true)");
                   awaitCounter(Under, "calls", 6);
                   healOrigin(Under);
                 },
                 "2", CopiesAcrossAnOutage},
        FaultRow{"OriginDownAfterOneCopy",
                 [](Cluster &Under) {
                   EXPECT_TRUE(eventually([&] {
                     return originBytes(Under, "m@2") >= Size;
                   })) << Under.logs();
                   breakOrigin(Under, R"(,"outage":true)");
                 }},
        // So slow that no copy is whole before all agents were lied to.
        FaultRow{"OnePeerLies", lieToAll, "2", 1.2, {}, ChunkBytes},
        FaultRow{
            "OneLinkIsSlow", [](Cluster &) {}, "2", 1.2, {{3, SlowLinkRate}}},
        FaultRow{"AgentKilledWhileTheOriginStalls",
                 [](Cluster &Under) {
                   awaitStaged(Under, 30);
                   breakOrigin(Under, R"(,"stallAfterBytes":20000)");
                   restartAgent(Under, 0);
                   healOrigin(Under);
                 },
                 "2", 1.5},
        FaultRow{"VersionChangesWhileTheOriginRefuses",
                 [](Cluster &Under) {
                   EXPECT_TRUE(Under.declarePool("chat", "m", "3"));
                   awaitCounter(Under, "calls", 6);
                   healOrigin(Under);
                 },
                 "3",
                 CopiesAcrossAnOutage,
                 {},
                 OriginRate,
                 breakAtHalf}),
    [](const testing::TestParamInfo<FaultRow> &Info) {
      return Info.param.m_Name;
    });

} // namespace
