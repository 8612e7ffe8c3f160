#include "direct/unreadable-log.h"

#include <gtest/gtest.h>

using namespace deckpitch::direct;

namespace {

/// A store that is read twice a second would fill the log.
TEST(UnreadableLog, EachErrorIsLoggedOnceUntilTheObjectCanBeRead) {
  UnreadableLog Log;
  EXPECT_TRUE(Log.note("a", "too deep"));
  EXPECT_FALSE(Log.note("a", "too deep"));
  EXPECT_TRUE(Log.note("b", "too deep"));
  EXPECT_TRUE(Log.note("a", "no name"));
  // Two objects whose names cannot be read.
  EXPECT_FALSE(Log.note("a", "too deep"));
  Log.noteReadable("a");
  EXPECT_TRUE(Log.note("a", "too deep"));
  EXPECT_FALSE(Log.note("b", "too deep"));
}

TEST(UnreadableLog, ManyErrorsAreNotAllLogged) {
  UnreadableLog Log;
  int Logged = 0;
  for (int Round = 0; Round < 2; ++Round)
    for (int I = 0; I < 5'000; ++I) {
      Logged += Log.note("name " + std::to_string(I), "too deep") ? 1 : 0;
      Logged += Log.note("name 0", "error " + std::to_string(I)) ? 1 : 0;
    }
  EXPECT_LT(Logged, 2'000);
}

TEST(UnreadableLog, LongErrorsAreShortened) {
  EXPECT_EQ(shortened("too deep"), "too deep");
  EXPECT_LT(shortened(std::string(100'000, 'x')).size(), 300U);
}

} // namespace
