#include "harness.h"
#include "http-script.h"
#include "standins/content.h"

#include <boost/json.hpp>

#include <algorithm>
#include <thread>

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

const std::string Create = "If-None-Match: *";
const std::string Pool = "/v1/objects/pools/a";

HttpStep conditionalWrite(const std::string &Method,
                          const std::string &Revision, const std::string &Body,
                          unsigned Status, const std::string &Contains = "") {
  return {Method, Pool,   "If-Match: \"" + Revision + "\"",
          Body,   Status, Contains};
}

const HttpStep CreatePool{"PUT",        Pool, Create,
                          R"({"x":1})", 201,  R"({"revision":1})"};

class PlatformContract : public StandInScript {};
TEST_P(PlatformContract, Holds) { runOn("platform"); }

INSTANTIATE_TEST_SUITE_P(
    Rows, PlatformContract,
    testing::Values(
        HttpScript{"RejectsASecondCreate",
                   {CreatePool,
                    {"PUT", Pool, Create, "{}", 409, R"("revision":1)"},
                    {"GET", Pool, "", "", 200, R"("value":{"x":1})"}}},
        HttpScript{"UpdatesAtTheExpectedRevisionOnly",
                   {conditionalWrite("PUT", "1", "{}", 404), CreatePool,
                    conditionalWrite("PUT", "1", R"({"x":2})", 200,
                                     R"({"revision":2})"),
                    conditionalWrite("PUT", "1", R"({"x":3})", 409,
                                     R"("value":{"x":2})"),
                    conditionalWrite("PUT", "\"", "{}", 400)}},
        HttpScript{
            "DeletesAtTheExpectedRevisionOnly",
            {CreatePool,
             conditionalWrite("DELETE", "7", "", 409),
             conditionalWrite("DELETE", "1", "", 200, R"({"revision":2})"),
             conditionalWrite("DELETE", "1", "", 404),
             {"GET", Pool, "", "", 404, ""}}},
        HttpScript{"RejectsAWriteWithoutAPrecondition",
                   {{"PUT", Pool, "", "{}", 428, ""},
                    CreatePool,
                    {"DELETE", Pool, "", "", 428, ""}}},
        HttpScript{"RejectsInvalidJson",
                   {{"PUT", Pool, Create, "{", 400, ""},
                    {"GET", Pool, "", "", 404, ""}}},
        HttpScript{
            "RejectsAValueAboveOneMebibyte",
            {{"PUT", Pool, Create,
              "\"" + std::string(1024 * 1024 - 1, 'x') + "\"", 413, ""},
             {"PUT", Pool, Create,
              "\"" + std::string(1024 * 1024 - 2, 'x') + "\"", 201, ""}}},
        HttpScript{"ListsAKindAsOfOneRevision",
                   {CreatePool,
                    {"PUT", "/v1/objects/leases/b", Create, "{}", 201, ""},
                    {"GET", "/v1/objects/pools", "", "", 200,
                     R"({"revision":2,"items":[{"kind":"pools","name":"a")"},
                    {"GET", "/v1/objects/claims", "", "", 200,
                     R"({"revision":2,"items":[]})"}}},
        HttpScript{"OutageRejectsWithoutEffect",
                   {CreatePool,
                    faults(R"({"outage":true})"),
                    {"GET", Pool, "", "", 503, ""},
                    conditionalWrite("PUT", "1", "{}", 503),
                    faults("{}"),
                    {"GET", Pool, "", "", 200, R"("revision":1)"}}},
        HttpScript{"DropsTheAnswerOfASuccessfulWrite",
                   {CreatePool,
                    faults(R"({"loseAnswers":1})"),
                    conditionalWrite("PUT", "1", R"({"x":2})", 0),
                    {"GET", Pool, "", "", 200, R"("revision":2)"},
                    conditionalWrite("PUT", "2", R"({"x":3})", 200)}},
        HttpScript{
            "StaleReadsReturnAnEarlierRevision",
            {CreatePool,
             conditionalWrite("PUT", "1", R"({"x":2})", 200),
             faults(R"({"staleReadRevisions":1})"),
             {"GET", Pool, "", "", 200, R"("value":{"x":1})"},
             {"GET", "/v1/objects/pools", "", "", 200,
              R"({"revision":1,"items":[{"kind":"pools","name":"a","revision":1)"},
             faults(R"({"staleReadRevisions":9})"),
             {"GET", Pool, "", "", 404, ""},
             conditionalWrite("PUT", "2", R"({"x":3})", 200)}},
        HttpScript{"RejectsAWatchFromACompactedRevision",
                   {CreatePool,
                    conditionalWrite("PUT", "1", "{}", 200),
                    {"POST", "/_standin/compact", "", "", 200, ""},
                    {"GET", "/v1/watch?kinds=pools&since=1", "", "", 410, ""}}},
        HttpScript{"InstanceListLags",
                   {faults(R"({"instanceListLagMs":3600000})"),
                    {"PUT", "/_standin/instances", "",
                     R"({"items":[{"name":"i"}]})", 200, ""},
                    {"GET", "/v1/instances", "", "", 200, R"({"items":[]})"},
                    faults("{}"),
                    {"GET", "/v1/instances", "", "", 200, R"("name":"i")"}}},
        HttpScript{
            "CountsEachCall",
            {CreatePool,
             {"GET", Pool, "", "", 200, ""},
             faults(R"({"outage":true})"),
             {"GET", Pool, "", "", 503, ""},
             {"GET", "/_standin/counters", "", "", 200, R"("create":1)"},
             {"GET", "/_standin/counters", "", "", 200, R"("get":1)"},
             {"GET", "/_standin/counters", "", "", 200, R"("refused":1)"},
             {"GET", "/_standin/counters", "", "", 200, R"("total":3)"}}},
        HttpScript{"RejectsInvalidFaults",
                   {{"PUT", "/_standin/faults", "", R"({"outrage":true})", 422,
                     "outrage"},
                    {"PUT", "/_standin/faults", "", R"({"delayMs":"x"})", 422,
                     "delayMs"}}}),
    nameOf);

class StandInWatch : public testing::Test {
protected:
  void SetUp() override {
    const boost::json::object Announcement = m_Process.announcement();
    m_Address = Announcement.at("address").as_string().c_str();
    run(m_Address, {"three writes",
                    {CreatePool, conditionalWrite("PUT", "1", "{}", 200),
                     conditionalWrite("DELETE", "2", "", 200)}});
  }

  /// Returns the first events of a watch, each as "type revision".
  std::vector<std::string> watch(const std::string &Since, std::size_t Count) {
    std::vector<std::string> Out;
    for (const std::string &Line : readLines(
             m_Address, "/v1/watch?kinds=pools,leases&since=" + Since, Count)) {
      const boost::json::value Event = boost::json::parse(Line);
      Out.push_back(std::string(Event.at("type").as_string().c_str()) + " " +
                    boost::json::serialize(Event.at("revision")));
    }
    return Out;
  }

  using Lines = std::vector<std::string>;
  Child m_Process{"deckpitch-standins", {"--kind=platform"}};
  std::string m_Address;
};

TEST_F(StandInWatch, ContinuesInOrderAndThenSendsBookmarks) {
  EXPECT_EQ(watch("0", 4), (Lines{"put 1", "put 2", "delete 3", "bookmark 3"}));
  EXPECT_EQ(watch("2", 2), (Lines{"delete 3", "bookmark 3"}));
}

TEST_F(StandInWatch, RepeatsEvents) {
  ASSERT_TRUE(setFaults(m_Address, R"({"repeatWatchEvents":true})"));
  EXPECT_EQ(watch("1", 4), (Lines{"put 2", "put 2", "delete 3", "delete 3"}));
}

TEST_F(StandInWatch, ReordersEvents) {
  ASSERT_TRUE(setFaults(m_Address, R"({"reorderWatchEvents":true})"));
  EXPECT_EQ(watch("0", 3), (Lines{"delete 3", "put 2", "put 1"}));
}

TEST_F(StandInWatch, DeliversAWriteToAnOpenWatchUntilItIsDropped) {
  std::vector<std::string> Seen;
  std::thread Watcher([&] { Seen = watch("3", 1'000'000); });
  EXPECT_TRUE(
      eventually([&] { return counterOf(m_Address, "watchesOpen") == 1; }));
  run(m_Address,
      {"a write", {{"PUT", "/v1/objects/leases/l", Create, "{}", 201, ""}}});
  EXPECT_TRUE(
      eventually([&] { return counterOf(m_Address, "watchEvents") == 1; }));
  EXPECT_TRUE(setFaults(m_Address, R"({"dropWatches":true})"));
  Watcher.join();
  EXPECT_EQ(std::count(Seen.begin(), Seen.end(), "put 4"), 1);
  EXPECT_EQ(counterOf(m_Address, "watchesOpen"), 0U);
}

class OriginContract : public StandInScript {};
TEST_P(OriginContract, Holds) { runOn("origin"); }

const HttpStep MakeContent{"PUT", "/_standin/weights/m@1",
                           "",    R"({"bytes":100,"chunkBytes":40,"seed":7})",
                           200,   R"("bytes":100)"};

HttpStep readContent(const std::string &Range, unsigned Status) {
  return {"GET", "/v1/weights/m@1/content", "Range: bytes=" + Range, "", Status,
          ""};
}
HttpStep bytesSent(const std::string &Count) {
  return {"GET", "/_standin/counters",       "", "",
          200,   R"("bytes":)" + Count + ","};
}

INSTANTIATE_TEST_SUITE_P(
    Rows, OriginContract,
    testing::Values(
        HttpScript{"ServesManifestAndRanges",
                   {{"GET", "/v1/weights/m@1/manifest", "", "", 404, ""},
                    MakeContent,
                    {"GET", "/v1/weights/m@1/manifest", "", "", 200,
                     R"("weights":"m@1")"},
                    readContent("0-9", 206),
                    readContent("80-200", 206),
                    readContent("100-", 416),
                    readContent("9-3", 416),
                    readContent("x-3", 416),
                    bytesSent("30")}},
        HttpScript{"OutageSendsNothing",
                   {MakeContent, faults(R"({"outage":true})"),
                    readContent("0-9", 503), bytesSent("0"), faults("{}"),
                    readContent("0-9", 206)}},
        HttpScript{
            "RejectsEmptyContent",
            {{"PUT", "/_standin/weights/m@1", "", R"({"bytes":0})", 422, ""}}},
        HttpScript{"BandwidthLimitKeepsTheContent",
                   {MakeContent, faults(R"({"bytesPerSecond":100000})"),
                    readContent("0-99", 206), bytesSent("100")}}),
    nameOf);

class StandInOrigin : public testing::Test {
protected:
  void SetUp() override {
    m_Address = m_Process.announcement().at("address").as_string().c_str();
    run(m_Address, {"content", {MakeContent}});
  }

  Outcome<net::HttpResponse> read(std::chrono::milliseconds ReadTimeout) {
    net::HttpRequest Request;
    Request.m_Target = "/v1/weights/m@1/content";
    net::CallLimits Limits;
    Limits.m_ReadTimeout = ReadTimeout;
    return net::callAndWait(m_Address, std::move(Request), Limits);
  }

  Child m_Process{"deckpitch-standins", {"--kind=origin"}};
  std::string m_Address;
};

TEST_F(StandInOrigin, CorruptsOnlyTheConfiguredChunks) {
  const std::string Good = standins::contentBytes(7, 0, 100);
  EXPECT_EQ(read(MaxWait)->m_Body, Good);
  ASSERT_TRUE(setFaults(m_Address, R"({"corruptChunks":[1]})"));
  const std::string Bad = read(MaxWait)->m_Body;
  ASSERT_EQ(Bad.size(), Good.size());
  EXPECT_EQ(Bad.substr(0, 40), Good.substr(0, 40));
  EXPECT_NE(Bad.substr(40, 40), Good.substr(40, 40));
  EXPECT_EQ(Bad.substr(80), Good.substr(80));
}

TEST_F(StandInOrigin, StallsWithoutClosingUntilTheFaultIsCleared) {
  ASSERT_TRUE(setFaults(m_Address, R"({"stallAfterBytes":10})"));
  EXPECT_FALSE(read(std::chrono::milliseconds(200)));
  EXPECT_EQ(counterOf(m_Address, "bytes"), 10U);
  std::thread FaultClearer([&] {
    EXPECT_TRUE(
        eventually([&] { return counterOf(m_Address, "bytes") == 20; }));
    EXPECT_TRUE(setFaults(m_Address, "{}"));
  });
  const auto Complete = read(MaxWait);
  FaultClearer.join();
  ASSERT_TRUE(Complete);
  EXPECT_EQ(Complete->m_Body, standins::contentBytes(7, 0, 100));
}

class StoreContract : public StandInScript {};
TEST_P(StoreContract, Holds) { runOn("store"); }

INSTANTIATE_TEST_SUITE_P(Rows, StoreContract,
                         testing::Values(HttpScript{
                             "RejectsRequestsBeyondItsRate",
                             {MakeContent, faults(R"({"requestsPerSecond":1})"),
                              readContent("0-9", 206), readContent("0-9", 429),
                              faults(R"({"requestsPerSecond":0})"),
                              readContent("0-9", 206)}}),
                         nameOf);

class ServiceContract : public StandInScript {};
TEST_P(ServiceContract, Holds) { runOn("service"); }

const HttpStep Book{"POST", "/book", "Idempotency-Key: k",
                    "slot", 200,     R"("body":"slot")"};
HttpStep executions(const std::string &List) {
  return {"GET", "/_standin/executions", "", "", 200, List};
}
HttpStep expectAborted(HttpStep Step) {
  Step.m_Status = 0;
  Step.m_Contains.clear();
  return Step;
}

INSTANTIATE_TEST_SUITE_P(
    Rows, ServiceContract,
    testing::Values(
        HttpScript{
            "CountsByKeyElseByRequestId",
            {Book,
             {"GET", "/x", "X-Request-Id: r", "", 200, ""},
             executions(R"([{"key":"k","count":1},{"key":"r","count":1}])")}},
        HttpScript{"AbortsBeforeExecution",
                   {faults(R"({"dieBefore":1})"), expectAborted(Book),
                    executions("[]"), Book,
                    executions(R"([{"key":"k","count":1}])")}},
        HttpScript{"AbortsAfterExecution",
                   {faults(R"({"dieAfter":true})"), expectAborted(Book),
                    expectAborted(Book),
                    executions(R"([{"key":"k","count":2}])")}},
        HttpScript{"HealthCheckIsNotAnExecution",
                   {{"GET", "/v1/health", "", "", 200, ""}, executions("[]")}}),
    nameOf);

} // namespace
