#include "ctl/commands.h"
#include "ctl/render.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace deckpitch;
using namespace deckpitch::ctl;

namespace {

Resource pool(const std::string &Version) {
  return {"pools", "chat", 0,
          boost::json::object{
              {"name", "chat"}, {"model", "m"}, {"version", Version}}};
}

/// An entry with one object. Injects a fault into the next write.
struct FakeEntry {
  enum class Fault {
    None,
    LoseAnswer,     ///< the write takes effect, its answer is lost
    LoseWrite,      ///< the write has no effect and no answer
    RaceBefore,     ///< another operator's write comes first
    RaceThenLose,   ///< as RaceBefore, and the answer is lost
    LoseThenRace,   ///< takes effect, then another write replaces the object;
                    ///< the answer is lost
    Unreachable,    ///< connection refused
    Refuse,         ///< 422
    LoseThenOutage, ///< no effect and no answer, then all reads fail
  };

  Outcome<net::HttpResponse> operator()(const net::HttpRequest &Request) {
    if (Request.m_Method == "GET")
      return m_Outage ? Outcome<net::HttpResponse>(
                            Error{ErrorCode::Unavailable, "down"})
                      : net::jsonResponse(m_Revision ? 200 : 404, current());
    ++m_Writes;
    return write(Request, std::exchange(m_Fault, Fault::None));
  }

  Outcome<net::HttpResponse> write(const net::HttpRequest &Request,
                                   Fault Which) {
    if (Which == Fault::Unreachable)
      return Error{ErrorCode::Unavailable, "refused"};
    if (Which == Fault::Refuse)
      return net::jsonResponse(
          422,
          R"({"problems":[{"path":"model","found":"1","expected":"a string"}]})");
    if (Which == Fault::LoseThenOutage)
      m_Outage = true;
    if (Which == Fault::LoseWrite || Which == Fault::LoseThenOutage)
      return Error{ErrorCode::Timeout, "lost"};
    if (Which == Fault::RaceBefore || Which == Fault::RaceThenLose)
      put(boost::json::serialize(pool("other").m_Value));
    net::HttpResponse Answer = conditionalPut(Request);
    if (Which == Fault::LoseThenRace)
      put(boost::json::serialize(pool("other").m_Value));
    const bool Lost = Which == Fault::LoseAnswer ||
                      Which == Fault::RaceThenLose ||
                      Which == Fault::LoseThenRace;
    if (Lost)
      return Error{ErrorCode::Timeout, "lost"};
    return Answer;
  }

  net::HttpResponse conditionalPut(const net::HttpRequest &Request) {
    const bool Creates = Request.m_Headers.find("If-None-Match") == "*";
    const std::string Expected = "\"" + std::to_string(m_Revision) + "\"";
    const bool Fits = Creates ? m_Revision == 0
                              : Request.m_Headers.find("If-Match") == Expected;
    if (!Fits)
      return net::jsonResponse(409, current());
    put(Request.m_Body);
    return net::jsonResponse(Creates ? 201 : 200,
                             "{\"revision\":" + std::to_string(m_Revision) +
                                 "}");
  }

  void put(std::string Json) {
    m_Json = std::move(Json);
    m_Revision += 5;
  }

  std::string current() const {
    if (m_Revision == 0)
      return R"({"error":"no such object"})";
    return boost::json::serialize(
        boost::json::object{{"kind", "pools"},
                            {"name", "chat"},
                            {"revision", m_Revision},
                            {"value", boost::json::parse(m_Json)}});
  }

  std::string m_Json;
  std::uint64_t m_Revision = 0;
  Fault m_Fault = Fault::None;
  bool m_Outage = false;
  int m_Writes = 0;
};

using Fault = FakeEntry::Fault;

struct ApplyCase {
  const char *m_Name;
  const char *m_Before; ///< version before the write; empty: no object
  Fault m_Fault;
  ApplyResult m_Result;
  int m_Writes;
  const char *m_After; ///< version after the write
};

class ApplyFaults : public testing::TestWithParam<ApplyCase> {};

TEST_P(ApplyFaults, ReportsTrueOutcomeAfterFault) {
  const ApplyCase &Case = GetParam();
  FakeEntry Entry;
  if (*Case.m_Before)
    Entry.put(boost::json::serialize(pool(Case.m_Before).m_Value));
  Entry.m_Fault = Case.m_Fault;
  const ApplyReport Report =
      applyResource(std::ref(Entry), pool("2"), std::nullopt);
  EXPECT_EQ(nameOf(Report.m_Result), nameOf(Case.m_Result));
  EXPECT_EQ(Entry.m_Writes, Case.m_Writes);
  EXPECT_EQ(boost::json::parse(Entry.m_Json).at("version"), Case.m_After);
  if (Case.m_Result == ApplyResult::Conflict) {
    const std::string Text = describe(pool("2"), Report);
    const char *Part = "version: was \"1\", is now \"other\", asked for \"2\"";
    EXPECT_NE(Text.find(Part), std::string::npos) << Text;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Table, ApplyFaults,
    testing::Values(
        ApplyCase{"Creates", "", Fault::None, ApplyResult::Created, 1, "2"},
        ApplyCase{"Updates", "1", Fault::None, ApplyResult::Updated, 1, "2"},
        ApplyCase{"LeavesEqualAlone", "2", Fault::None, ApplyResult::Unchanged,
                  0, "2"},
        ApplyCase{"LostAnswerOfUpdate", "1", Fault::LoseAnswer,
                  ApplyResult::Updated, 1, "2"},
        ApplyCase{"LostAnswerOfCreate", "", Fault::LoseAnswer,
                  ApplyResult::Created, 1, "2"},
        ApplyCase{"LostWriteIsRepeated", "1", Fault::LoseWrite,
                  ApplyResult::Updated, 2, "2"},
        ApplyCase{"RaceIsAConflict", "1", Fault::RaceBefore,
                  ApplyResult::Conflict, 1, "other"},
        ApplyCase{"RaceWithLostAnswer", "1", Fault::RaceThenLose,
                  ApplyResult::Conflict, 1, "other"},
        ApplyCase{"OverwrittenAfterLostAnswer", "1", Fault::LoseThenRace,
                  ApplyResult::Conflict, 1, "other"},
        ApplyCase{"Unreachable", "1", Fault::Unreachable,
                  ApplyResult::Unavailable, 1, "1"},
        ApplyCase{"Refused", "1", Fault::Refuse, ApplyResult::Refused, 1, "1"},
        ApplyCase{"NothingCanBeRead", "1", Fault::LoseThenOutage,
                  ApplyResult::Unknown, 1, "1"}),
    [](const auto &Info) { return std::string(Info.param.m_Name); });

TEST(Apply, ExpectedRevisionMismatchIsConflict) {
  FakeEntry Entry;
  Entry.put(boost::json::serialize(pool("1").m_Value));
  const ApplyReport Report = applyResource(std::ref(Entry), pool("2"), 4);
  EXPECT_EQ(Report.m_Result, ApplyResult::Conflict);
  EXPECT_EQ(Report.m_Revision, 5U);
  EXPECT_EQ(Entry.m_Json, boost::json::serialize(pool("1").m_Value));
}

std::string parseErrors(std::string_view Json) {
  const auto Parsed = outcomeOf([&] { return parseResources(Json); });
  return Parsed ? "" : Parsed.error().m_Message;
}

TEST(ResourceFile, ReadsOneObjectOrAnArrayWithComments) {
  EXPECT_EQ(parseErrors(R"(// one
    {"kind": "pools", "value": {"name": "a", "model": "m"}})"),
            "");
  EXPECT_EQ(parseErrors(R"([{"kind": "organisations", "value": {"name": "o"}},
                         {"kind": "upstreams", "value": {"name": "u"}},])"),
            "");
}

TEST(ResourceFile, ReportsEveryError) {
  const std::string Found = parseErrors(
      R"([{"kind": "pool", "value": {"name": "a"}}, {"kind": "pools"},
          {"kind": "pools", "value": {"name": 7}, "extra": 1}, 3])");
  for (const char *Part :
       {"[0].kind: found \"pool\"", "[1].value: found nothing",
        "[2].value.name: found 7", "[2].extra: found 1",
        "[3]: found 3, expected an object"})
    EXPECT_NE(Found.find(Part), std::string::npos) << Part << "\n" << Found;
}

struct CommandResult {
  ExitCode m_Code;
  std::string m_Out;
  std::string m_Err;
};

CommandResult run(Options Given) {
  std::ostringstream Out;
  std::ostringstream Err;
  const ExitCode Code = runCommand(Given, Out, Err);
  return {Code, Out.str(), Err.str()};
}

std::string writeFile(const std::string &Name, const std::string &Text) {
  std::string Path = testing::TempDir() + Name;
  std::ofstream(Path) << Text;
  return Path;
}

TEST(Commands, ExitCodes) {
  EXPECT_EQ(run({}).m_Code, ExitCode::Usage);
  EXPECT_EQ(run({.m_Positional = {"fly"}}).m_Code, ExitCode::Usage);
  EXPECT_EQ(run({.m_Positional = {"status"}}).m_Code, ExitCode::Usage);
  EXPECT_EQ(run({.m_Positional = {"get"}, .m_Entries = {"127.0.0.1:1"}}).m_Code,
            ExitCode::Usage);
  EXPECT_EQ(
      run({.m_Positional = {"status"}, .m_Entries = {"127.0.0.1:1"}}).m_Code,
      ExitCode::Unavailable);
  EXPECT_EQ(run({.m_Positional = {"check-settings", "/no/such/file"}}).m_Code,
            ExitCode::Refused);
}

TEST(Commands, CheckSettingsReportsFileAndError) {
  const std::string Path =
      writeFile("bad-settings.json", R"({"role": "agent", "instance": 1})");
  const CommandResult Checked = run({.m_Positional = {"check-settings", Path}});
  EXPECT_EQ(Checked.m_Code, ExitCode::Refused);
  EXPECT_NE(Checked.m_Err.find(Path + ": instance: found 1"),
            std::string::npos);
}

/// Serves the fake entry over HTTP on loopback.
class CommandsOverHttp : public testing::Test {
protected:
  void SetUp() override {
    const auto Bound =
        outcomeOf([&] { return m_Server.listen("127.0.0.1:0"); });
    ASSERT_TRUE(Bound);
    m_Address = *Bound;
    m_Threads.start();
  }
  void TearDown() override {
    m_Server.stop();
    m_Threads.stop();
  }

  net::asio::awaitable<void> answer(net::HttpRequest Request,
                                    net::HttpResponder &Answer) {
    if (Request.path() == "/v1/watch") {
      net::HttpHeaders None;
      co_await Answer.begin(200, std::move(None));
      co_await Answer.write(
          "{\"type\":\"bookmark\",\"revision\":1}\n{\"type\"");
      co_await Answer.write(":\"member\",\"instance\":\"a1\"}\n");
      co_await Answer.end();
      co_return;
    }
    if (Request.m_Method == "PUT")
      m_WrittenBy = Request.m_Headers.find("X-Operator");
    auto Response = m_Entry(Request);
    co_await Answer.send(*Response);
  }

  FakeEntry m_Entry;
  std::string m_WrittenBy;
  net::IoThreads m_Threads{1};
  net::HttpServer m_Server{
      m_Threads, [this](net::HttpRequest Request, net::HttpResponder &Answer) {
        return answer(std::move(Request), Answer);
      }};
  std::string m_Address;
};

TEST_F(CommandsOverHttp, ApplySkipsUnreachableEntries) {
  const std::string Path =
      writeFile("pool.json", R"({"kind": "pools", "value": {"name": "chat",
                       "model": "m", "version": "2"}})");
  const CommandResult Applied = run({.m_Positional = {"apply"},
                                     .m_Entries = {"127.0.0.1:1", m_Address},
                                     .m_Operator = "amina",
                                     .m_File = Path});
  EXPECT_EQ(Applied.m_Code, ExitCode::Success) << Applied.m_Err;
  EXPECT_EQ(Applied.m_Out, "pools/chat: created, revision 5\n");
  EXPECT_EQ(m_WrittenBy, "amina");
  const CommandResult Got =
      run({.m_Positional = {"get", "pools", "chat"}, .m_Entries = {m_Address}});
  EXPECT_EQ(Got.m_Code, ExitCode::Success);
  EXPECT_NE(Got.m_Out.find("\"version\": \"2\""), std::string::npos);
}

TEST_F(CommandsOverHttp, WatchJoinsSplitLinesAndExitsUnavailable) {
  const CommandResult Watched =
      run({.m_Positional = {"watch"}, .m_Entries = {m_Address}});
  EXPECT_EQ(Watched.m_Code, ExitCode::Unavailable);
  EXPECT_EQ(Watched.m_Out.rfind("- a1: ", 0), 0U) << Watched.m_Out;
}

} // namespace
