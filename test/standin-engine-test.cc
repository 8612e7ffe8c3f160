#include "deckpitch/manifest.h"
#include "harness.h"
#include "load/chat-client.h"
#include "standins/content.h"
#include "standins/token.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <future>

using namespace deckpitch;
using namespace deckpitch::test;
using load::ChatAnswer;
using load::ChatRequest;
using load::Verdict;

namespace json = boost::json;

namespace {

constexpr std::uint32_t ChunkBytes = 64;
constexpr std::uint64_t ContentSize = 150;
constexpr std::uint32_t ManyTokens = 1000;

Digest digestOfText(const std::string &Text) {
  return digestOf(
      {reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size()});
}

std::string chunkContent(std::uint64_t Seed, std::uint32_t Index) {
  const std::uint64_t Offset = std::uint64_t{Index} * ChunkBytes;
  return standins::contentBytes(
      Seed, Offset, std::min<std::uint64_t>(ChunkBytes, ContentSize - Offset));
}

Manifest manifestOf(const std::string &Weights, std::uint64_t Seed) {
  Manifest Out{.m_Weights = {Weights},
               .m_Bytes = ContentSize,
               .m_ChunkBytes = ChunkBytes};
  for (std::uint32_t I = 0; I < 3; ++I)
    Out.m_Chunks.push_back(digestOfText(chunkContent(Seed, I)));
  Out.m_Whole = wholeDigest(Out.m_Chunks);
  return Out;
}

class EngineContract : public testing::Test {
protected:
  void startEngine(std::vector<std::string> Flags) {
    Flags.insert(Flags.begin(), {"--kind=engine", "--engines=1"});
    m_Process.emplace("deckpitch-standins", Flags);
    m_Address = m_Process->announcement().at("address").as_string().c_str();
  }

  unsigned stage(const std::string &Weights, std::uint32_t Index,
                 const std::string &Bytes) {
    return statusOf(call(m_Address, "PUT",
                         "/v1/engine/staging/" + Weights + "/chunks/" +
                             std::to_string(Index),
                         Bytes));
  }

  Outcome<net::HttpResponse> order(const std::string &Name,
                                   const std::string &Weights,
                                   std::uint64_t Fence,
                                   std::uint64_t Seed = 0) {
    json::object Order{{"order", Name}, {"fence", Fence}, {"weights", Weights}};
    if (Name == "load")
      Order["manifest"] =
          json::parse(formatManifest(manifestOf(Weights, Seed)));
    return call(m_Address, "POST", "/v1/engine/orders", json::serialize(Order));
  }

  /// Stages all chunks of the weights, then loads and activates them.
  void stageAndActivate(const std::string &Weights, std::uint64_t Seed) {
    for (std::uint32_t I = 0; I < 3; ++I)
      ASSERT_EQ(stage(Weights, I, chunkContent(Seed, I)), 204U);
    ASSERT_EQ(statusOf(order("load", Weights, 1, Seed)), 200U);
    ASSERT_EQ(statusOf(order("activate", Weights, 1)), 200U);
  }

  ChatRequest request(const std::string &Id, std::uint32_t Tokens = 16) {
    ChatRequest Out;
    Out.m_Model = "m";
    Out.m_Prompt = "hello " + Id;
    Out.m_Tokens = Tokens;
    Out.m_Priority = "1";
    Out.m_Headers.add("X-Request-Id", Id);
    return Out;
  }

  std::future<ChatAnswer> requestAsync(ChatRequest Request) {
    return std::async(std::launch::async, [this, Request] {
      return load::requestCompletionAndWait(m_Address, Request);
    });
  }

  json::value status() {
    return jsonOf(call(m_Address, "GET", "/v1/engine/status"));
  }

  bool loadBecomes(std::string_view Key, std::int64_t Count) {
    return eventually([&] {
      const json::value Now = status();
      return Now.is_object() &&
             Now.at("load").at(Key).to_number<std::int64_t>() == Count;
    });
  }

  bool wasExecuted(const std::string &Key) {
    const auto Listed = call(m_Address, "GET", "/_standin/executions");
    return Listed &&
           Listed->m_Body.find("\"" + Key + "\"") != std::string::npos;
  }

  std::optional<Child> m_Process;
  std::string m_Address;
};

TEST_F(EngineContract, RejectsALoadWithMissingOrWrongChunks) {
  startEngine({});
  ASSERT_EQ(stage("m@1", 0, chunkContent(7, 0)), 204U);
  ASSERT_EQ(stage("m@1", 1, chunkContent(8, 1)), 204U);
  const auto Refused = order("load", "m@1", 1, 7);
  EXPECT_EQ(statusOf(Refused), 422U);
  EXPECT_EQ(jsonOf(Refused).at("chunks"), (json::array{1, 2}));
  EXPECT_EQ(statusOf(order("activate", "m@1", 1)), 404U);
  EXPECT_EQ(load::requestCompletionAndWait(m_Address, request("a")).m_Status,
            503U);
  ASSERT_EQ(stage("m@1", 1, chunkContent(7, 1)), 204U);
  ASSERT_EQ(stage("m@1", 2, chunkContent(7, 2)), 204U);
  EXPECT_EQ(statusOf(order("load", "m@1", 1, 7)), 200U);
}

TEST_F(EngineContract, ServesStagedChunksUntilTheyAreDropped) {
  startEngine({"--staging_bytes=100"});
  ASSERT_EQ(stage("m@1", 0, chunkContent(7, 0)), 204U);
  EXPECT_EQ(stage("m@1", 1, chunkContent(7, 1)), 507U);
  const std::string Target = "/v1/engine/staging/m@1/chunks/0";
  EXPECT_EQ(call(m_Address, "GET", Target)->m_Body, chunkContent(7, 0));
  EXPECT_EQ(statusOf(call(m_Address, "DELETE", "/v1/engine/staging/m@1")),
            204U);
  EXPECT_EQ(statusOf(call(m_Address, "GET", Target)), 404U);
  EXPECT_EQ(stage("m@1", 1, chunkContent(7, 1)), 204U);
}

TEST_F(EngineContract, RunningRequestKeepsItsWeightsAcrossActivation) {
  startEngine({"--slots=2"});
  stageAndActivate("m@1", 7);
  ASSERT_TRUE(setFaults(m_Address, R"({"delayTokenMs":20})"));
  auto Old = requestAsync(request("old", 100));
  ASSERT_TRUE(loadBecomes("running", 1));
  stageAndActivate("m@2", 8);
  EXPECT_EQ(statusOf(order("unload", "m@1", 2)), 409U);
  ASSERT_TRUE(setFaults(m_Address, "{}"));
  const ChatAnswer New =
      load::requestCompletionAndWait(m_Address, request("new"));
  EXPECT_EQ(New.m_Verdict, Verdict::Whole) << New.m_Detail;
  EXPECT_EQ(New.m_Digest, toHex(manifestOf("m@2", 8).m_Whole));
  const ChatAnswer Kept = Old.get();
  EXPECT_EQ(Kept.m_Verdict, Verdict::Whole) << Kept.m_Detail;
  EXPECT_EQ(Kept.m_Digest, toHex(manifestOf("m@1", 7).m_Whole));
  EXPECT_EQ(statusOf(order("unload", "m@1", 2)), 200U);
}

TEST_F(EngineContract, RejectsRequestsForInactiveWeights) {
  startEngine({});
  stageAndActivate("m@1", 7);
  ChatRequest Other = request("a");
  Other.m_Headers.add("X-Weights", "m@2");
  EXPECT_EQ(load::requestCompletionAndWait(m_Address, Other).m_Status, 409U);
  EXPECT_FALSE(wasExecuted("a"));
}

struct FencingRow {
  const char *m_Flag;
  unsigned m_Status;
};

TEST_F(EngineContract, RejectsStaleFencingNumbersOnlyWhenStrict) {
  for (const FencingRow &Row : {FencingRow{"--strict_fencing=true", 409},
                                FencingRow{"--strict_fencing=false", 200}}) {
    SCOPED_TRACE(Row.m_Flag);
    startEngine({Row.m_Flag, "--slots=2"});
    stageAndActivate("m@1", 7);
    ASSERT_EQ(statusOf(order("activate", "m@1", 5)), 200U);
    EXPECT_EQ(statusOf(order("activate", "m@1", 4)), Row.m_Status);
    EXPECT_EQ(statusOf(order("activate", "m@1", 5)), 200U);
  }
}

TEST_F(EngineContract, RejectsALoadWithoutAFreeSlot) {
  startEngine({"--slots=1"});
  stageAndActivate("m@1", 7);
  for (std::uint32_t I = 0; I < 3; ++I)
    ASSERT_EQ(stage("m@2", I, chunkContent(8, I)), 204U);
  EXPECT_EQ(statusOf(order("load", "m@2", 1, 8)), 507U);
  EXPECT_EQ(statusOf(order("unload", "m@1", 1)), 200U);
  EXPECT_EQ(statusOf(order("load", "m@2", 1, 8)), 200U);
}

TEST_F(EngineContract, ResumesABrokenStream) {
  startEngine({});
  stageAndActivate("m@1", 7);
  ASSERT_TRUE(setFaults(m_Address, R"({"breakAfterTokens":5})"));
  const ChatAnswer Truncated =
      load::requestCompletionAndWait(m_Address, request("a"));
  EXPECT_EQ(Truncated.m_Verdict, Verdict::Broken);
  EXPECT_EQ(Truncated.m_Tokens, 5U);
  ASSERT_TRUE(setFaults(m_Address, "{}"));
  ChatRequest Remainder = request("a");
  Remainder.m_ResumeFrom = Truncated.m_Tokens;
  const ChatAnswer Resumed =
      load::requestCompletionAndWait(m_Address, Remainder);
  EXPECT_EQ(Resumed.m_Verdict, Verdict::Whole) << Resumed.m_Detail;
  EXPECT_EQ(Resumed.m_Tokens, 11U);
}

TEST_F(EngineContract, RunsByPriorityAndCancelsWaitingRequests) {
  startEngine({"--concurrency=1"});
  stageAndActivate("m@1", 7);
  ASSERT_TRUE(setFaults(m_Address, R"({"delayTokenMs":3600000})"));
  auto First = requestAsync(request("first", ManyTokens));
  ASSERT_TRUE(loadBecomes("running", 1));
  auto Low = requestAsync(request("low", ManyTokens));
  ASSERT_TRUE(loadBecomes("waiting", 1));
  ChatRequest UrgentRequest = request("urgent", ManyTokens);
  UrgentRequest.m_Priority = "0";
  auto Urgent = requestAsync(UrgentRequest);
  ASSERT_TRUE(loadBecomes("waiting", 2));
  call(m_Address, "DELETE", "/v1/requests/first");
  EXPECT_EQ(First.get().m_Verdict, Verdict::Broken);
  EXPECT_TRUE(eventually([&] { return wasExecuted("urgent"); }));
  EXPECT_FALSE(wasExecuted("low"));
  call(m_Address, "DELETE", "/v1/requests/low");
  EXPECT_EQ(Low.get().m_Verdict, Verdict::Broken);
  call(m_Address, "DELETE", "/v1/requests/urgent");
  EXPECT_EQ(Urgent.get().m_Verdict, Verdict::Broken);
  EXPECT_FALSE(wasExecuted("low"));
}

TEST_F(EngineContract, ReportsLoadWithTheConfiguredLag) {
  startEngine({});
  stageAndActivate("m@1", 7);
  ASSERT_TRUE(
      setFaults(m_Address, R"({"loadLagMs":3600000,"delayTokenMs":3600000})"));
  ASSERT_TRUE(loadBecomes("running", 0));
  auto Running = requestAsync(request("a", ManyTokens));
  ASSERT_TRUE(eventually([&] { return wasExecuted("a"); }));
  EXPECT_EQ(status().at("load").at("running"), 0);
  ASSERT_TRUE(setFaults(m_Address, R"({"delayTokenMs":3600000})"));
  EXPECT_EQ(status().at("load").at("running"), 1);
  call(m_Address, "DELETE", "/v1/requests/a");
  Running.get();
}

TEST_F(EngineContract, PublishesCacheEventsAndTransfersKvCaches) {
  startEngine({});
  stageAndActivate("m@1", 7);
  load::requestCompletionAndWait(m_Address, request("a"));
  load::requestCompletionAndWait(m_Address, request("b"));
  const json::value Seen =
      jsonOf(call(m_Address, "GET", "/v1/engine/cache-events?since=2"));
  EXPECT_EQ(Seen.at("events").as_array().size(), 1U);
  EXPECT_EQ(Seen.at("events").at(0).at("prefix"),
            standins::prefixHash("hello b\n"));
  const auto Exported = call(m_Address, "GET", "/v1/kv/a");
  ASSERT_EQ(statusOf(Exported), 200U);
  EXPECT_EQ(statusOf(call(m_Address, "PUT", "/v1/kv/c", Exported->m_Body)),
            204U);
  EXPECT_EQ(call(m_Address, "GET", "/v1/kv/c")->m_Body, Exported->m_Body);
}

} // namespace
