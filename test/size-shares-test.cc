#include "deckpitch/size-shares.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

/// Plays back requests of sizes 1 to 100. A request is admitted if its reserve
/// does not exceed the number of free slots.
struct Playback {
  SizeShares m_Shares;
  std::array<int, 3> m_Arrived{};
  std::array<int, 3> m_Admitted{};

  void play(int Requests, int FreeSlots) {
    for (int I = 0; I < Requests; ++I) {
      const double Size = 1 + (I * 37) % 100;
      const std::size_t Band = Size > 90 ? 2 : Size > 70 ? 1 : 0;
      m_Shares.arrived(Size);
      ++m_Arrived[Band];
      if (m_Shares.reserve(Size) > FreeSlots)
        continue;
      m_Shares.admitted(Size);
      ++m_Admitted[Band];
    }
  }
  double share(std::size_t Band) const {
    return static_cast<double>(m_Admitted[Band]) / m_Arrived[Band];
  }
};

TEST(SizeShares, SmallRequestsLeaveNoSlotsFree) {
  Playback Played;
  Played.play(500, 0);
  EXPECT_EQ(Played.share(0), 1);
}

TEST(SizeShares, LargeRequestsYieldButKeepMinimumShare) {
  Playback Played;
  Played.play(2'000, 0);
  const double All =
      (Played.m_Admitted[0] + Played.m_Admitted[1] + Played.m_Admitted[2]) /
      2'000.0;
  for (const std::size_t Band : {1U, 2U}) {
    EXPECT_LT(Played.share(Band), 0.9);
    EXPECT_GT(Played.share(Band), 0.5 * All);
  }
}

TEST(SizeShares, AdmitsAllSizesWhileSlotsAreFree) {
  Playback Played;
  Played.play(1'000, 5);
  EXPECT_EQ(Played.share(1), 1);
  EXPECT_EQ(Played.share(2), 1);
}

TEST(SizeShares, ReservesNothingBeforeSizesAreKnown) {
  SizeShares Shares;
  Shares.arrived(1'000'000);
  EXPECT_EQ(Shares.reserve(1'000'000), 0);
}

} // namespace
