#include "declarations-fixture.h"

#include <gtest/gtest.h>

#include <csignal>
#include <optional>
#include <thread>
#include <vector>

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

struct PlatformFault {
  const char *m_Name;
  const char *m_Faults;
};

class DeclarationsPlatformFaults
    : public testing::TestWithParam<PlatformFault> {};

TEST_P(DeclarationsPlatformFaults,
       AnAcceptedChangeIsAppliedEverywhereAndNotReverted) {
  Cluster TestCluster({.m_Entries = 3, .m_Engines = 4});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  AppliedHistory Applied(TestCluster);
  PutResult Last = putPool(TestCluster, "1", 0);
  ASSERT_EQ(Last.m_Status, 201U);
  ASSERT_TRUE(Applied.awaitEverywhere(Last.m_Revision)) << TestCluster.logs();
  ASSERT_TRUE(setFaults(TestCluster.platform(), GetParam().m_Faults));
  for (const char *Version : {"2", "3", "4"}) {
    Last = putPool(TestCluster, Version, Last.m_Revision);
    ASSERT_EQ(Last.m_Status, 200U) << Version;
  }
  EXPECT_TRUE(Applied.awaitEverywhere(Last.m_Revision)) << TestCluster.logs();
  EXPECT_TRUE(Applied.isMonotonic());
}

INSTANTIATE_TEST_SUITE_P(
    Platform, DeclarationsPlatformFaults,
    testing::Values(
        PlatformFault{"NoFault", "{}"},
        PlatformFault{"Slow", R"({"delayMs":300})"},
        PlatformFault{"LostAnswer", R"({"loseAnswers":1})"},
        PlatformFault{"StaleReads", R"({"staleReadRevisions":3})"},
        PlatformFault{"DroppedWatch", R"({"dropWatches":true})"},
        PlatformFault{"RepeatedEvents", R"({"repeatWatchEvents":true})"},
        PlatformFault{"ReorderedEvents", R"({"reorderWatchEvents":true})"}),
    [](const auto &Info) { return Info.param.m_Name; });

TEST(Declarations, OneOfTenConcurrentWritesSucceeds) {
  Cluster TestCluster({.m_Entries = 2, .m_Engines = 1});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  AppliedHistory Applied(TestCluster);
  const PutResult First = putPool(TestCluster, "0", 0);
  ASSERT_TRUE(Applied.awaitEverywhere(First.m_Revision));
  std::vector<PutResult> Results(10);
  std::vector<std::thread> Operators;
  for (std::size_t I = 0; I < Results.size(); ++I)
    Operators.emplace_back([&, I] {
      Results[I] =
          putPool(TestCluster, std::to_string(I + 1), First.m_Revision, I % 2);
    });
  for (std::thread &Each : Operators)
    Each.join();
  std::size_t Successes = 0;
  std::uint64_t Winner = 0;
  for (const PutResult &Each : Results) {
    EXPECT_TRUE(Each.m_Status == 200 || Each.m_Status == 409) << Each.m_Status;
    Successes += Each.m_Status == 200 ? 1 : 0;
    Winner = std::max(Winner, Each.m_Revision);
  }
  EXPECT_EQ(Successes, 1U);
  for (const PutResult &Each : Results)
    // A rejected writer gets the current revision.
    EXPECT_EQ(Each.m_Revision, Winner);
  EXPECT_TRUE(Applied.awaitEverywhere(Winner));
}

TEST(Declarations, SurvivesAnOutageInWhichEveryProcessIsReplaced) {
  Cluster TestCluster({.m_Entries = 3, .m_Engines = 3});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  AppliedHistory Applied(TestCluster);
  PutResult Last = putPool(TestCluster, "1", 0);
  Last = putPool(TestCluster, "2", Last.m_Revision);
  ASSERT_TRUE(Applied.awaitEverywhere(Last.m_Revision)) << TestCluster.logs();
  ASSERT_TRUE(setFaults(TestCluster.platform(), R"({"outage":true})"));
  for (std::size_t I = 0; I < TestCluster.entries(); ++I) {
    ASSERT_TRUE(Applied.recordIncarnation(TestCluster.entry(I)));
    TestCluster.entry(I).m_Process->signal(SIGKILL);
    ASSERT_TRUE(TestCluster.restart(TestCluster.entry(I)));
    ASSERT_TRUE(Applied.awaitEverywhere(Last.m_Revision)) << TestCluster.logs();
  }
  for (std::size_t I = 0; I < TestCluster.agents(); ++I) {
    ASSERT_TRUE(Applied.recordIncarnation(TestCluster.agent(I)));
    TestCluster.agent(I).m_Process->signal(SIGKILL);
    ASSERT_TRUE(TestCluster.restart(TestCluster.agent(I)));
    ASSERT_TRUE(Applied.awaitEverywhere(Last.m_Revision)) << TestCluster.logs();
  }
  EXPECT_EQ(putPool(TestCluster, "3", Last.m_Revision).m_Status, 504U);
  ASSERT_TRUE(setFaults(TestCluster.platform(), "{}"));
  PutResult Next;
  EXPECT_TRUE(eventually([&] {
    Next = putPool(TestCluster, "3", Last.m_Revision);
    return Next.m_Status == 200;
  }));
  EXPECT_TRUE(Applied.awaitEverywhere(Next.m_Revision)) << TestCluster.logs();
  EXPECT_TRUE(Applied.isMonotonic());
}

TEST(Declarations, APausedHolderOfTheWatchLeaseIsReplaced) {
  Cluster TestCluster({.m_Entries = 3, .m_Engines = 1});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  const auto Holder = [&](std::optional<std::size_t> Except = {}) {
    return leaseHolder(TestCluster, "declarations", Except);
  };
  ASSERT_TRUE(eventually([&] { return Holder().has_value(); }));
  const std::size_t First = *Holder();
  TestCluster.entry(First).m_Process->signal(SIGSTOP);
  const std::size_t Other = First == 0 ? 1 : 0;
  const PutResult Last = putPool(TestCluster, "1", 0, Other);
  EXPECT_EQ(Last.m_Status, 201U);
  std::vector<Node *> RunningNodes{&TestCluster.agent(0)};
  for (std::size_t I = 0; I < TestCluster.entries(); ++I)
    if (I != First)
      RunningNodes.push_back(&TestCluster.entry(I));
  AppliedHistory Applied(TestCluster);
  EXPECT_TRUE(eventually([&] { return Holder(First).has_value(); }))
      << TestCluster.logs();
  // Written at the platform directly, so that only the watch of the new
  // holder can report it.
  const std::string Pool = R"({"name":"chat","model":"m","version":"2"})";
  net::HttpHeaders Headers;
  Headers.add("If-Match", '"' + std::to_string(Last.m_Revision) + '"');
  const auto Direct = call(TestCluster.platform(), "PUT",
                           "/v1/objects/pools/chat", Pool, Headers);
  ASSERT_EQ(statusOf(Direct), 200U);
  EXPECT_TRUE(Applied.at(RunningNodes, Last.m_Revision + 1))
      << TestCluster.logs();
  TestCluster.entry(First).m_Process->signal(SIGCONT);
  EXPECT_TRUE(Applied.awaitEverywhere(Last.m_Revision + 1))
      << TestCluster.logs();
  EXPECT_TRUE(Applied.isMonotonic());
}

} // namespace
