#include "deckpitch/declared-history.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};

TEST(DeclaredHistory, CountsFromFirstMissingVersion) {
  DeclaredHistory History;
  EXPECT_EQ(History.behindSince(0), std::nullopt);
  EXPECT_TRUE(History.add(2, Start));
  EXPECT_TRUE(History.add(3, Start + 4s));
  EXPECT_EQ(History.behindSince(1), Start);
  EXPECT_EQ(History.behindSince(2), Start + 4s);
  EXPECT_EQ(History.behindSince(3), std::nullopt);
  EXPECT_EQ(History.newest(), 3U);
}

TEST(DeclaredHistory, RefusesOlderVersion) {
  DeclaredHistory History;
  EXPECT_TRUE(History.add(5, Start));
  EXPECT_FALSE(History.add(4, Start + 1s));
  EXPECT_FALSE(History.add(5, Start + 1s));
  EXPECT_EQ(History.behindSince(4), Start);
}

/// After a start the newest version may be known before the ones that it
/// follows; their time was lost, and instances without any of them kept serving
/// for the newest one's whole bound.
TEST(DeclaredHistory, AddsAnOlderVersionThatBecomesKnownLater) {
  DeclaredHistory History;
  EXPECT_TRUE(History.add(5, Start));
  EXPECT_FALSE(History.add(3, Start - 9s));
  EXPECT_EQ(History.behindSince(2), Start - 9s);
  EXPECT_EQ(History.behindSince(3), Start);
  EXPECT_EQ(History.newest(), 5U);
}

TEST(DeclaredHistory, KeepsEarliestTimeOfVersion) {
  DeclaredHistory History;
  EXPECT_TRUE(History.add(2, Start + 1s));
  EXPECT_FALSE(History.add(2, Start));
  EXPECT_EQ(History.behindSince(1), Start);
  EXPECT_FALSE(History.add(2, Start + 3s));
  EXPECT_EQ(History.behindSince(1), Start);
  EXPECT_EQ(History.since(2), Start);
  EXPECT_EQ(History.since(3), std::nullopt);
}

TEST(DeclaredHistory, IsBounded) {
  DeclaredHistory History;
  for (std::uint64_t I = 1; I <= 1'000; ++I)
    History.add(I, Start + std::chrono::seconds(I));
  EXPECT_EQ(History.newest(), 1'000U);
  EXPECT_EQ(History.behindSince(999), Start + 1'000s);
  EXPECT_NE(History.behindSince(0), std::nullopt);
}

} // namespace
