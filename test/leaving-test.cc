// Tests that a leaving process completes its requests and gets no new ones
// under continuous load, whichever notice it receives: the mark in the instance
// list, SIGTERM or an operator's drain.
#include "cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace deckpitch;
using namespace deckpitch::test;

namespace json = boost::json;

namespace {

constexpr int LongTokens = 40;
constexpr int ShortTokens = 2;
constexpr int LongChatCount = 9;
constexpr int LaterRequestCount = 12;
constexpr const char *SlowTokens = R"({"delayTokenMs":100})";

std::string chat(const std::string &Entry, int Prompt, int Tokens) {
  const json::object Message{{"role", "user"},
                             {"content", "prompt " + std::to_string(Prompt)}};
  const json::object Body{{"model", "chat"},
                          {"max_tokens", Tokens},
                          {"messages", json::array{Message}}};
  net::HttpHeaders Headers;
  Headers.add("X-Deadline-Ms", "30000");
  const auto Response = call(Entry, "POST", "/v1/chat/completions",
                             json::serialize(Body), Headers);
  if (!Response || Response->m_Headers.find("X-Outcome") != "answered")
    return {};
  const json::value Answer = jsonOf(Response);
  return Answer.at("choices")
      .at(0)
      .at("message")
      .at("content")
      .as_string()
      .c_str();
}

/// Returns the dump of a module or of the whole process; null if the process
/// does not answer.
json::value dumpOf(const Node &Of, const char *Module = nullptr) {
  json::value Dump = jsonOf(call(Of.m_Operator, "GET", "/v1/dump"));
  if (!Dump.is_object() || !Module)
    return Dump;
  return Dump.at("modules").at(Module);
}

std::string memberStateAt(const Node &Entry, const std::string &Instance) {
  const json::value Dump = dumpOf(Entry, "membership");
  if (!Dump.is_object())
    return {};
  const auto *Found = Dump.at("members").as_object().if_contains(Instance);
  return Found ? Found->at("state").as_string().c_str() : "";
}

std::size_t upstreamsOf(const Node &Entry) {
  const json::value Dump = dumpOf(Entry, "requests");
  if (!Dump.is_object())
    return 0;
  const auto *Found = Dump.at("pools").as_object().if_contains("chat");
  return Found ? Found->as_object().size() : 0;
}

bool isLeaving(Node &Which) {
  if (!Which.m_Process->running())
    return true;
  const json::value Dump = dumpOf(Which);
  return Dump.is_object() && Dump.at("leaving").as_bool();
}

bool markAsLeaving(Cluster &TestCluster, const std::string &Instance) {
  const json::object Item{{"name", Instance},
                          {"address", "127.0.0.1:1"},
                          {"dataCentre", "lahore"},
                          {"state", "leaving"}};
  const json::object List{{"items", json::array{Item}}};
  return statusOf(call(TestCluster.platform(), "PUT", "/_standin/instances",
                       json::serialize(List))) == 200;
}

/// Sends short requests to the entries in turn until stopped.
class BackgroundTraffic {
public:
  explicit BackgroundTraffic(Cluster &TestCluster)
      : m_Thread([&TestCluster, this] { run(TestCluster); }) {}
  ~BackgroundTraffic() { stop(); }

  void stop() {
    m_Stop = true;
    if (m_Thread.joinable())
      m_Thread.join();
  }
  int sent() const { return m_Sent; }
  int answered() const { return m_Answered; }

private:
  void run(Cluster &TestCluster) {
    while (!m_Stop) {
      const std::size_t Entry =
          static_cast<std::size_t>(m_Sent) % TestCluster.entries();
      const std::string Content =
          chat(TestCluster.entry(Entry).m_Requests, m_Sent, ShortTokens);
      ++m_Sent;
      m_Answered += Content.empty() ? 0 : 1;
    }
  }

  std::atomic<bool> m_Stop{false};
  std::atomic<int> m_Sent{0};
  std::atomic<int> m_Answered{0};
  std::thread m_Thread;
};

struct Notice {
  const char *m_Name;
  std::function<void(Cluster &)> m_Deliver; ///< notifies agent 0
};

void PrintTo(const Notice &Row, std::ostream *Out) { *Out << Row.m_Name; }

class Leaving : public testing::TestWithParam<Notice> {
protected:
  void SetUp() override {
    ASSERT_TRUE(m_Cluster.start()) << m_Cluster.failure();
    m_Cluster.addWeights("m@1", 1 << 18, 1 << 16);
    ASSERT_TRUE(m_Cluster.declarePool("chat", "m", "1"));
    ASSERT_TRUE(awaitUpstreams()) << m_Cluster.logs();
    m_Expected = longAnswers(LongChatCount);
    ASSERT_EQ(std::count(m_Expected.begin(), m_Expected.end(), ""), 0);
    for (std::size_t I = 0; I < m_Cluster.engines(); ++I)
      ASSERT_TRUE(setFaults(m_Cluster.engine(I).m_Address, SlowTokens));
  }

  bool awaitUpstreams() {
    return eventually([&] {
      return upstreamsOf(m_Cluster.entry(0)) == m_Cluster.engines() &&
             upstreamsOf(m_Cluster.entry(1)) == m_Cluster.engines();
    });
  }

  std::vector<std::string> longAnswers(int Count) {
    std::vector<std::string> Out(static_cast<std::size_t>(Count));
    std::vector<std::thread> Callers;
    for (std::size_t I = 0; I < Out.size(); ++I)
      Callers.emplace_back([&, I] {
        Out[I] = chat(m_Cluster.entry(I % 2).m_Requests, static_cast<int>(I),
                      LongTokens);
      });
    for (std::thread &Each : Callers)
      Each.join();
    return Out;
  }

  std::uint64_t counter(const char *Name) {
    return counterOf(m_Cluster.engine(0).m_Address, Name);
  }

  bool awaitLeavingEverywhere() {
    return eventually([&] {
      for (std::size_t I = 0; I < m_Cluster.entries(); ++I) {
        const std::string State = memberStateAt(m_Cluster.entry(I), "agent-0");
        if (State != "leaving" && State != "gone")
          return false;
      }
      return isLeaving(m_Cluster.agent(0));
    });
  }

  Cluster m_Cluster{{.m_Entries = 2, .m_Engines = 3}};
  std::vector<std::string> m_Expected;
};

TEST_P(Leaving, FinishesRunningRequestsAndAcceptsNoNewOnes) {
  const std::uint64_t Before = counter("requests");
  std::vector<std::string> Long;
  std::thread Callers([&] { Long = longAnswers(LongChatCount); });
  BackgroundTraffic Traffic(m_Cluster);
  EXPECT_TRUE(eventually([&] { return counter("requests") > Before + 1; }));
  GetParam().m_Deliver(m_Cluster);
  EXPECT_TRUE(awaitLeavingEverywhere()) << m_Cluster.logs();
  const std::uint64_t Accepted = counter("requests");
  const int Sent = Traffic.sent();
  EXPECT_TRUE(
      eventually([&] { return Traffic.sent() >= Sent + LaterRequestCount; }));
  EXPECT_EQ(counter("requests"), Accepted);
  Traffic.stop();
  Callers.join();
  EXPECT_EQ(Traffic.answered(), Traffic.sent());
  EXPECT_EQ(Long, m_Expected);
  EXPECT_EQ(m_Cluster.agent(0).m_Process->waitForExit(), 0) << m_Cluster.logs();
  EXPECT_EQ(counter("completed"), counter("requests"));
  EXPECT_EQ(counter("stopped"), 0U);
}

void drain(Cluster &TestCluster) {
  EXPECT_EQ(
      statusOf(call(TestCluster.agent(0).m_Operator, "POST", "/v1/drain")),
      202U);
}

INSTANTIATE_TEST_SUITE_P(
    Notices, Leaving,
    testing::Values(Notice{"MarkAlone",
                           [](Cluster &TestCluster) {
                             EXPECT_TRUE(markAsLeaving(TestCluster, "agent-0"));
                           }},
                    Notice{"MarkAloneAndLate",
                           [](Cluster &TestCluster) {
                             EXPECT_TRUE(
                                 setFaults(TestCluster.platform(),
                                           R"({"instanceListLagMs":1500})"));
                             EXPECT_TRUE(markAsLeaving(TestCluster, "agent-0"));
                           }},
                    Notice{"SignalAlone",
                           [](Cluster &TestCluster) {
                             TestCluster.agent(0).m_Process->signal(SIGTERM);
                           }},
                    Notice{"SignalAloneWhileThePlatformIsDown",
                           [](Cluster &TestCluster) {
                             EXPECT_TRUE(setFaults(TestCluster.platform(),
                                                   R"({"outage":true})"));
                             TestCluster.agent(0).m_Process->signal(SIGTERM);
                           }},
                    Notice{"OperatorAlone", drain},
                    Notice{"AllThree",
                           [](Cluster &TestCluster) {
                             EXPECT_TRUE(markAsLeaving(TestCluster, "agent-0"));
                             drain(TestCluster);
                             TestCluster.agent(0).m_Process->signal(SIGTERM);
                           }}),
    [](const auto &Info) { return Info.param.m_Name; });

TEST_F(Leaving, AMarkOfAnEarlierIncarnationDoesNotDrainTheNext) {
  ASSERT_TRUE(markAsLeaving(m_Cluster, "agent-0"));
  ASSERT_EQ(m_Cluster.agent(0).m_Process->waitForExit(), 0);
  ASSERT_TRUE(m_Cluster.restart(m_Cluster.agent(0))) << m_Cluster.failure();
  ASSERT_TRUE(awaitUpstreams()) << m_Cluster.logs();
  // The list still has the mark; reading it again must not start a drain.
  const std::uint64_t Reads = counterOf(m_Cluster.platform(), "instances");
  ASSERT_TRUE(eventually([&] {
    return counterOf(m_Cluster.platform(), "instances") >= Reads + 2;
  }));
  EXPECT_FALSE(isLeaving(m_Cluster.agent(0)));
  EXPECT_EQ(memberStateAt(m_Cluster.entry(0), "agent-0"), "alive");
}

bool listsAddressOf(const Node &By, const Node &Which) {
  const json::value Answer =
      jsonOf(call(By.m_Requests, "GET", "/v1/addresses"));
  return json::serialize(Answer).find(Which.m_Requests) != std::string::npos;
}

/// Of the two entries, only one watches the platform and reads its own mark.
class LeavingEntry : public testing::TestWithParam<std::size_t> {};

TEST_P(LeavingEntry, AMarkAloneDrainsIt) {
  Cluster TestCluster({.m_Entries = 2, .m_Engines = 1});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  Node &Which = TestCluster.entry(GetParam());
  const Node &Other = TestCluster.entry(1 - GetParam());
  ASSERT_TRUE(eventually([&] { return listsAddressOf(Other, Which); }));
  ASSERT_TRUE(markAsLeaving(TestCluster, Which.m_Instance));
  EXPECT_TRUE(eventually([&] { return isLeaving(Which); }))
      << TestCluster.logs();
  EXPECT_TRUE(eventually([&] { return !listsAddressOf(Other, Which); }));
  EXPECT_EQ(Which.m_Process->waitForExit(), 0) << TestCluster.logs();
  EXPECT_FALSE(isLeaving(TestCluster.entry(1 - GetParam())));
}

INSTANTIATE_TEST_SUITE_P(Entries, LeavingEntry, testing::Values(0U, 1U));

} // namespace
