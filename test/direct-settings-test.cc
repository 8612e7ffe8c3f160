#include "deckpitch/direct-settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <sstream>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

const std::string EntryText = R"({
  // comments are allowed
  "mode": "direct", "role": "entry", "instance": "e1", "dataCentre": "a",
  "listen": {"callers": "127.0.0.1:0", "link": "127.0.0.1:0"},
  "store": "objects://127.0.0.1:1",
  "bounds": {"retryShare": 0.25, "retryWindowMs": 5000, "drainMs": 1500},
})";

std::string faultsOf(const std::string &Text) {
  const auto Parsed = outcomeOf([&] { return parseDirectSettings(Text); });
  return Parsed ? "" : Parsed.error().m_Message;
}

TEST(DirectSettings, ParsesEntrySettings) {
  ASSERT_TRUE(areDirectSettings(EntryText));
  const auto Parsed = outcomeOf([] { return parseDirectSettings(EntryText); });
  ASSERT_TRUE(Parsed) << Parsed.error().m_Message;
  EXPECT_EQ(Parsed->m_Role, Role::Entry);
  EXPECT_EQ(Parsed->m_Bounds.m_Retries.m_Share, 0.25);
  EXPECT_EQ(Parsed->m_Bounds.m_Retries.m_Window, std::chrono::seconds(5));
  EXPECT_EQ(Parsed->m_Bounds.m_Drain, 1'500ms);
  EXPECT_EQ(Parsed->m_Bounds.m_Version, 8'000ms);
}

TEST(DirectSettings, ReadsTheRegionsOfDataCentres) {
  std::string Text = EntryText;
  Text.replace(Text.rfind('}'), 1, R"("regions": {"a": "north"}})");
  const auto Parsed = outcomeOf([&] { return parseDirectSettings(Text); });
  ASSERT_TRUE(Parsed) << Parsed.error().m_Message;
  EXPECT_EQ(Parsed->m_Regions.regionOf({"a"}), RegionId{"north"});
  EXPECT_TRUE(Parsed->m_Regions.regionOf({"b"}).empty());
  Text.replace(Text.find("\"north\""), 7, "7");
  EXPECT_NE(faultsOf(Text).find("regions"), std::string::npos);
}

TEST(DirectSettings, ReadsTheLimitsOfTheMachine) {
  std::string Text = EntryText;
  Text.replace(Text.rfind('}'), 1,
               R"("limits": {"memoryMb": 112, "descriptors": 2870}})");
  const auto Parsed = outcomeOf([&] { return parseDirectSettings(Text); });
  ASSERT_TRUE(Parsed) << Parsed.error().m_Message;
  EXPECT_EQ(Parsed->m_Limits, (ProcessLimits{112, 2'870}));
  Text.replace(Text.find("112"), 3, "1");
  Text.replace(Text.find("2870"), 4, "7");
  const std::string Faults = faultsOf(Text);
  for (const char *Each : {"limits.memoryMb", "limits.descriptors"})
    EXPECT_NE(Faults.find(Each), std::string::npos) << Each << "\n" << Faults;
}

TEST(DirectSettings, RejectsSettingsOfOtherModes) {
  EXPECT_FALSE(areDirectSettings(R"({"role": "entry"})"));
  EXPECT_FALSE(areDirectSettings("not json"));
  EXPECT_FALSE(areDirectSettings("[]"));
}

TEST(DirectSettings, ReportsAllFaults) {
  const std::string Faults = faultsOf(R"({"mode": "direct", "role": "agent",
    "instance": "", "listen": {"callers": 7}, "stor": "x",
    "bounds": {"retryShare": 2, "drainMs": 0}})");
  for (const char *Each : {"instance", "dataCentre", "listen.callers",
                           "listen.link", "store", "stor", "bounds.retryShare",
                           "bounds.drainMs", "upstream", "listen.bulk"})
    EXPECT_NE(Faults.find(Each), std::string::npos) << Each << "\n" << Faults;
}

std::string filled(const std::string &Path, bool HasOptional) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  std::string Out = Text.str();
  const auto Fill = [&Out](const std::string &Pattern, const char *Value) {
    Out = std::regex_replace(Out, std::regex(Pattern), Value);
  };
  const std::string Section = R"(\{\{#([^}]*)\}\}(.*)\{\{/\1\}\})";
  // The current entry of a section is the value that it names.
  Fill(R"(\{\{#([^}]*)\}\}([^{\n]*)\{\{\.\}\})", "{{#$1}}$2{{$1}}");
  Fill(Section, HasOptional ? "$2" : "");
  Fill(R"(\{\{zones\|json\}\})", R"({"a": "north"})");
  Fill(R"(\{\{[^}]*\|json\}\})", "\"127.0.0.1:1\"");
  Fill(R"(\{\{[^}]*retryRatio\}\})", "0.2");
  Fill(R"(\{\{[^}]*linkMbps\}\})", "9.4");
  Fill(R"(\{\{[^}]*ramMb\}\})", "128");
  Fill(R"(\{\{[^}]*maxFds\}\})", "2048");
  Fill(R"(\{\{[^}]*portRange[^}]*\}\})", "7700");
  Fill(R"(\{\{[^}]*(Ip|addr|app)\}\})", "127.0.0.1");
  Fill(R"(\{\{[^}]*\}\})", "8");
  return Out;
}

/// The settings templates that the deploy file refers to must give valid
/// settings.
TEST(DirectSettings, AcceptsFilledTemplates) {
  for (const char *Name : {"entry", "agent"})
    for (const bool HasOptional : {false, true}) {
      const std::string Text =
          filled(std::string(DECKPITCH_SOURCE_DIR) + "/platform/" + Name +
                     ".settings.json",
                 HasOptional);
      ASSERT_FALSE(Text.empty());
      EXPECT_EQ(faultsOf(Text), "") << Text;
    }
}

} // namespace
