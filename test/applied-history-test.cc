#include "deckpitch/applied-history.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

DeclarationSet poolAt(std::uint64_t Revision) {
  DeclarationSet Set;
  Set.m_Revision = {Revision};
  Set.m_Pools[PoolId{"chat"}].m_Revision = {Revision};
  return Set;
}

TEST(AppliedHistory, RecordsOnlyChangesInOrder) {
  AppliedHistory History(10);
  History.record(1s, poolAt(3));
  History.record(2s, poolAt(3));
  DeclarationSet Completed = poolAt(3);
  Completed.m_Revision = {5};
  History.record(3s, Completed);
  History.record(4s, poolAt(6));
  ASSERT_EQ(History.changes().size(), 2U);
  EXPECT_EQ(History.changes()[0],
            (AppliedChange{1, 1s, "pools/chat", {3}, {3}}));
  EXPECT_EQ(History.changes()[1],
            (AppliedChange{2, 4s, "pools/chat", {6}, {6}}));
}

TEST(AppliedHistory, RecordsRevertsAndDeletions) {
  AppliedHistory History(10);
  History.record(1s, poolAt(6));
  History.record(2s, poolAt(3));
  History.record(3s, {});
  ASSERT_EQ(History.changes().size(), 3U);
  EXPECT_EQ(History.changes()[1].m_Revision, Revision{3});
  EXPECT_EQ(History.changes()[2].m_Revision, Revision{});
}

TEST(AppliedHistory, IsBoundedAndCountsDroppedChanges) {
  AppliedHistory History(4);
  for (std::uint64_t I = 1; I <= 9; ++I)
    History.record(1s, poolAt(I));
  EXPECT_EQ(History.changes().size(), 4U);
  EXPECT_EQ(History.changes().front().m_Order, 6U);
  EXPECT_EQ(History.total(), 9U);
}

} // namespace
