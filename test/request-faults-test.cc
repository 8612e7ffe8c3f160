// Requests under faults of real processes: every answer is checked, and every
// run of a non-idempotent call is counted at the service.
#include "cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <map>

using namespace deckpitch;
using namespace deckpitch::test;

namespace json = boost::json;

namespace {

constexpr int Chats = 8;
constexpr int Orders = 8;
constexpr char ChatDeadline[] = "8000";
constexpr char OrderDeadline[] = "2000";

struct FaultRow {
  std::string m_Name;
  std::function<void(Cluster &)> m_Break;
  std::function<void(Cluster &)> m_Heal;
  /// One engine is left whole, so every chat must be answered.
  bool m_ChatsAnswered = true;
};

void PrintTo(const FaultRow &Row, std::ostream *Out) { *Out << Row.m_Name; }

struct Told {
  std::string m_Outcome;
  std::string m_Body;
};

Told send(const std::string &Entry, const std::string &Target,
          const std::string &Body, const std::string &Key) {
  net::HttpHeaders Headers;
  Headers.add("X-Deadline-Ms", Key.empty() ? ChatDeadline : OrderDeadline);
  if (!Key.empty())
    Headers.add("Idempotency-Key", Key);
  const auto Got = call(Entry, "POST", Target, Body, Headers);
  if (!Got)
    return {"none", Got.error().m_Message};
  return {std::string(Got->m_Headers.find("X-Outcome")), Got->m_Body};
}

Told chat(const std::string &Entry, int Prompt) {
  const json::object Message{{"role", "user"},
                             {"content", "prompt " + std::to_string(Prompt)}};
  const json::object Body{{"model", "chat"},
                          {"max_tokens", 12},
                          {"messages", json::array{Message}}};
  return send(Entry, "/v1/chat/completions", json::serialize(Body), "");
}

std::string contentOf(const Told &Answer) {
  boost::system::error_code Ec;
  const json::value Body = json::parse(Answer.m_Body, Ec);
  if (Ec || !Body.is_object() || !Body.get_object().contains("choices"))
    return {};
  return Body.at("choices")
      .at(0)
      .at("message")
      .at("content")
      .as_string()
      .c_str();
}

std::size_t upstreamsOf(const Node &Entry, const std::string &Pool) {
  const json::value Dump = jsonOf(call(Entry.m_Operator, "GET", "/v1/dump"));
  if (!Dump.is_object())
    return 0;
  const json::value *Pools = &Dump.at("modules").at("requests").at("pools");
  const json::value *Found = Pools->as_object().if_contains(Pool);
  return Found ? Found->as_object().size() : 0;
}

std::map<std::string, int> executions(Cluster &Under) {
  std::map<std::string, int> Counts;
  for (std::size_t I = 0; I < 2; ++I) {
    const json::value List =
        jsonOf(call(Under.service(I).m_Address, "GET", "/_standin/executions"));
    for (const json::value &Each : List.as_array())
      Counts[Each.at("key").as_string().c_str()] +=
          Each.at("count").to_number<int>();
  }
  return Counts;
}

class RequestFaults : public testing::TestWithParam<FaultRow> {
protected:
  void SetUp() override {
    ASSERT_TRUE(m_Cluster.start()) << m_Cluster.failure();
    m_Cluster.addWeights("m@1", 1 << 18, 1 << 16);
    ASSERT_TRUE(m_Cluster.declarePool("chat", "m", "1"));
    ASSERT_TRUE(m_Cluster.declareServicePool("/orders"));
    for (std::size_t I = 0; I < m_Cluster.entries(); ++I) {
      ASSERT_TRUE(eventually([&] {
        return upstreamsOf(m_Cluster.entry(I), "chat") == 2 &&
               upstreamsOf(m_Cluster.entry(I), "orders") == 2;
      })) << m_Cluster.logs();
    }
  }

  Cluster m_Cluster{{.m_Entries = 2, .m_Engines = 2, .m_Services = 2}};
};

TEST_P(RequestFaults, EveryCallerIsToldTheTruth) {
  const std::string Entry = m_Cluster.entry(0).m_Requests;
  std::vector<std::string> Expected;
  for (int I = 0; I < Chats; ++I) {
    Expected.push_back(contentOf(chat(Entry, I)));
    ASSERT_FALSE(Expected.back().empty());
  }
  GetParam().m_Break(m_Cluster);
  for (int I = 0; I < Chats; ++I) {
    const Told Answer = chat(Entry, I);
    if (Answer.m_Outcome == "answered")
      EXPECT_EQ(contentOf(Answer), Expected[I]);
    else
      EXPECT_FALSE(GetParam().m_ChatsAnswered)
          << Answer.m_Outcome << ": " << Answer.m_Body;
    EXPECT_NE(Answer.m_Outcome, "none") << Answer.m_Body;
  }
  std::map<std::string, std::string> Outcomes;
  for (int I = 0; I < Orders; ++I) {
    const std::string Key = "order-" + std::to_string(I);
    Outcomes[Key] = send(Entry, "/orders", "{}", Key).m_Outcome;
    EXPECT_NE(Outcomes[Key], "none");
  }
  if (GetParam().m_Heal)
    GetParam().m_Heal(m_Cluster);
  auto Runs = executions(m_Cluster);
  for (const auto &[Key, Outcome] : Outcomes) {
    EXPECT_LE(Runs[Key], Outcome == "not-run" ? 0 : 1) << Key << Outcome;
    EXPECT_GE(Runs[Key], Outcome == "answered" ? 1 : 0) << Key;
    // Asked again on the other entry, it still runs at most once.
    send(m_Cluster.entry(1).m_Requests, "/orders", "{}", Key);
  }
  for (const auto &[Key, Count] : executions(m_Cluster))
    EXPECT_LE(Count, 1) << Key;
}

void stopAgent(Cluster &Under, int Signal) {
  Under.agent(0).m_Process->signal(Signal); // of an engine
  Under.agent(2).m_Process->signal(Signal); // of a service
}

void faultBoth(Cluster &Under, const std::string &Engine,
               const std::string &Service) {
  ASSERT_TRUE(setFaults(Under.engine(0).m_Address, Engine));
  ASSERT_TRUE(setFaults(Under.service(0).m_Address, Service));
}

INSTANTIATE_TEST_SUITE_P(
    Rows, RequestFaults,
    testing::Values(
        FaultRow{"NoFault", [](Cluster &) {}, nullptr},
        FaultRow{"AgentsKilled",
                 [](Cluster &Under) { stopAgent(Under, SIGKILL); }, nullptr},
        FaultRow{"AgentsFrozen",
                 [](Cluster &Under) { stopAgent(Under, SIGSTOP); },
                 [](Cluster &Under) { stopAgent(Under, SIGCONT); }},
        FaultRow{"UpstreamsHang",
                 [](Cluster &Under) {
                   faultBoth(Under, R"({"acceptAndHang":true})",
                             R"({"acceptAndHang":true})");
                 },
                 [](Cluster &Under) { faultBoth(Under, "{}", "{}"); }},
        FaultRow{"UpstreamsBreak",
                 [](Cluster &Under) {
                   faultBoth(Under, R"({"breakAfterTokens":5})",
                             R"({"dieAfter":4})");
                 },
                 nullptr},
        FaultRow{"PlatformDown",
                 [](Cluster &Under) {
                   ASSERT_TRUE(
                       setFaults(Under.platform(), R"({"outage":true})"));
                 },
                 [](Cluster &Under) {
                   ASSERT_TRUE(setFaults(Under.platform(), "{}"));
                 }},
        FaultRow{"AgentFrozenAndEngineBreaks",
                 [](Cluster &Under) {
                   stopAgent(Under, SIGSTOP);
                   ASSERT_TRUE(setFaults(Under.engine(1).m_Address,
                                         R"({"breakAfterTokens":3})"));
                 },
                 [](Cluster &Under) { stopAgent(Under, SIGCONT); }, false}),
    [](const auto &Info) { return Info.param.m_Name; });

TEST(RequestDrain, ALeavingAgentFinishesItsStreamsAndTakesNothingNew) {
  Cluster Under({.m_Entries = 1, .m_Engines = 2});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", 1 << 18, 1 << 16);
  ASSERT_TRUE(Under.declarePool("chat", "m", "1"));
  ASSERT_TRUE(eventually([&] {
    return upstreamsOf(Under.entry(0), "chat") == 2;
  })) << Under.logs();
  Under.agent(0).m_Process->signal(SIGTERM);
  for (int I = 0; I < Chats; ++I)
    EXPECT_EQ(chat(Under.entry(0).m_Requests, I).m_Outcome, "answered");
  EXPECT_EQ(Under.agent(0).m_Process->waitForExit(), 0) << Under.logs();
}

} // namespace
