#include "deckpitch/settings.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

std::string problemsOf(std::string_view Json) {
  const auto Parsed = outcomeOf([&] { return parseSettings(Json); });
  return Parsed ? "" : Parsed.error().m_Message;
}

TEST(Settings, ReadsCommentsAndTrailingCommas) {
  EXPECT_EQ(problemsOf(R"({
    // an entry
    "role": "entry", "instance": "e1", "dataCentre": "lahore", "platform": "127.0.0.1:1",
  })"),
            "");
}

TEST(Settings, ReportsAllFaults) {
  const std::string Found = problemsOf(
      R"({"role": "entree", "instance": "", "treads": 3, "threads": 0})");
  for (const char *Part :
       {"role: found \"entree\"", "instance: ", "dataCentre: found nothing",
        "treads: found 3",
        "threads: found 0, expected a whole number from 1 to 64", "platform: "})
    EXPECT_NE(Found.find(Part), std::string::npos) << Part << " not in\n"
                                                   << Found;
}

TEST(Settings, ReportsLineOfSyntaxError) {
  EXPECT_NE(problemsOf("{\n  \"role\": \"entry\"\n  \"instance\": 1\n}")
                .find("line 3"),
            std::string::npos);
}

struct KeyCase {
  const char *m_Path; ///< the key and its sections, joined by dots
  const char *m_Value;
  const char *m_Expected; ///< start of the expectation in the message
};

void PrintTo(const KeyCase &Case, std::ostream *Out) {
  *Out << Case.m_Path << " = " << Case.m_Value;
}

boost::json::object goodAgent() {
  return boost::json::parse(R"({
    "role": "agent", "instance": "a1", "dataCentre": "lahore",
    "entries": ["127.0.0.1:1"],
    "upstream": {"name": "u", "kind": "engine", "address": "127.0.0.1:2"}})")
      .as_object();
}

class SettingsKeys : public testing::TestWithParam<KeyCase> {};

TEST_P(SettingsKeys, ReportsKeyValueAndExpectation) {
  const KeyCase &Case = GetParam();
  boost::json::object Document = goodAgent();
  ASSERT_EQ(problemsOf(serialize(Document)), "");
  const std::string Path = Case.m_Path;
  const std::size_t Dot = Path.find('.');
  boost::json::object *Section = &Document;
  if (Dot != std::string::npos) {
    boost::json::value &Inner = Document[Path.substr(0, Dot)];
    Section = Inner.is_object() ? &Inner.get_object() : &Inner.emplace_object();
  }
  const std::string Key =
      Dot == std::string::npos ? Path : Path.substr(Dot + 1);
  (*Section)[Key] = boost::json::parse(Case.m_Value);
  const std::string Found = problemsOf(serialize(Document));
  const std::string Wanted =
      Path + ": found " + Case.m_Value + ", expected " + Case.m_Expected;
  EXPECT_NE(Found.find(Wanted), std::string::npos) << Found;
}

INSTANTIATE_TEST_SUITE_P(
    Table, SettingsKeys,
    testing::Values(
        KeyCase{"role", "7", "one of \"entry\" \"agent\""},
        KeyCase{"instance", "7", "a string that is not empty"},
        KeyCase{"instance", "null", "a string that is not empty"},
        KeyCase{"dataCentre", "[]", "a string that is not empty"},
        KeyCase{"listen", "7", "an object"},
        KeyCase{"listen.control", "7", "a string"},
        KeyCase{"listen.requests", "7", "a string"},
        KeyCase{"listen.bulk", "7", "a string"},
        KeyCase{"listen.operator", "7", "a string"},
        KeyCase{"listen.admin", "7", "no such key"},
        KeyCase{"entries", "\"127.0.0.1:1\"", "an array"},
        KeyCase{"entries", "[]", "at least one entry's control address"},
        KeyCase{"platform", "false", "a string"},
        KeyCase{"threads", "0", "a whole number from 1 to 64"},
        KeyCase{"threads", "65", "a whole number from 1 to 64"},
        KeyCase{"threads", "-1", "a whole number from 1 to 64"},
        KeyCase{"threads", "\"2\"", "a whole number from 1 to 64"},
        KeyCase{"drainLimitMs", "86400001",
                "a whole number from 0 to 86400000"},
        KeyCase{"upstream.name", "\"\"", "a string that is not empty"},
        KeyCase{"upstream.kind", "\"disk\"", "one of \"engine\" \"service\""},
        KeyCase{"upstream.address", "7", "a string that is not empty"},
        KeyCase{"upstream.pool", "7", "a string"},
        KeyCase{"weights.origin", "7", "a string"},
        KeyCase{"weights.store", "7", "a string"},
        KeyCase{"weights.memoryBytes", "1", "a whole number from 1048576 to"},
        KeyCase{"weights.uploadBytesPerSecond", "-5", "a whole number from 0"},
        KeyCase{"weights.downloadBytesPerSecond", "\"x\"",
                "a whole number from 0"},
        KeyCase{"weights.peers", "257", "a whole number from 1 to 256"},
        KeyCase{"membership.heartbeatMs", "9", "a whole number from 10 to"},
        KeyCase{"membership.suspectAfterMs", "1000", "more than heartbeatMs"},
        KeyCase{"membership.goneAfterMs", "3000", "more than suspectAfterMs"},
        KeyCase{"requests.maxBodyBytes", "1", "a whole number from 1024 to"},
        KeyCase{"requests.defaultDeadlineMs", "0", "a whole number from 1 to"},
        KeyCase{"requests.addressLifetimeMs", "99",
                "a whole number from 100 to"},
        KeyCase{"requests.instanceConcurrency", "0",
                "a whole number from 1 to 100000"},
        KeyCase{"color", "1", "no such key"}));

} // namespace
