#include "raw-connection.h"
#include "request-path-fixture.h"

#include <thread>

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

TEST(RequestPath, ReturnsCompleteAnswerFromBoundWeights) {
  RequestPath Path(PoolKind::Engine);
  const auto Buffered = Path.chat(false);
  ASSERT_TRUE(Buffered);
  EXPECT_EQ(Buffered->m_Status, 200u) << Buffered->m_Body;
  EXPECT_EQ(outcomeHeader(*Buffered), "answered");
  const auto Body = boost::json::parse(Buffered->m_Body);
  EXPECT_EQ(Body.at("choices").at(0).at("message").at("content").as_string(),
            Path.m_Upstreams[0]->content());
  EXPECT_EQ(Body.at("weights").as_string(), "m@1");
}

TEST(RequestPath, StreamedTokensEqualCompleteAnswer) {
  RequestPath Path(PoolKind::Engine);
  const auto Streamed = Path.chat(true);
  ASSERT_TRUE(Streamed);
  EXPECT_EQ(contentOfStream(Streamed->m_Body), Path.m_Upstreams[0]->content());
}

TEST(RequestPath, RoutesPlainServicesByPathPrefix) {
  RequestPath Path(PoolKind::Service);
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/orders/7?x=1";
  Request.m_Body = R"({"basket":1})";
  const auto Got = Path.call(Request);
  ASSERT_TRUE(Got);
  EXPECT_EQ(Got->m_Body, Request.m_Body);
  EXPECT_EQ(outcomeHeader(*Got), "answered");
  Request.m_Target = "/ordersother";
  EXPECT_EQ(outcomeHeader(*Path.call(Request)), "not-run");
  EXPECT_EQ(Path.m_Upstreams[0]->m_Runs, 1);
}

TEST(RequestPath, AddressesListThisEntryUntilItLeaves) {
  RequestPath Path(PoolKind::Engine);
  net::HttpRequest Request;
  Request.m_Target = "/v1/addresses";
  auto Body = boost::json::parse(Path.call(Request)->m_Body);
  EXPECT_EQ(Body.at("entries").as_array().size(), 1u);
  EXPECT_EQ(Body.at("validMs").to_number<int>(), 10'000);
  Path.entry().drain();
  Body = boost::json::parse(Path.call(Request)->m_Body);
  EXPECT_TRUE(Body.at("entries").as_array().empty());
}

TEST(RequestPath, LeavingEntryRefusesWithNotRun) {
  RequestPath Path(PoolKind::Engine);
  Path.entry().drain();
  const auto Got = Path.chat(false);
  ASSERT_TRUE(Got);
  EXPECT_EQ(outcomeHeader(*Got), "not-run");
  EXPECT_EQ(Path.m_Upstreams[0]->m_Runs, 0);
}

TEST(RequestPath, LeavingEntryStaysUntilAddressesExpire) {
  RequestPath Long(PoolKind::Engine, 1, 1, "", std::chrono::hours(1));
  Long.entry().drain();
  EXPECT_FALSE(Long.entry().drained());
  RequestPath Short(PoolKind::Engine, 1, 1, "", std::chrono::milliseconds(0));
  Short.entry().drain();
  EXPECT_TRUE(Short.entry().drained());
}

TEST(RequestPath, AgentRefusesWeightsItDoesNotServe) {
  RequestPath Path(PoolKind::Engine, 2);
  auto Changed = std::make_shared<ServingReport>(
      *Path.m_Agents[0]->process().m_Serving.load());
  Changed->m_Weights = {"m@2"};
  Path.m_Agents[0]->process().m_Serving.publish(Changed);
  for (int I = 0; I < 8; ++I)
    EXPECT_EQ(outcomeHeader(*Path.chat(false)), "answered");
  EXPECT_EQ(Path.m_Upstreams[0]->m_Runs, 0);
  EXPECT_EQ(Path.m_Upstreams[1]->m_Runs, 8);
}

TEST(RequestPath, RetriesInstanceThatSwitchedWeightsUnderStaleRoutes) {
  RequestPath Path(PoolKind::Engine, 1);
  Path.switchWeights(0, "m@2");
  auto Call = std::async(std::launch::async, [&] { return Path.chat(false); });
  Path.waitUntil([&] {
    return Path.m_Agents[0]->dump().at("refused").to_number<int>() > 0;
  });
  Path.publish();
  const auto Got = Call.get();
  ASSERT_TRUE(Got);
  EXPECT_EQ(outcomeHeader(*Got), "answered") << Got->m_Body;
  EXPECT_EQ(boost::json::parse(Got->m_Body).at("weights").as_string(), "m@2");
}

// The instance runs as many requests as it takes at once, the queue holds one,
// and the next must be refused immediately with a time to retry after.
TEST(RequestPath, FullQueueRefusesImmediately) {
  constexpr int AtOnce = 16;
  RequestPath Path(PoolKind::Engine, 1, 1, "",
                   RequestSettings().m_AddressLifetime, 1);
  Path.m_Upstreams[0]->m_Faults.m_Hang = true;
  std::vector<std::future<Outcome<net::HttpResponse>>> Calls;
  Calls.reserve(AtOnce + 2);
  for (int I = 0; I < AtOnce + 2; ++I)
    Calls.push_back(
        std::async(std::launch::async, [&] { return Path.chat(false); }));
  Path.waitUntil([&] {
    return std::ranges::any_of(Calls, [](auto &Each) {
      return Each.wait_for(std::chrono::seconds(0)) ==
             std::future_status::ready;
    });
  });
  Path.m_Upstreams[0]->m_Faults.m_Hang = false;
  int Refused = 0;
  for (auto &Each : Calls) {
    const auto Got = Each.get();
    ASSERT_TRUE(Got);
    if (outcomeHeader(*Got) == "answered")
      continue;
    ++Refused;
    EXPECT_EQ(Got->m_Status, 429u) << Got->m_Body;
    EXPECT_EQ(outcomeHeader(*Got), "not-run");
    EXPECT_NE(Got->m_Headers.find(daemon::header::RetryAfterMs), "");
  }
  EXPECT_EQ(Refused, 1);
  EXPECT_EQ(Path.m_Upstreams[0]->m_Runs, AtOnce + 1);
}

// A broken stream of which nothing has reached the caller may restart on other
// weights.
TEST(RequestPath, RestartsOnOtherWeightsBeforeDelivery) {
  RequestPath Path(PoolKind::Engine, 2);
  Path.switchWeights(1, "m@2");
  Path.publish();
  for (int I = 0; I < 8; ++I) {
    Path.m_Upstreams[0]->m_Faults.m_AbortAfterTokens = 3;
    const auto Got = Path.chat(false);
    ASSERT_TRUE(Got);
    ASSERT_EQ(outcomeHeader(*Got), "answered") << Got->m_Body;
    const auto Body = boost::json::parse(Got->m_Body);
    EXPECT_EQ(Body.at("weights").as_string(), "m@2");
    EXPECT_EQ(Body.at("choices").at(0).at("message").at("content").as_string(),
              Path.m_Upstreams[1]->content());
  }
}

/// One upstream runs each request and loses the answer; the agent of the other
/// refuses. Whichever is tried last, a request that ran must not be reported as
/// not-run.
void expectNotRunOnlyIfNothingRan(
    RequestPath &Path,
    const std::function<Outcome<net::HttpResponse>()> &SendOne) {
  auto Changed = std::make_shared<ServingReport>(
      *Path.m_Agents[1]->process().m_Serving.load());
  Changed->m_Ready = false;
  Path.m_Agents[1]->process().m_Serving.publish(Changed);
  int Ran = 0;
  for (int I = 0; I < 8; ++I) {
    const int Before = Path.m_Upstreams[0]->m_Runs;
    const std::string Reported = outcomeHeader(*SendOne());
    const int Runs = Path.m_Upstreams[0]->m_Runs - Before;
    EXPECT_EQ(Reported, Runs > 0 ? "unknown" : "not-run") << "request " << I;
    Ran += Runs;
  }
  EXPECT_GT(Ran, 0);
  EXPECT_EQ(Path.m_Upstreams[1]->m_Runs, 0);
}

TEST(RequestPath, ReportsUnknownIfEarlierAttemptMayHaveRun) {
  RequestPath Path(PoolKind::Engine, 2);
  Path.m_Upstreams[0]->m_Faults.m_WrongId = true;
  expectNotRunOnlyIfNothingRan(Path, [&] { return Path.chat(false); });
}

TEST(RequestPath, ReportsUnknownIfServiceMayHaveRunRequest) {
  RequestPath Path(PoolKind::Service, 2);
  Path.m_Upstreams[0]->m_Faults.m_AbortAfterRun = true;
  net::HttpRequest Request;
  Request.m_Target = "/orders/7";
  expectNotRunOnlyIfNothingRan(Path, [&] { return Path.call(Request); });
}

TEST(RequestPath, ResumedStreamHasNoDuplicateOrMissingTokens) {
  for (const int BreakAt : {0, 1, 5, 7}) {
    RequestPath Path(PoolKind::Engine, 2);
    for (auto &Each : Path.m_Upstreams)
      Each->m_Faults.m_AbortAfterTokens = BreakAt;
    // If both upstreams broke, none would be left to resume on.
    Path.m_Upstreams[1]->m_Faults.m_AbortAfterTokens = -1;
    for (int I = 0; I < 4; ++I)
      EXPECT_EQ(contentOfStream(Path.chat(true)->m_Body),
                Path.m_Upstreams[0]->content())
          << "broken at " << BreakAt;
  }
}

TEST(RequestPath, NeverForwardsMixedWeights) {
  RequestPath Path(PoolKind::Engine, 1);
  Path.m_Upstreams[0]->m_Faults.m_MixWeightsAfterTokens = 3;
  const auto Buffered = Path.chat(false);
  EXPECT_EQ(outcomeHeader(*Buffered), "unknown");
  const auto Streamed = Path.chat(true);
  ASSERT_TRUE(Streamed);
  EXPECT_EQ(contentOfStream(Streamed->m_Body), "");
  EXPECT_EQ(Streamed->m_Body.find(std::string(64, '0')), std::string::npos);
  EXPECT_NE(Streamed->m_Body.find("\"outcome\":\"unknown\""),
            std::string::npos);
}

TEST(RequestPath, NeverForwardsAnswerOfAnotherRequest) {
  RequestPath Path(PoolKind::Engine, 1);
  Path.m_Upstreams[0]->m_Faults.m_WrongId = true;
  EXPECT_EQ(outcomeHeader(*Path.chat(false)), "unknown");
}

TEST(RequestPath, CancelsWhenCallerDisconnects) {
  RequestPath Path(PoolKind::Engine, 1);
  Path.m_Upstreams[0]->m_Faults.m_TokenDelayMs = 50;
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/v1/chat/completions";
  Request.m_Body = R"({"model":"m","stream":true,"messages":[]})";
  asio::io_context Io;
  net::HttpClient Client;
  auto Body = [&]() -> asio::awaitable<void> {
    auto Stream = co_await Client.open(Path.entry().address(), Request);
    co_await (*Stream)->read();
  };
  asio::co_spawn(Io, Body, asio::detached);
  Io.run();
  RequestPath::waitUntil([&] { return Path.m_Upstreams[0]->m_Cancels > 0; });
  RequestPath::waitUntil(
      [&] { return Path.m_Agents[0]->process().m_InFlight == 0; });
}

TEST(RequestPath, CancelsWhenCallerDisconnectsBeforeFirstByte) {
  RequestPath Path(PoolKind::Engine, 1);
  Path.m_Upstreams[0]->m_Faults.m_Hang = true;
  RawConnection Caller(Path.entry().address());
  Caller.send(rawChatRequest("", 8, true));
  RequestPath::waitUntil(
      [&] { return Path.m_Agents[0]->process().m_InFlight == 1; });
  Caller.close();
  RequestPath::waitUntil(
      [&] { return Path.entry().dump().at("open").to_number<int>() == 0; });
  RequestPath::waitUntil(
      [&] { return Path.m_Agents[0]->process().m_InFlight == 0; });
  RequestPath::waitUntil([&] { return Path.m_Upstreams[0]->m_Cancels > 0; });
  EXPECT_EQ(Path.m_Upstreams[0]->m_Runs, 0);
}

TEST(RequestPath, HalfClosedCallerGetsCompleteAnswer) {
  for (const bool Stream : {false, true}) {
    RequestPath Path(PoolKind::Engine, 1);
    FakeUpstream &Upstream = *Path.m_Upstreams[0];
    Upstream.m_Faults.m_Hang = true;
    RawConnection Caller(Path.entry().address());
    Caller.send(rawChatRequest("half ", 8, Stream));
    Caller.closeSending();
    EXPECT_NE(Caller.readUntil("HTTP/1.1 100 Continue\r\n\r\n"), "");
    Upstream.m_Faults.m_Hang = false;
    const std::string Read = Caller.readToEnd();
    const std::string Content = Upstream.content("half ");
    EXPECT_TRUE(Stream ? contentOfStream(bodyOfChunks(Read)) == Content
                       : Read.find(Content) != std::string::npos)
        << Read;
    EXPECT_EQ(Upstream.m_Cancels, 0);
  }
}

TEST(RequestPath, SlowReaderDoesNotDelayOtherCallers) {
  RequestPath Path(PoolKind::Engine, 1);
  const FakeUpstream &Upstream = *Path.m_Upstreams[0];
  RawConnection Slow(Path.entry().address(), 2048);
  Slow.send(rawChatRequest("slow ", 8, true));
  std::string Read;
  while (!Read.ends_with("\r\n0\r\n\r\n")) {
    ASSERT_TRUE(Slow.readByte(Read)) << Read;
    if (Read.size() % 256 == 0) {
      EXPECT_EQ(contentOfStream(Path.chat(true)->m_Body), Upstream.content());
    }
  }
  EXPECT_EQ(contentOfStream(bodyOfChunks(Read)), Upstream.content("slow "));
}

// The answer exceeds what all socket buffers on the path can hold, so without
// back-pressure it would accumulate in memory.
TEST(RequestPath, BackpressureReachesUpstreamOfStalledReader) {
  constexpr int Tokens = 400'000;
  RequestPath Path(PoolKind::Engine, 1);
  const FakeUpstream &Upstream = *Path.m_Upstreams[0];
  RawConnection Stuck(Path.entry().address(), 2048);
  Stuck.send(rawChatRequest("stuck ", Tokens, true));
  int WrittenForOthers = 0;
  const auto Written = [&] {
    return Upstream.m_TokensWritten - WrittenForOthers;
  };
  int Before = -1;
  while (Written() != Before && Before < Tokens) {
    Before = Written();
    // If the stuck stream still made progress, it would write more tokens while
    // these requests run.
    for (int I = 0; I < 50; ++I) {
      ASSERT_EQ(contentOfStream(Path.chat(true)->m_Body), Upstream.content());
      WrittenForOthers += FakeUpstream::DefaultTokens;
    }
  }
  EXPECT_LT(Written(), Tokens);
}

// On a reused connection, a late answer could be taken as the answer to the
// next request.
TEST(RequestPath, LateAnswerNeverReachesAnotherCaller) {
  RequestPath Path(PoolKind::Engine, 2);
  Path.m_Upstreams[0]->m_Faults.m_AnswersPreviousRequest = true;
  for (int I = 0; I < 12; ++I) {
    const std::string User = "user-" + std::to_string(I) + " ";
    net::HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Target = "/v1/chat/completions";
    Request.m_Body = boost::json::serialize(
        boost::json::object{{"model", "chat"},
                            {"stream", true},
                            {"user", User},
                            {"messages", boost::json::array{User}}});
    const auto Got = Path.call(std::move(Request));
    ASSERT_TRUE(Got);
    const std::string Content = contentOfStream(Got->m_Body);
    EXPECT_EQ(Content, Path.m_Upstreams[0]->content(User));
  }
  EXPECT_GT(Path.m_Upstreams[0]->m_Runs, 0);
}

TEST(RequestPath, RefusesInvalidInputWithoutCallingUpstream) {
  RequestPath Path(PoolKind::Engine, 1);
  const std::vector<std::string> Bodies{"",
                                        "[]",
                                        "{",
                                        R"({"model":7})",
                                        R"({"model":"other"})",
                                        R"({"model":"m","resume_from":3})"};
  for (const std::string &Body : Bodies) {
    net::HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Target = "/v1/chat/completions";
    Request.m_Body = Body;
    const auto Got = Path.call(Request);
    ASSERT_TRUE(Got) << Body;
    EXPECT_EQ(outcomeHeader(*Got), "not-run") << Body;
    EXPECT_GE(Got->m_Status, 400u);
  }
  net::HttpHeaders Headers;
  Headers.add("X-Priority", "highest");
  EXPECT_EQ(Path.chat(false, Headers)->m_Status, 400u);
  EXPECT_EQ(Path.m_Upstreams[0]->m_Runs, 0);
}

} // namespace
