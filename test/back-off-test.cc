#include "deckpitch/back-off.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Entries = 64;
constexpr Duration Outage = 600s;

struct Calls {
  unsigned m_During = 0;
  std::map<long, unsigned> m_After; ///< by second after the end
};

/// Simulates entries that all start at the beginning of a ten-minute outage and
/// call until the first success.
Calls outage(unsigned Seed) {
  Calls Out;
  std::mt19937_64 Random(Seed);
  for (unsigned I = 0; I < Entries; ++I) {
    unsigned Failures = 0;
    Duration At{};
    while (At < Outage) {
      ++Out.m_During;
      At += jittered(backOff(++Failures), Random);
    }
    ++Out.m_After[std::chrono::floor<std::chrono::seconds>(At - Outage)
                      .count()];
  }
  return Out;
}

TEST(BackOff, TenMinuteOutageEndsWithoutThunderingHerd) {
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    const Calls Made = outage(Seed);
    // At most one call per half of the maximum delay, plus the first few.
    EXPECT_LE(Made.m_During, Entries * (600 / 7 + 8)) << Seed;
    for (const auto &[Second, Count] : Made.m_After) {
      EXPECT_LE(Count, Entries / 4) << Seed << " in second " << Second;
      EXPECT_LT(Second, 15) << Seed;
    }
  }
}

TEST(BackOff, GrowsUpToLimit) {
  EXPECT_EQ(backOff(0), 250ms);
  EXPECT_EQ(backOff(1), 500ms);
  EXPECT_EQ(backOff(6), 15s);
  EXPECT_EQ(backOff(4'000'000'000U), 15s);
}

} // namespace
