#include "deckpitch/relay-choice.h"

#include "deckpitch/random-weight.h"

#include <gtest/gtest.h>
#include <xxhash.h>

#include <algorithm>
#include <random>
#include <set>

using namespace deckpitch;

namespace {

const DataCentreId Here{"here"};
const DataCentreId There{"there"};
constexpr int EntriesHere = 30;

std::vector<EntryCandidate> entriesOf(const DataCentreId &In, int Count) {
  std::vector<EntryCandidate> Out(static_cast<std::size_t>(Count));
  for (std::size_t I = 0; I < Out.size(); ++I)
    Out[I] = {{In.m_Text + "-" + std::to_string(I)}, In};
  return Out;
}

std::vector<EntryCandidate> without(std::vector<EntryCandidate> Live,
                                    const InstanceId &Gone) {
  std::erase_if(Live, [&](const auto &Each) { return Each.m_Id == Gone; });
  return Live;
}

bool holds(const std::vector<InstanceId> &Ids, const InstanceId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

TEST(RelayChoice, DependsNeitherOnOrderNorOtherDataCentres) {
  std::vector<EntryCandidate> Live = entriesOf(Here, EntriesHere);
  const std::vector<InstanceId> Chosen = chooseRelays(Here, Live);
  ASSERT_EQ(Chosen.size(), RelaysPerDataCentre);
  EXPECT_NE(Chosen[0], Chosen[1]);
  for (const EntryCandidate &Each : entriesOf(There, EntriesHere))
    Live.push_back(Each);
  std::minstd_rand Random(1);
  for (int I = 0; I < 100; ++I) {
    std::shuffle(Live.begin(), Live.end(), Random);
    EXPECT_EQ(chooseRelays(Here, Live), Chosen);
  }
}

TEST(RelayChoice, FewerEntriesGiveFewerRelays) {
  const auto CountOf = [](int Entries) {
    return chooseRelays(Here, entriesOf(Here, Entries)).size();
  };
  EXPECT_EQ(CountOf(0), 0U);
  EXPECT_EQ(CountOf(1), 1U);
  EXPECT_EQ(CountOf(2), 2U);
  EXPECT_EQ(CountOf(3), 2U);
  EXPECT_TRUE(chooseRelays(There, entriesOf(Here, EntriesHere)).empty());
}

TEST(RelayChoice, DuplicateEntryCountsOnce) {
  std::vector<EntryCandidate> Twice = entriesOf(Here, 1);
  Twice.push_back(Twice.front());
  EXPECT_EQ(chooseRelays(Here, Twice).size(), 1U);
}

TEST(RelayChoice, DeathMovesOnlyItsOwnRole) {
  const std::vector<EntryCandidate> Live = entriesOf(Here, EntriesHere);
  const std::vector<InstanceId> Before = chooseRelays(Here, Live);
  for (const EntryCandidate &Gone : Live) {
    const auto After = chooseRelays(Here, without(Live, Gone.m_Id));
    ASSERT_EQ(After.size(), RelaysPerDataCentre);
    EXPECT_FALSE(holds(After, Gone.m_Id));
    EXPECT_TRUE(holds(Before, Gone.m_Id) || After == Before);
    for (const InstanceId &Each : Before)
      EXPECT_TRUE(Each == Gone.m_Id || holds(After, Each));
  }
}

TEST(RelayChoice, RolesAreSpreadOverEntries) {
  std::set<InstanceId> Chosen;
  for (int I = 0; I < EntriesHere; ++I) {
    const DataCentreId Each{"dc-" + std::to_string(I)};
    std::vector<EntryCandidate> Live = entriesOf(Here, EntriesHere);
    for (EntryCandidate &Entry : Live)
      Entry.m_DataCentre = Each;
    for (const InstanceId &Id : chooseRelays(Each, Live))
      Chosen.insert(Id);
  }
  // Of 60 relay roles among 30 entries, 26 entries have one on average.
  EXPECT_GE(Chosen.size(), 20U);
}

TEST(RelayChoice, WeightsMatchEarlierReleases) {
  const std::string Text = "agent-1/entry-2";
  EXPECT_EQ(randomWeight("agent-1", "entry-2"),
            XXH64(Text.data(), Text.size(), 0));
}

} // namespace
