// Requests under faults of real processes: every answer is checked, and every
// run of a non-idempotent call is counted at the service.
#include "cluster.h"
#include "raw-connection.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <thread>

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

/// A caller that misbehaves, and how its answer must begin.
struct HostileCaller {
  const char *m_Name;
  std::string m_Sent;
  const char *m_Answer;
};

std::string rawPost(const std::string &Body) {
  return "POST /v1/chat/completions HTTP/1.1\r\nConnection: close\r\n"
         "Content-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::vector<HostileCaller> hostileCallers() {
  constexpr std::size_t Mebibyte = std::size_t{1024} * 1024;
  constexpr std::size_t LargeHeader = std::size_t{32} * 1024;
  return {
      {"SlowHeader", "POST /v1/chat/completions HTTP/1.1\r\nX-",
       "HTTP/1.1 408 "},
      {"SlowBody",
       "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 9\r\n\r\n{",
       "HTTP/1.1 408 "},
      {"LargeHeader",
       "GET / HTTP/1.1\r\nA: " + std::string(LargeHeader, 'x') + "\r\n\r\n",
       "HTTP/1.1 431 "},
      {"LargeBody", rawPost(std::string(5 * Mebibyte, ' ')), "HTTP/1.1 413 "},
      {"OtherProtocol", std::string("\x16\x03\x01\x02\r\n\r\n", 8),
       "HTTP/1.1 400 "},
      {"NotJson", rawPost(R"({"model":"chat",)"), "HTTP/1.1 400 "},
      {"DeepJson",
       rawPost(R"({"model":"chat","messages":)" + std::string(Mebibyte, '[')),
       "HTTP/1.1 400 "},
      {"OtherTypes", rawPost(R"({"model":{"chat":1},"messages":7})"),
       "HTTP/1.1 400 "}};
}

bool routesReady(Cluster &Under, std::size_t Engines, std::size_t Services) {
  for (std::size_t I = 0; I < Under.entries(); ++I) {
    const bool Ready = eventually([&] {
      return upstreamsOf(Under.entry(I), "chat") == Engines &&
             upstreamsOf(Under.entry(I), "orders") == Services;
    });
    if (!Ready)
      return false;
  }
  return true;
}

TEST(RequestCallers, HostileOnesAreToldSoAndHarmNobody) {
  Cluster Under({.m_Entries = 1, .m_Engines = 2});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", 1 << 18, 1 << 16);
  ASSERT_TRUE(Under.declarePool("chat", "m", "1"));
  ASSERT_TRUE(routesReady(Under, 2, 0)) << Under.logs();
  const std::string Entry = Under.entry(0).m_Requests;
  std::vector<std::string> Expected;
  for (int I = 0; I < Chats; ++I) {
    Expected.push_back(contentOf(chat(Entry, I)));
    ASSERT_FALSE(Expected.back().empty());
  }
  const std::vector<HostileCaller> Rows = hostileCallers();
  std::vector<std::unique_ptr<RawConnection>> Open;
  for (const HostileCaller &Each : Rows) {
    Open.push_back(std::make_unique<RawConnection>(Entry));
    Open.back()->send(Each.m_Sent);
  }
  for (int I = 0; I < Chats; ++I)
    EXPECT_EQ(contentOf(chat(Entry, I)), Expected[I]);
  for (std::size_t I = 0; I < Rows.size(); ++I)
    EXPECT_EQ(Open[I]->readToEnd().rfind(Rows[I].m_Answer, 0), 0U)
        << Rows[I].m_Name;
  for (int I = 0; I < Chats; ++I)
    EXPECT_EQ(contentOf(chat(Entry, I)), Expected[I]);
}

std::vector<std::string> addressesOf(const Node &Entry) {
  std::vector<std::string> Names;
  const json::value Answer =
      jsonOf(call(Entry.m_Requests, "GET", "/v1/addresses"));
  if (Answer.is_object())
    for (const json::value &Each : Answer.at("entries").as_array())
      Names.emplace_back(Each.as_string().c_str());
  return Names;
}

TEST(RequestEntries, TheLastOneLeftServesAll) {
  Cluster Under({.m_Entries = 3, .m_Engines = 2, .m_Services = 2});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", 1 << 18, 1 << 16);
  ASSERT_TRUE(Under.declarePool("chat", "m", "1"));
  ASSERT_TRUE(Under.declareServicePool("/orders"));
  ASSERT_TRUE(routesReady(Under, 2, 2)) << Under.logs();
  Node &Last = Under.entry(2);
  ASSERT_TRUE(eventually([&] { return addressesOf(Last).size() == 3; }));
  std::vector<std::string> Expected;
  Expected.reserve(Chats);
  for (int I = 0; I < Chats; ++I)
    Expected.push_back(contentOf(chat(Under.entry(0).m_Requests, I)));
  ASSERT_EQ(
      send(Under.entry(0).m_Requests, "/orders", "{}", "before").m_Outcome,
      "answered");
  Under.entry(0).m_Process->signal(SIGKILL);
  Under.entry(1).m_Process->signal(SIGKILL);
  for (int I = 0; I < Chats; ++I) {
    EXPECT_EQ(contentOf(chat(Last.m_Requests, I)), Expected[I]);
    const std::string Key = "after-" + std::to_string(I);
    EXPECT_EQ(send(Last.m_Requests, "/orders", "{}", Key).m_Outcome,
              "answered");
  }
  EXPECT_EQ(send(Last.m_Requests, "/orders", "{}", "before").m_Outcome,
            "answered");
  for (const auto &[Key, Count] : executions(Under))
    EXPECT_EQ(Count, 1) << Key;
  EXPECT_TRUE(eventually([&] {
    return addressesOf(Last) == std::vector{Last.m_Requests};
  })) << Under.logs();
}

TEST(RequestEntries, OneKilledAfterSendingAKeyedCallNeverMakesItRunTwice) {
  Cluster Under({.m_Entries = 2, .m_Engines = 0, .m_Services = 2});
  ASSERT_TRUE(Under.start()) << Under.failure();
  ASSERT_TRUE(Under.declareServicePool("/orders"));
  ASSERT_TRUE(routesReady(Under, 0, 2)) << Under.logs();
  for (std::size_t I = 0; I < 2; ++I)
    ASSERT_TRUE(setFaults(Under.service(I).m_Address, R"({"delayMs":1000})"));
  const auto Sent = [&] {
    return counterOf(Under.service(0).m_Address, "calls") +
           counterOf(Under.service(1).m_Address, "calls");
  };
  const std::string Killed = Under.entry(0).m_Requests;
  std::vector<std::thread> Callers;
  Callers.reserve(Orders);
  for (int I = 0; I < Orders; ++I)
    Callers.emplace_back([Killed, Key = "order-" + std::to_string(I)] {
      send(Killed, "/orders", "{}", Key);
    });
  EXPECT_TRUE(eventually([&] { return Sent() == Orders; }));
  Under.entry(0).m_Process->signal(SIGKILL);
  const std::string Other = Under.entry(1).m_Requests;
  for (int I = 0; I < Orders; ++I) {
    const Told Answer =
        send(Other, "/orders", "{}", "order-" + std::to_string(I));
    EXPECT_TRUE(Answer.m_Outcome == "unknown" || Answer.m_Outcome == "answered")
        << Answer.m_Outcome << ": " << Answer.m_Body;
  }
  for (std::thread &Each : Callers)
    Each.join();
  EXPECT_TRUE(eventually([&] {
    return counterOf(Under.service(0).m_Address, "executions") +
               counterOf(Under.service(1).m_Address, "executions") >=
           Orders;
  }));
  for (int I = 0; I < Orders; ++I)
    EXPECT_TRUE(eventually([&] {
      return send(Other, "/orders", "{}", "order-" + std::to_string(I))
                 .m_Outcome == "answered";
    }));
  const auto Runs = executions(Under);
  EXPECT_EQ(Runs.size(), static_cast<std::size_t>(Orders));
  for (const auto &[Key, Count] : Runs)
    EXPECT_EQ(Count, 1) << Key;
}

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
