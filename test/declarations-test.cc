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

class DeclarationsUnder : public testing::TestWithParam<PlatformFault> {};

TEST_P(DeclarationsUnder, AChangeIsInForceEverywhereAndStays) {
  Cluster Under({.m_Entries = 3, .m_Engines = 4});
  ASSERT_TRUE(Under.start()) << Under.failure();
  History Seen(Under);
  Written Last = putPool(Under, "1", 0);
  ASSERT_EQ(Last.m_Status, 201U);
  ASSERT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  ASSERT_TRUE(setFaults(Under.platform(), GetParam().m_Faults));
  for (const char *Version : {"2", "3", "4"}) {
    Last = putPool(Under, Version, Last.m_Revision);
    ASSERT_EQ(Last.m_Status, 200U) << Version;
  }
  EXPECT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  EXPECT_TRUE(Seen.grew());
}

INSTANTIATE_TEST_SUITE_P(
    Platform, DeclarationsUnder,
    testing::Values(
        PlatformFault{"NoFault", "{}"},
        PlatformFault{"Slow", R"({"delayMs":300})"},
        PlatformFault{"LostAnswer", R"({"loseAnswers":1})"},
        PlatformFault{"StaleReads", R"({"staleReadRevisions":3})"},
        PlatformFault{"DroppedWatch", R"({"dropWatches":true})"},
        PlatformFault{"RepeatedEvents", R"({"repeatWatchEvents":true})"},
        PlatformFault{"ReorderedEvents", R"({"reorderWatchEvents":true})"}),
    [](const auto &Info) { return Info.param.m_Name; });

TEST(Declarations, TenOperatorsRaceAndOneWins) {
  Cluster Under({.m_Entries = 2, .m_Engines = 1});
  ASSERT_TRUE(Under.start()) << Under.failure();
  History Seen(Under);
  const Written First = putPool(Under, "0", 0);
  ASSERT_TRUE(Seen.everywhere(First.m_Revision));
  std::vector<Written> Ended(10);
  std::vector<std::thread> Operators;
  for (std::size_t I = 0; I < Ended.size(); ++I)
    Operators.emplace_back([&, I] {
      Ended[I] = putPool(Under, std::to_string(I + 1), First.m_Revision, I % 2);
    });
  for (std::thread &Each : Operators)
    Each.join();
  std::size_t Won = 0;
  std::uint64_t Winner = 0;
  for (const Written &Each : Ended) {
    EXPECT_TRUE(Each.m_Status == 200 || Each.m_Status == 409) << Each.m_Status;
    Won += Each.m_Status == 200 ? 1 : 0;
    Winner = std::max(Winner, Each.m_Revision);
  }
  EXPECT_EQ(Won, 1U);
  for (const Written &Each : Ended)
    EXPECT_EQ(Each.m_Revision, Winner); // the losers are shown what stands
  EXPECT_TRUE(Seen.everywhere(Winner));
}

TEST(Declarations, SurvivesAnOutageInWhichEveryProcessIsReplaced) {
  Cluster Under({.m_Entries = 3, .m_Engines = 3});
  ASSERT_TRUE(Under.start()) << Under.failure();
  History Seen(Under);
  Written Last = putPool(Under, "1", 0);
  Last = putPool(Under, "2", Last.m_Revision);
  ASSERT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  ASSERT_TRUE(setFaults(Under.platform(), R"({"outage":true})"));
  for (std::size_t I = 0; I < Under.entries(); ++I) {
    ASSERT_TRUE(Seen.endLife(Under.entry(I)));
    Under.entry(I).m_Process->signal(SIGKILL);
    ASSERT_TRUE(Under.restart(Under.entry(I)));
    ASSERT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  }
  for (std::size_t I = 0; I < Under.agents(); ++I) {
    ASSERT_TRUE(Seen.endLife(Under.agent(I)));
    Under.agent(I).m_Process->signal(SIGKILL);
    ASSERT_TRUE(Under.restart(Under.agent(I)));
    ASSERT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  }
  EXPECT_EQ(putPool(Under, "3", Last.m_Revision).m_Status, 504U);
  ASSERT_TRUE(setFaults(Under.platform(), "{}"));
  Written Next;
  EXPECT_TRUE(eventually([&] {
    Next = putPool(Under, "3", Last.m_Revision);
    return Next.m_Status == 200;
  }));
  EXPECT_TRUE(Seen.everywhere(Next.m_Revision)) << Under.logs();
  EXPECT_TRUE(Seen.grew());
}

TEST(Declarations, APausedHolderOfTheWatchIsReplaced) {
  Cluster Under({.m_Entries = 3, .m_Engines = 1});
  ASSERT_TRUE(Under.start()) << Under.failure();
  const auto Holder = [&](std::optional<std::size_t> Except = {}) {
    return leaseHolder(Under, "declarations", Except);
  };
  ASSERT_TRUE(eventually([&] { return Holder().has_value(); }));
  const std::size_t First = *Holder();
  Under.entry(First).m_Process->signal(SIGSTOP);
  const std::size_t Other = First == 0 ? 1 : 0;
  const Written Last = putPool(Under, "1", 0, Other);
  EXPECT_EQ(Last.m_Status, 201U);
  std::vector<Node *> Awake{&Under.agent(0)};
  for (std::size_t I = 0; I < Under.entries(); ++I)
    if (I != First)
      Awake.push_back(&Under.entry(I));
  History Seen(Under);
  EXPECT_TRUE(eventually([&] { return Holder(First).has_value(); }))
      << Under.logs();
  // A change that only the new holder can tell: it is made at the platform.
  const std::string Pool = R"({"name":"chat","model":"m","version":"2"})";
  net::HttpHeaders Headers;
  Headers.add("If-Match", '"' + std::to_string(Last.m_Revision) + '"');
  const auto Direct =
      call(Under.platform(), "PUT", "/v1/objects/pools/chat", Pool, Headers);
  ASSERT_EQ(statusOf(Direct), 200U);
  EXPECT_TRUE(Seen.at(Awake, Last.m_Revision + 1)) << Under.logs();
  Under.entry(First).m_Process->signal(SIGCONT);
  EXPECT_TRUE(Seen.everywhere(Last.m_Revision + 1)) << Under.logs();
  EXPECT_TRUE(Seen.grew());
}

} // namespace
