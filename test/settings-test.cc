#include "deckpitch/settings.h"

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

TEST(Settings, ReportsEveryFaultAtOnce) {
  const std::string Found = problemsOf(
      R"({"role": "entree", "instance": "", "treads": 3, "threads": 0})");
  for (const char *Part :
       {"role: found \"entree\"", "instance: ", "dataCentre: found nothing",
        "treads: found 3",
        "threads: found 0, expected a whole number from 1 to 64", "platform: "})
    EXPECT_NE(Found.find(Part), std::string::npos) << Part << " not in\n"
                                                   << Found;
}

TEST(Settings, NamesTheLineOfASyntaxError) {
  EXPECT_NE(problemsOf("{\n  \"role\": \"entry\"\n  \"instance\": 1\n}")
                .find("line 3"),
            std::string::npos);
}

} // namespace
