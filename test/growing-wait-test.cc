#include "deckpitch/growing-wait.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};
constexpr Duration First = 6s;
constexpr Duration Max = 24s;

/// Returns when the process with that seed reads, within Length of the start.
std::vector<TimePoint> readsOf(unsigned Seed, Duration Length) {
  std::minstd_rand Random(Seed);
  GrowingWait Wait(First, Max);
  Wait.begin(Start, Random);
  std::vector<TimePoint> Out;
  for (TimePoint Now = Start; Now < Start + Length; Now += 50ms) {
    if (!Wait.isOver(Now))
      continue;
    Out.push_back(Now);
    Wait.begin(Now, Random);
  }
  return Out;
}

/// 352 agents read a whole declaration at the same moment, every three seconds,
/// over the links between regions.
TEST(GrowingWait, ProcessesThatStartTogetherDoNotReadTogether) {
  constexpr unsigned Processes = 352;
  std::vector<TimePoint> All;
  for (unsigned Seed = 1; Seed <= Processes; ++Seed)
    for (const TimePoint Each : readsOf(Seed, 60s))
      All.push_back(Each);
  std::sort(All.begin(), All.end());
  std::size_t Most = 0;
  for (std::size_t First = 0, Last = 0; Last < All.size(); ++Last) {
    while (All[Last] - All[First] >= 500ms)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  EXPECT_LT(Most, Processes / 3);
  EXPECT_LT(All.size(), 6 * Processes);
}

TEST(GrowingWait, DoublesUpToItsMaximum) {
  std::minstd_rand Random(1);
  GrowingWait Wait(First, Max);
  EXPECT_TRUE(Wait.isOver(Start));
  for (const Duration Length : {First, 2 * First, Max, Max}) {
    Wait.begin(Start, Random);
    EXPECT_FALSE(Wait.isOver(Start + Length / 2 - 1ms));
    EXPECT_TRUE(Wait.isOver(Start + Length));
  }
  Wait.reset();
  Wait.begin(Start, Random);
  EXPECT_TRUE(Wait.isOver(Start + First));
}

} // namespace
