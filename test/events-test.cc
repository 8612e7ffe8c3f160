#include "deckpitch/event.h"

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace deckpitch;

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string nameOf(Severity Value) {
  switch (Value) {
  case Severity::Debug:
    return "debug";
  case Severity::Info:
    return "info";
  case Severity::Warning:
    return "warning";
  case Severity::Error:
    return "error";
  }
  return "";
}

/// Returns "number name severity" of each catalogue entry.
std::multiset<std::string> catalogueRows() {
  std::multiset<std::string> Rows;
  for (const EventInfo &Each : EventCatalogue)
    Rows.insert(std::to_string(static_cast<int>(Each.m_Event)) + " " +
                std::string(Each.m_Name) + " " + nameOf(Each.m_Severity));
  return Rows;
}

std::multiset<std::string> matchesOf(const std::string &Text,
                                     const std::regex &Pattern,
                                     const std::string &Format) {
  std::multiset<std::string> Out;
  for (std::sregex_iterator It(Text.begin(), Text.end(), Pattern), End;
       It != End; ++It)
    Out.insert(It->format(Format));
  return Out;
}

TEST(Events, DocumentAndCatalogueHaveSameRows) {
  const std::string Document = readFile(DECKPITCH_SOURCE_DIR "/docs/EVENTS.md");
  const std::regex Row(R"(\| (\d+) \| (\w+) \| (\w+) \| [^|\n]+ \|)");
  EXPECT_EQ(matchesOf(Document, Row, "$1 $2 $3"), catalogueRows());
}

TEST(Events, EveryEnumeratorIsInTheCatalogue) {
  const std::string Header =
      readFile(DECKPITCH_SOURCE_DIR "/include/deckpitch/event.h");
  const std::regex Enumerator(R"(\n  (\w+) = (\d+),)");
  std::multiset<std::string> Names;
  for (const EventInfo &Each : EventCatalogue)
    Names.insert(std::to_string(static_cast<int>(Each.m_Event)) + " " +
                 std::string(Each.m_Name));
  EXPECT_EQ(matchesOf(Header, Enumerator, "$2 $1"), Names);
}

TEST(Events, NumbersAreUnique) {
  std::set<Event> Numbers;
  for (const EventInfo &Each : EventCatalogue)
    EXPECT_TRUE(Numbers.insert(Each.m_Event).second) << Each.m_Name;
}

} // namespace
