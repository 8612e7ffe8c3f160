// Tests requests under faults of real processes. Every answer is checked, and
// every execution of a non-idempotent call is counted at the service.
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

constexpr int ChatCount = 8;
constexpr int OrderCount = 8;
constexpr char ChatDeadline[] = "8000";
constexpr char OrderDeadline[] = "2000";

struct FaultCase {
  std::string m_Name;
  std::function<void(Cluster &)> m_Inject;
  std::function<void(Cluster &)> m_Clear;
  /// One engine stays healthy, so every chat must be answered.
  bool m_EveryChatAnswered = true;
};

void PrintTo(const FaultCase &Row, std::ostream *Out) { *Out << Row.m_Name; }

struct CallResult {
  std::string m_Outcome;
  std::string m_Body;
};

CallResult send(const std::string &Entry, const std::string &Target,
                const std::string &Body, const std::string &Key) {
  net::HttpHeaders Headers;
  Headers.add("X-Deadline-Ms", Key.empty() ? ChatDeadline : OrderDeadline);
  if (!Key.empty())
    Headers.add("Idempotency-Key", Key);
  const auto Response = call(Entry, "POST", Target, Body, Headers);
  if (!Response)
    return {"none", Response.error().m_Message};
  return {std::string(Response->m_Headers.find("X-Outcome")), Response->m_Body};
}

CallResult chat(const std::string &Entry, int Prompt) {
  const json::object Message{{"role", "user"},
                             {"content", "prompt " + std::to_string(Prompt)}};
  const json::object Body{{"model", "chat"},
                          {"max_tokens", 12},
                          {"messages", json::array{Message}}};
  return send(Entry, "/v1/chat/completions", json::serialize(Body), "");
}

std::string contentOf(const CallResult &Answer) {
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

std::map<std::string, int> executions(Cluster &TestCluster) {
  std::map<std::string, int> Counts;
  for (std::size_t I = 0; I < 2; ++I) {
    const json::value List = jsonOf(
        call(TestCluster.service(I).m_Address, "GET", "/_standin/executions"));
    for (const json::value &Each : List.as_array())
      Counts[Each.at("key").as_string().c_str()] +=
          Each.at("count").to_number<int>();
  }
  return Counts;
}

class RequestFaults : public testing::TestWithParam<FaultCase> {
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

TEST_P(RequestFaults, ReportedOutcomesMatchTheExecutions) {
  const std::string Entry = m_Cluster.entry(0).m_Requests;
  std::vector<std::string> Expected;
  for (int I = 0; I < ChatCount; ++I) {
    Expected.push_back(contentOf(chat(Entry, I)));
    ASSERT_FALSE(Expected.back().empty());
  }
  GetParam().m_Inject(m_Cluster);
  for (int I = 0; I < ChatCount; ++I) {
    const CallResult Answer = chat(Entry, I);
    if (Answer.m_Outcome == "answered")
      EXPECT_EQ(contentOf(Answer), Expected[I]);
    else
      EXPECT_FALSE(GetParam().m_EveryChatAnswered)
          << Answer.m_Outcome << ": " << Answer.m_Body;
    EXPECT_NE(Answer.m_Outcome, "none") << Answer.m_Body;
  }
  std::map<std::string, std::string> Outcomes;
  for (int I = 0; I < OrderCount; ++I) {
    const std::string Key = "order-" + std::to_string(I);
    Outcomes[Key] = send(Entry, "/orders", "{}", Key).m_Outcome;
    EXPECT_NE(Outcomes[Key], "none");
  }
  if (GetParam().m_Clear)
    GetParam().m_Clear(m_Cluster);
  auto Runs = executions(m_Cluster);
  for (const auto &[Key, Outcome] : Outcomes) {
    EXPECT_LE(Runs[Key], Outcome == "not-run" ? 0 : 1) << Key << Outcome;
    EXPECT_GE(Runs[Key], Outcome == "answered" ? 1 : 0) << Key;
    // Repeated through the other entry, the call still runs at most once.
    send(m_Cluster.entry(1).m_Requests, "/orders", "{}", Key);
  }
  for (const auto &[Key, Count] : executions(m_Cluster))
    EXPECT_LE(Count, 1) << Key;
}

void signalAgents(Cluster &TestCluster, int Signal) {
  TestCluster.agent(0).m_Process->signal(Signal); // of an engine
  TestCluster.agent(2).m_Process->signal(Signal); // of a service
}

void setUpstreamFaults(Cluster &TestCluster, const std::string &Engine,
                       const std::string &Service) {
  ASSERT_TRUE(setFaults(TestCluster.engine(0).m_Address, Engine));
  ASSERT_TRUE(setFaults(TestCluster.service(0).m_Address, Service));
}

INSTANTIATE_TEST_SUITE_P(
    Rows, RequestFaults,
    testing::Values(
        FaultCase{"NoFault", [](Cluster &) {}, nullptr},
        FaultCase{
            "AgentsKilled",
            [](Cluster &TestCluster) { signalAgents(TestCluster, SIGKILL); },
            nullptr},
        FaultCase{
            "AgentsFrozen",
            [](Cluster &TestCluster) { signalAgents(TestCluster, SIGSTOP); },
            [](Cluster &TestCluster) { signalAgents(TestCluster, SIGCONT); }},
        FaultCase{"UpstreamsHang",
                  [](Cluster &TestCluster) {
                    setUpstreamFaults(TestCluster, R"({"acceptAndHang":true})",
                                      R"({"acceptAndHang":true})");
                  },
                  [](Cluster &TestCluster) {
                    setUpstreamFaults(TestCluster, "{}", "{}");
                  }},
        FaultCase{"UpstreamsBreak",
                  [](Cluster &TestCluster) {
                    setUpstreamFaults(TestCluster, R"({"breakAfterTokens":5})",
                                      R"({"dieAfter":4})");
                  },
                  nullptr},
        FaultCase{"PlatformDown",
                  [](Cluster &TestCluster) {
                    ASSERT_TRUE(setFaults(TestCluster.platform(),
                                          R"({"outage":true})"));
                  },
                  [](Cluster &TestCluster) {
                    ASSERT_TRUE(setFaults(TestCluster.platform(), "{}"));
                  }},
        FaultCase{
            "AgentFrozenAndEngineBreaks",
            [](Cluster &TestCluster) {
              signalAgents(TestCluster, SIGSTOP);
              ASSERT_TRUE(setFaults(TestCluster.engine(1).m_Address,
                                    R"({"breakAfterTokens":3})"));
            },
            [](Cluster &TestCluster) { signalAgents(TestCluster, SIGCONT); },
            false}),
    [](const auto &Info) { return Info.param.m_Name; });

/// The bytes that a misbehaving caller sends and the expected start of the
/// response.
struct HostileCaller {
  const char *m_Name;
  std::string m_Sent;
  const char *m_ExpectedStart;
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

bool awaitRoutes(Cluster &TestCluster, std::size_t Engines,
                 std::size_t Services) {
  for (std::size_t I = 0; I < TestCluster.entries(); ++I) {
    const bool Ready = eventually([&] {
      return upstreamsOf(TestCluster.entry(I), "chat") == Engines &&
             upstreamsOf(TestCluster.entry(I), "orders") == Services;
    });
    if (!Ready)
      return false;
  }
  return true;
}

TEST(RequestCallers, HostileOnesAreRejectedAndAffectNoOthers) {
  Cluster TestCluster({.m_Entries = 1, .m_Engines = 2});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", 1 << 18, 1 << 16);
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "1"));
  ASSERT_TRUE(awaitRoutes(TestCluster, 2, 0)) << TestCluster.logs();
  const std::string Entry = TestCluster.entry(0).m_Requests;
  std::vector<std::string> Expected;
  for (int I = 0; I < ChatCount; ++I) {
    Expected.push_back(contentOf(chat(Entry, I)));
    ASSERT_FALSE(Expected.back().empty());
  }
  const std::vector<HostileCaller> Rows = hostileCallers();
  std::vector<std::unique_ptr<RawConnection>> Open;
  for (const HostileCaller &Each : Rows) {
    Open.push_back(std::make_unique<RawConnection>(Entry));
    Open.back()->send(Each.m_Sent);
  }
  for (int I = 0; I < ChatCount; ++I)
    EXPECT_EQ(contentOf(chat(Entry, I)), Expected[I]);
  for (std::size_t I = 0; I < Rows.size(); ++I)
    EXPECT_EQ(Open[I]->readToEnd().rfind(Rows[I].m_ExpectedStart, 0), 0U)
        << Rows[I].m_Name;
  for (int I = 0; I < ChatCount; ++I)
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

TEST(RequestEntries, TheLastRemainingOneServesAllRequests) {
  Cluster TestCluster({.m_Entries = 3, .m_Engines = 2, .m_Services = 2});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", 1 << 18, 1 << 16);
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "1"));
  ASSERT_TRUE(TestCluster.declareServicePool("/orders"));
  ASSERT_TRUE(awaitRoutes(TestCluster, 2, 2)) << TestCluster.logs();
  Node &Last = TestCluster.entry(2);
  ASSERT_TRUE(eventually([&] { return addressesOf(Last).size() == 3; }));
  std::vector<std::string> Expected;
  Expected.reserve(ChatCount);
  for (int I = 0; I < ChatCount; ++I)
    Expected.push_back(contentOf(chat(TestCluster.entry(0).m_Requests, I)));
  ASSERT_EQ(send(TestCluster.entry(0).m_Requests, "/orders", "{}", "before")
                .m_Outcome,
            "answered");
  TestCluster.entry(0).m_Process->signal(SIGKILL);
  TestCluster.entry(1).m_Process->signal(SIGKILL);
  for (int I = 0; I < ChatCount; ++I) {
    EXPECT_EQ(contentOf(chat(Last.m_Requests, I)), Expected[I]);
    const std::string Key = "after-" + std::to_string(I);
    EXPECT_EQ(send(Last.m_Requests, "/orders", "{}", Key).m_Outcome,
              "answered");
  }
  EXPECT_EQ(send(Last.m_Requests, "/orders", "{}", "before").m_Outcome,
            "answered");
  for (const auto &[Key, Count] : executions(TestCluster))
    EXPECT_EQ(Count, 1) << Key;
  EXPECT_TRUE(eventually([&] {
    return addressesOf(Last) == std::vector{Last.m_Requests};
  })) << TestCluster.logs();
}

TEST(RequestEntries, AKeyedCallForwardedByAKilledOneRunsOnce) {
  Cluster TestCluster({.m_Entries = 2, .m_Engines = 0, .m_Services = 2});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  ASSERT_TRUE(TestCluster.declareServicePool("/orders"));
  ASSERT_TRUE(awaitRoutes(TestCluster, 0, 2)) << TestCluster.logs();
  for (std::size_t I = 0; I < 2; ++I)
    ASSERT_TRUE(
        setFaults(TestCluster.service(I).m_Address, R"({"delayMs":1000})"));
  const auto Sent = [&] {
    return counterOf(TestCluster.service(0).m_Address, "calls") +
           counterOf(TestCluster.service(1).m_Address, "calls");
  };
  const std::string Killed = TestCluster.entry(0).m_Requests;
  std::vector<std::thread> Callers;
  Callers.reserve(OrderCount);
  for (int I = 0; I < OrderCount; ++I)
    Callers.emplace_back([Killed, Key = "order-" + std::to_string(I)] {
      send(Killed, "/orders", "{}", Key);
    });
  EXPECT_TRUE(eventually([&] { return Sent() == OrderCount; }));
  TestCluster.entry(0).m_Process->signal(SIGKILL);
  const std::string Other = TestCluster.entry(1).m_Requests;
  for (int I = 0; I < OrderCount; ++I) {
    const CallResult Answer =
        send(Other, "/orders", "{}", "order-" + std::to_string(I));
    EXPECT_TRUE(Answer.m_Outcome == "unknown" || Answer.m_Outcome == "answered")
        << Answer.m_Outcome << ": " << Answer.m_Body;
  }
  for (std::thread &Each : Callers)
    Each.join();
  EXPECT_TRUE(eventually([&] {
    return counterOf(TestCluster.service(0).m_Address, "executions") +
               counterOf(TestCluster.service(1).m_Address, "executions") >=
           OrderCount;
  }));
  for (int I = 0; I < OrderCount; ++I)
    EXPECT_TRUE(eventually([&] {
      return send(Other, "/orders", "{}", "order-" + std::to_string(I))
                 .m_Outcome == "answered";
    }));
  const auto Runs = executions(TestCluster);
  EXPECT_EQ(Runs.size(), static_cast<std::size_t>(OrderCount));
  for (const auto &[Key, Count] : Runs)
    EXPECT_EQ(Count, 1) << Key;
}

TEST(RequestDrain, ALeavingAgentFinishesItsStreamsAndAcceptsNoRequests) {
  Cluster TestCluster({.m_Entries = 1, .m_Engines = 2});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", 1 << 18, 1 << 16);
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "1"));
  ASSERT_TRUE(eventually([&] {
    return upstreamsOf(TestCluster.entry(0), "chat") == 2;
  })) << TestCluster.logs();
  TestCluster.agent(0).m_Process->signal(SIGTERM);
  for (int I = 0; I < ChatCount; ++I)
    EXPECT_EQ(chat(TestCluster.entry(0).m_Requests, I).m_Outcome, "answered");
  EXPECT_EQ(TestCluster.agent(0).m_Process->waitForExit(), 0)
      << TestCluster.logs();
}

} // namespace
