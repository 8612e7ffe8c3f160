#include "cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <map>
#include <thread>

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

constexpr const char *PoolPath = "/v1/resources/pools/chat";

std::string poolJson(const std::string &Version) {
  return R"({"name":"chat","model":"m","version":")" + Version + R"("})";
}

/// Follows what every process applies and notices any step back.
class History {
public:
  explicit History(Cluster &Of) : m_Of(Of) {}

  /// Processes that apply the pool at this revision, complete.
  std::size_t inForce(std::uint64_t Revision) {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < m_Of.entries(); ++I)
      Count += look(m_Of.entry(I)) >= Revision ? 1 : 0;
    for (std::size_t I = 0; I < m_Of.agents(); ++I)
      Count += look(m_Of.agent(I)) >= Revision ? 1 : 0;
    return Count;
  }

  bool everywhere(std::uint64_t Revision) {
    const std::size_t All = m_Of.entries() + m_Of.agents();
    return eventually([&] { return inForce(Revision) == All; });
  }

  bool reverted() const { return m_Reverted; }

private:
  std::uint64_t look(Node &At) {
    const auto Dump = jsonOf(call(At.m_Operator, "GET", "/v1/dump"));
    if (!Dump.is_object())
      return 0;
    const auto &Replica = Dump.at("modules").at("declarations");
    if (!Replica.at("published").as_bool())
      return 0;
    const auto *Pool =
        Replica.at("objects").as_object().if_contains("pools/chat");
    const auto Now = Pool ? Pool->to_number<std::uint64_t>() : 0;
    std::uint64_t &Before = m_Newest[At.m_Instance];
    m_Reverted = m_Reverted || Now < Before;
    Before = std::max(Before, Now);
    const auto Complete = Replica.at("revision").to_number<std::uint64_t>();
    return Complete >= Now ? Now : 0;
  }

  Cluster &m_Of;
  std::map<std::string, std::uint64_t> m_Newest;
  bool m_Reverted = false;
};

struct Written {
  unsigned m_Status = 0;
  std::uint64_t m_Revision = 0;
};

Written put(Cluster &To, const std::string &Version, std::uint64_t Expected,
            std::size_t Entry = 0) {
  net::HttpHeaders Headers;
  if (Expected == 0)
    Headers.add("If-None-Match", "*");
  else
    Headers.add("If-Match", '"' + std::to_string(Expected) + '"');
  const auto Answer = call(To.entry(Entry).m_Operator, "PUT", PoolPath,
                           poolJson(Version), Headers);
  const auto Body = jsonOf(Answer);
  const auto *At =
      Body.is_object() ? Body.get_object().if_contains("revision") : nullptr;
  return {statusOf(Answer), At ? At->to_number<std::uint64_t>() : 0};
}

struct PlatformFault {
  const char *m_Name;
  const char *m_Faults;
};

class DeclarationsUnder : public testing::TestWithParam<PlatformFault> {};

TEST_P(DeclarationsUnder, AChangeIsInForceEverywhereAndStays) {
  Cluster Under({.m_Entries = 3, .m_Engines = 4});
  ASSERT_TRUE(Under.start()) << Under.failure();
  History Seen(Under);
  Written Last = put(Under, "1", 0);
  ASSERT_EQ(Last.m_Status, 201U);
  ASSERT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  ASSERT_TRUE(setFaults(Under.platform(), GetParam().m_Faults));
  for (const char *Version : {"2", "3", "4"}) {
    Last = put(Under, Version, Last.m_Revision);
    ASSERT_EQ(Last.m_Status, 200U) << Version;
  }
  EXPECT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  EXPECT_FALSE(Seen.reverted());
}

INSTANTIATE_TEST_SUITE_P(
    Platform, DeclarationsUnder,
    testing::Values(
        PlatformFault{"NoFault", "{}"},
        PlatformFault{"Slow", R"({"delayMs":300})"},
        PlatformFault{"LostAnswer", R"({"loseAnswers":1})"},
        PlatformFault{"DroppedWatch", R"({"dropWatches":true})"},
        PlatformFault{"RepeatedEvents", R"({"repeatWatchEvents":true})"},
        PlatformFault{"ReorderedEvents", R"({"reorderWatchEvents":true})"}),
    [](const auto &Info) { return Info.param.m_Name; });

TEST(Declarations, TenOperatorsRaceAndOneWins) {
  Cluster Under({.m_Entries = 2, .m_Engines = 1});
  ASSERT_TRUE(Under.start()) << Under.failure();
  History Seen(Under);
  const Written First = put(Under, "0", 0);
  ASSERT_TRUE(Seen.everywhere(First.m_Revision));
  std::vector<Written> Ended(10);
  std::vector<std::thread> Operators;
  for (std::size_t I = 0; I < Ended.size(); ++I)
    Operators.emplace_back([&, I] {
      Ended[I] = put(Under, std::to_string(I + 1), First.m_Revision, I % 2);
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
  Written Last = put(Under, "1", 0);
  Last = put(Under, "2", Last.m_Revision);
  ASSERT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  ASSERT_TRUE(setFaults(Under.platform(), R"({"outage":true})"));
  for (std::size_t I = 0; I < Under.entries(); ++I) {
    Under.entry(I).m_Process->signal(SIGKILL);
    ASSERT_TRUE(Under.restart(Under.entry(I)));
    ASSERT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  }
  for (std::size_t I = 0; I < Under.agents(); ++I) {
    Under.agent(I).m_Process->signal(SIGKILL);
    ASSERT_TRUE(Under.restart(Under.agent(I)));
    ASSERT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  }
  EXPECT_EQ(put(Under, "3", Last.m_Revision).m_Status, 504U);
  ASSERT_TRUE(setFaults(Under.platform(), "{}"));
  Written Next;
  EXPECT_TRUE(eventually([&] {
    Next = put(Under, "3", Last.m_Revision);
    return Next.m_Status == 200;
  }));
  EXPECT_TRUE(Seen.everywhere(Next.m_Revision)) << Under.logs();
  EXPECT_FALSE(Seen.reverted());
}

TEST(Declarations, APausedHolderOfTheWatchIsReplaced) {
  Cluster Under({.m_Entries = 3, .m_Engines = 1});
  ASSERT_TRUE(Under.start()) << Under.failure();
  const auto Holder = [&]() -> std::optional<std::size_t> {
    for (std::size_t I = 0; I < Under.entries(); ++I) {
      const auto Dump =
          jsonOf(call(Under.entry(I).m_Operator, "GET", "/v1/dump"));
      if (Dump.is_object() && Dump.at("modules")
                                  .at("declarations")
                                  .at("lease")
                                  .at("held")
                                  .as_bool())
        return I;
    }
    return std::nullopt;
  };
  ASSERT_TRUE(eventually([&] { return Holder().has_value(); }));
  const std::size_t First = *Holder();
  Under.entry(First).m_Process->signal(SIGSTOP);
  const std::size_t Other = First == 0 ? 1 : 0;
  const Written Last = put(Under, "1", 0, Other);
  EXPECT_EQ(Last.m_Status, 201U);
  Under.entry(First).m_Process->signal(SIGCONT);
  History Seen(Under);
  EXPECT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  EXPECT_FALSE(Seen.reverted());
}

} // namespace
