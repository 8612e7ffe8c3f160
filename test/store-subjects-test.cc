#include "deckpitch/store-subjects.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1h};
const Error Unreadable{ErrorCode::InvalidInput, "expected a JSON object"};

StoreSubjects declarationAndInstances() {
  StoreSubjects Out(Start);
  Out.require("declaration");
  Out.require("instances");
  return Out;
}

/// An entry that never gets ready must tell what it waits for.
TEST(StoreSubjects, TellsWhatIsLackingAndWhy) {
  StoreSubjects All = declarationAndInstances();
  All.received("declaration");
  All.failed("instances", Unreadable, Start + 1s);
  All.failed("instances", Unreadable, Start + 2s);
  const std::vector<LackingSubject> Lacking{
      {"instances", 12s, 2, "expected a JSON object"}};
  EXPECT_EQ(All.lacking(Start + 12s), Lacking);
  EXPECT_FALSE(All.isComplete());
  All.received("instances");
  EXPECT_TRUE(All.isComplete());
}

/// Reads of one subject must not hide that those of another keep failing.
TEST(StoreSubjects, OutagesOfSubjectsAreApart) {
  StoreSubjects All = declarationAndInstances();
  EXPECT_TRUE(All.failed("instances", Unreadable, Start + 1s));
  EXPECT_EQ(All.succeeded("declaration", Start + 2s), EndedOutage{});
  EXPECT_FALSE(All.failed("instances", Unreadable, Start + 3s));
  EXPECT_EQ(All.succeeded("instances", Start + 5s), (EndedOutage{4s, 2}));
  EXPECT_TRUE(All.failed("instances", Unreadable, Start + 6s));
}

TEST(StoreSubjects, OnlyRequiredOnesAreLacking) {
  StoreSubjects All = declarationAndInstances();
  All.received("declaration");
  All.received("instances");
  All.failed("weights", Unreadable, Start + 1s);
  EXPECT_TRUE(All.isComplete());
}

} // namespace
