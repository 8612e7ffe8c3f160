// Which datagrams of one sender are new.
#include "direct/state-link.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using direct::LinkOrder;

namespace {

wire::LinkMessage messageOf(std::uint64_t Incarnation, std::uint64_t Sequence) {
  wire::LinkMessage Out;
  Out.set_incarnation(Incarnation);
  Out.set_sequence(Sequence);
  return Out;
}

TEST(LinkOrder, OlderMessagesOfOneProcessAreLeft) {
  LinkOrder Under;
  EXPECT_TRUE(Under.isNewer(messageOf(7, 1)));
  EXPECT_TRUE(Under.isNewer(messageOf(7, 3)));
  EXPECT_FALSE(Under.isNewer(messageOf(7, 2)));
  EXPECT_FALSE(Under.isNewer(messageOf(7, 3)));
  EXPECT_TRUE(Under.isNewer(messageOf(8, 1)));
  EXPECT_FALSE(Under.isNewer(messageOf(7, 4)));
}

/// A process takes its incarnation from its machine's clock. Where that was set
/// back before a start, all that the new process says counts as old, until the
/// clock has caught up: the others take it for gone and tell it nothing.
TEST(LinkOrder, AProcessWhoseClockWasSetBackBeforeItsStartIsHeard) {
  LinkOrder Under;
  for (std::uint64_t I = 1; I <= 100; ++I)
    EXPECT_TRUE(Under.isNewer(messageOf(1'000'000, I)));
  bool IsHeard = false;
  for (std::uint64_t I = 1; I <= 100; ++I)
    IsHeard = Under.isNewer(messageOf(900'000, I)) || IsHeard;
  EXPECT_TRUE(IsHeard);
}

} // namespace
