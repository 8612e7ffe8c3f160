// Tests that a real deckpitchd rejects invalid settings and failing starts.
#include "cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <functional>

using namespace deckpitch;
using namespace deckpitch::test;

namespace json = boost::json;

namespace {

struct SettingsCase {
  const char *m_Name;
  std::string m_File;
  std::vector<std::string> m_ExpectedErrors;
};

void PrintTo(const SettingsCase &Row, std::ostream *Out) { *Out << Row.m_Name; }

class BadSettings : public testing::TestWithParam<SettingsCase> {};

TEST_P(BadSettings, AreRejectedWithFileKeyAndExpectation) {
  const ScratchDirectory Files;
  const std::string Path = Files.write("bad.json", GetParam().m_File);
  for (const bool CheckOnly : {true, false}) {
    std::vector<std::string> Arguments{"--settings=" + Path};
    if (CheckOnly)
      Arguments.emplace_back("--check");
    Child Daemon("deckpitchd", Arguments);
    EXPECT_EQ(Daemon.waitForExit(), 2);
    EXPECT_EQ(Daemon.output(), "");
    const std::string Errors = Daemon.errors();
    for (const std::string &Part : GetParam().m_ExpectedErrors) {
      std::string Line = Path + ": ";
      Line += Part;
      EXPECT_NE(Errors.find(Line), std::string::npos) << Line << " not in\n"
                                                      << Errors;
    }
  }
}

const std::string EntryStart =
    R"({"role":"entry","instance":"e","dataCentre":"d",)";

INSTANTIATE_TEST_SUITE_P(
    Table, BadSettings,
    testing::Values(
        SettingsCase{"NoJson", "{\n\"role\" entry}", {"line 2"}},
        SettingsCase{"Nothing", "", {"line 1"}},
        SettingsCase{
            "EveryFaultAtOnce",
            R"({"role":"entree","instance":"","threads":0,"colour":1})",
            {"role: found \"entree\", expected one of",
             "instance: ", "dataCentre: ", "threads: found 0, expected",
             "colour: found 1, expected no such key"}},
        SettingsCase{
            "AddressesThatAreNone",
            EntryStart + R"("platform":"nowhere","entries":["1.2.3.4"],
                "listen":{"control":"localhost:1","requests":"1.2.3.4:99999",
                          "bulk":"[::1]","operator":"1.2.3:4"}})",
            {"platform: found \"nowhere\", expected \"ip:port\" or",
             "entries[0]: found \"1.2.3.4\", expected \"ip:port\"",
             "listen.control: found \"localhost:1\", expected \"ip:port\"",
             "listen.requests: found", "listen.bulk: found",
             "listen.operator: found"}},
        SettingsCase{"AnAdapterThatIsNone",
                     EntryStart + R"("platform":"store://1.2.3.4:5",
                        "weights":{"origin":"tape://1"}})",
                     {"platform: found \"store://1.2.3.4:5\", expected "
                      "\"scheme://address\", the scheme one of http",
                      "weights.origin: found \"tape://1\""}}),
    [](const auto &Info) { return std::string(Info.param.m_Name); });

TEST(BadStart, AMissingSettingsFileIsRejected) {
  Child Daemon("deckpitchd", {"--settings=/nowhere/none.json"});
  EXPECT_EQ(Daemon.waitForExit(), 2);
  EXPECT_NE(Daemon.errors().find("/nowhere/none.json: cannot be read"),
            std::string::npos);
}

/// A port may be in use for a moment only: the process says so, goes on trying,
/// and announces no address before.
TEST(BadStart, TheErrorNamesAnAddressInUse) {
  const ScratchDirectory Files;
  Child Platform("deckpitch-standins", {"--kind=platform"});
  const std::string Taken =
      Platform.announcement().at("address").as_string().c_str();
  const std::string Path = Files.write(
      "taken.json", EntryStart + R"("platform":")" + Taken +
                        R"(","listen":{"requests":")" + Taken + R"("}})");
  Child Daemon("deckpitchd", {"--settings=" + Path});
  EXPECT_TRUE(eventually([&] {
    return Daemon.errors().find("ListenDelayed") != std::string::npos ||
           !Daemon.running();
  }));
  EXPECT_TRUE(Daemon.running());
  EXPECT_NE(Daemon.errors().find(Taken), std::string::npos) << Daemon.errors();
  EXPECT_EQ(Daemon.output(), "");
  EXPECT_EQ(Daemon.stop(), 0);
}

/// Port 65536 passes no check, and no wait mends it.
TEST(BadStart, AnAddressThatCannotBeParsedIsRejected) {
  const ScratchDirectory Files;
  const std::string Path = Files.write(
      "address.json", EntryStart + R"("platform":"127.0.0.1:1",)" +
                          R"("listen":{"requests":"127.0.0.1:65536"}})");
  Child Daemon("deckpitchd", {"--settings=" + Path});
  EXPECT_EQ(Daemon.waitForExit(), 2);
  EXPECT_NE(Daemon.errors().find("listen.requests"), std::string::npos);
}

} // namespace
