#include "deckpitch/holders.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr bool Local = true;
constexpr bool Remote = false;

Holder holderOf(const std::string &Link, std::uint64_t Has, bool IsNear) {
  return {Link, {Has}, IsNear, TimePoint{1h}};
}

std::string nextOf(const Holders &Of) {
  const auto Next = Of.next();
  return Next ? Next->m_Link : "";
}

TEST(Holders, LocalAndNewestOnesAreAskedFirst) {
  Holders All;
  EXPECT_EQ(nextOf(All), "");
  All.note(holderOf("far", 9, Remote));
  EXPECT_EQ(nextOf(All), "far");
  All.note(holderOf("near-1", 5, Local));
  All.note(holderOf("near-2", 6, Local));
  EXPECT_EQ(nextOf(All), "near-2");
}

/// A holder that keeps failing must not starve the others, nor jump the queue
/// by announcing its revision again.
TEST(Holders, FailingOnesAreAskedRoundRobin) {
  Holders All;
  for (const char *Link : {"a", "b", "c"})
    All.note(holderOf(Link, 5, Local));
  std::string Asked;
  for (int I = 0; I < 6; ++I) {
    const std::string Next = nextOf(All);
    Asked += Next;
    All.noteFailure(Next);
    All.note(holderOf(Next, 5, Local));
  }
  EXPECT_EQ(Asked, "abcabc");
}

TEST(Holders, ANewOneIsNotAskedTwiceInARow) {
  Holders All;
  All.note(holderOf("old", 5, Local));
  for (int I = 0; I < 3; ++I)
    All.noteFailure("old");
  All.note(holderOf("new", 5, Local));
  EXPECT_EQ(nextOf(All), "new");
  All.noteFailure("new");
  EXPECT_EQ(nextOf(All), "old");
}

TEST(Holders, OnesWithoutANewerRevisionAreRemoved) {
  Holders All;
  All.note(holderOf("old", 5, Local));
  All.note(holderOf("new", 6, Remote));
  All.removeUpTo({5});
  EXPECT_EQ(nextOf(All), "new");
  All.removeUpTo({6});
  EXPECT_TRUE(All.empty());
}

TEST(Holders, AnnouncementsBeforeAStoreQueryAreRemoved) {
  Holders All;
  All.note(holderOf("told", 6, Local));
  All.removeAnnouncedBefore(TimePoint{1h});
  EXPECT_FALSE(All.empty());
  All.removeAnnouncedBefore(TimePoint{1h} + 1ms);
  EXPECT_TRUE(All.empty());
}

} // namespace
