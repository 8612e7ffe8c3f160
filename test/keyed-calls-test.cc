#include "harness.h"
#include "request-path-fixture.h"

#include <thread>

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

/// Entries and agents run in the test process, the platform in a child process.
class KeyedCalls : public testing::Test {
protected:
  void SetUp() override {
    m_Platform.emplace(
        "deckpitch-standins",
        std::vector<std::string>{"--kind=platform", "--listen=127.0.0.1:0"});
    const auto Announced = m_Platform->announcement();
    ASSERT_TRUE(Announced.contains("address"));
    m_Address = Announced.at("address").as_string().c_str();
  }

  static net::HttpRequest order(const std::string &Key) {
    net::HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Target = "/orders";
    Request.m_Body = R"({"basket":7})";
    Request.m_Headers.add(daemon::header::IdempotencyKey, Key);
    return Request;
  }

  static int runs(const RequestPath &Path) {
    int Sum = 0;
    for (const auto &Each : Path.m_Upstreams)
      Sum += Each->m_Runs;
    return Sum;
  }

  std::optional<Child> m_Platform;
  std::string m_Address;
};

TEST_F(KeyedCalls, RepeatAtAnotherEntryGetsStoredAnswer) {
  RequestPath Path(PoolKind::Service, 2, 2, m_Address);
  const auto First = Path.call(order("a"), 0);
  ASSERT_TRUE(First);
  EXPECT_EQ(outcomeHeader(*First), "answered") << First->m_Body;
  for (int I = 0; I < 4; ++I) {
    const auto Again = Path.call(order("a"), I % 2);
    EXPECT_EQ(outcomeHeader(*Again), "answered") << Again->m_Body;
    EXPECT_EQ(Again->m_Headers.find(daemon::header::Replayed), "true");
    EXPECT_EQ(Again->m_Body, First->m_Body);
  }
  EXPECT_EQ(runs(Path), 1);
}

TEST_F(KeyedCalls, ConcurrentCallersRunOnce) {
  RequestPath Path(PoolKind::Service, 3, 3, m_Address);
  for (auto &Each : Path.m_Upstreams)
    Each->m_Faults.m_RunMs = 20;
  std::atomic<int> Answered{0};
  std::vector<std::thread> Callers;
  Callers.reserve(12);
  for (int I = 0; I < 12; ++I)
    Callers.emplace_back([&, I] {
      const auto Got = Path.call(order("same"), I % 3);
      Answered += Got && outcomeHeader(*Got) == "answered" ? 1 : 0;
    });
  for (std::thread &Each : Callers)
    Each.join();
  EXPECT_EQ(runs(Path), 1);
  EXPECT_GE(Answered, 1);
}

TEST_F(KeyedCalls, LostAnswerIsUnknownAndNotRunAgain) {
  RequestPath Path(PoolKind::Service, 2, 2, m_Address);
  for (auto &Each : Path.m_Upstreams)
    Each->m_Faults.m_AbortAfterRun = true;
  EXPECT_EQ(outcomeHeader(*Path.call(order("a"), 0)), "unknown");
  for (auto &Each : Path.m_Upstreams)
    Each->m_Faults.m_AbortAfterRun = false;
  EXPECT_EQ(outcomeHeader(*Path.call(order("a"), 1)), "unknown");
  EXPECT_EQ(runs(Path), 1);
}

TEST_F(KeyedCalls, RefusedWithoutRunDuringPlatformOutage) {
  RequestPath Path(PoolKind::Service, 1, 1, m_Address);
  ASSERT_EQ(outcomeHeader(*Path.call(order("a"))), "answered");
  ASSERT_TRUE(setFaults(m_Address, R"({"outage":true})"));
  for (const char *Key : {"b", "c"}) {
    const auto Got = Path.call(order(Key));
    EXPECT_EQ(outcomeHeader(*Got), "not-run") << Got->m_Body;
    EXPECT_FALSE(Got->m_Headers.find(daemon::header::RetryAfterMs).empty());
  }
  EXPECT_EQ(outcomeHeader(*Path.call(order("a"))), "answered");
  EXPECT_EQ(runs(Path), 1);
  ASSERT_TRUE(setFaults(m_Address, "{}"));
  ASSERT_TRUE(eventually(
      [&] { return outcomeHeader(*Path.call(order("b"))) == "answered"; }));
  EXPECT_EQ(runs(Path), 2);
}

TEST_F(KeyedCalls, ClaimWithLostAnswerIsReadBack) {
  RequestPath Path(PoolKind::Service, 1, 1, m_Address);
  ASSERT_TRUE(setFaults(m_Address, R"({"loseAnswers":1})"));
  const auto Got = Path.call(order("a"));
  EXPECT_EQ(outcomeHeader(*Got), "answered") << Got->m_Body;
  EXPECT_EQ(runs(Path), 1);
}

TEST_F(KeyedCalls, TriesAnotherInstanceWhenAgentRefuses) {
  RequestPath Path(PoolKind::Service, 2, 1, m_Address);
  Path.m_Agents[0]->drain();
  for (int I = 0; I < 6; ++I) {
    const auto Got = Path.call(order("k" + std::to_string(I)));
    EXPECT_EQ(outcomeHeader(*Got), "answered") << Got->m_Body;
  }
  EXPECT_EQ(Path.m_Upstreams[0]->m_Runs, 0);
  EXPECT_EQ(Path.m_Upstreams[1]->m_Runs, 6);
}

TEST_F(KeyedCalls, RunsOnceWithoutRetryIfKeyIsMissing) {
  RequestPath Path(PoolKind::Service, 3, 1, m_Address);
  for (auto &Each : Path.m_Upstreams)
    Each->m_Faults.m_AbortAfterRun = true;
  net::HttpRequest Request = order("");
  EXPECT_EQ(outcomeHeader(*Path.call(Request)), "unknown");
  EXPECT_EQ(runs(Path), 1);
}

} // namespace
