#include "deckpitch/size-shares.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

/// Sizes 1 to 100 in turn; admitted when their band may use a full instance.
struct Playback {
  SizeShares m_Shares;
  std::array<int, 3> m_Came{};
  std::array<int, 3> m_Admitted{};

  void play(int Requests, int PlacesFree) {
    for (int I = 0; I < Requests; ++I) {
      const double Size = 1 + (I * 37) % 100;
      const std::size_t Band = Size > 90 ? 2 : Size > 70 ? 1 : 0;
      m_Shares.arrived(Size);
      ++m_Came[Band];
      if (m_Shares.reserve(Size) > PlacesFree)
        continue;
      m_Shares.admitted(Size);
      ++m_Admitted[Band];
    }
  }
  double share(std::size_t Band) const {
    return static_cast<double>(m_Admitted[Band]) / m_Came[Band];
  }
};

TEST(SizeShares, AsksNothingOfSmallRequests) {
  Playback Played;
  Played.play(500, 0);
  EXPECT_EQ(Played.share(0), 1);
}

TEST(SizeShares, PutsLargeOnesBehindButNotBelowTheirFloor) {
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

TEST(SizeShares, LetsAllInWherePlacesAreFree) {
  Playback Played;
  Played.play(1'000, 5);
  EXPECT_EQ(Played.share(1), 1);
  EXPECT_EQ(Played.share(2), 1);
}

TEST(SizeShares, PutsNobodyBehindBeforeSizesAreKnown) {
  SizeShares Shares;
  Shares.arrived(1'000'000);
  EXPECT_EQ(Shares.reserve(1'000'000), 0);
}

} // namespace
