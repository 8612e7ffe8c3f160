#include "deckpitch/holders.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr bool Near = true;
constexpr bool Far = false;

Holder holderOf(const std::string &Link, std::uint64_t Has, bool IsNear) {
  return {Link, {Has}, IsNear, TimePoint{1h}};
}

std::string nextOf(const Holders &Of) {
  const auto Next = Of.next();
  return Next ? Next->m_Link : "";
}

TEST(Holders, AreAskedNearOnesFirstAndTheNewestOfThem) {
  Holders All;
  EXPECT_EQ(nextOf(All), "");
  All.note(holderOf("far", 9, Far));
  EXPECT_EQ(nextOf(All), "far");
  All.note(holderOf("near-1", 5, Near));
  All.note(holderOf("near-2", 6, Near));
  EXPECT_EQ(nextOf(All), "near-2");
}

/// Whoever fails, also again and again, keeps nobody else from being asked, and
/// saying once more that it has the list brings it no earlier turn.
TEST(Holders, AreAskedInTurnWhereTheyFail) {
  Holders All;
  for (const char *Link : {"a", "b", "c"})
    All.note(holderOf(Link, 5, Near));
  std::string Asked;
  for (int I = 0; I < 6; ++I) {
    const std::string Next = nextOf(All);
    Asked += Next;
    All.noteFailure(Next);
    All.note(holderOf(Next, 5, Near));
  }
  EXPECT_EQ(Asked, "abcabc");
}

TEST(Holders, OneThatIsHeardLaterTakesNoTwoTurnsInARow) {
  Holders All;
  All.note(holderOf("old", 5, Near));
  for (int I = 0; I < 3; ++I)
    All.noteFailure("old");
  All.note(holderOf("new", 5, Near));
  EXPECT_EQ(nextOf(All), "new");
  All.noteFailure("new");
  EXPECT_EQ(nextOf(All), "old");
}

TEST(Holders, AreForgottenWhereTheyHaveNothingNewer) {
  Holders All;
  All.note(holderOf("old", 5, Near));
  All.note(holderOf("new", 6, Far));
  All.forgetUpTo({5});
  EXPECT_EQ(nextOf(All), "new");
  All.forgetUpTo({6});
  EXPECT_TRUE(All.empty());
}

TEST(Holders, AreForgottenWhereTheStoreWasAskedSince) {
  Holders All;
  All.note(holderOf("told", 6, Near));
  All.forgetToldBefore(TimePoint{1h});
  EXPECT_FALSE(All.empty());
  All.forgetToldBefore(TimePoint{1h} + 1ms);
  EXPECT_TRUE(All.empty());
}

} // namespace
