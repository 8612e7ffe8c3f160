#include "direct/entry-peers.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace deckpitch::direct;
using namespace std::chrono_literals;

namespace {

EntryAddress addressOf(const std::string &Id, const std::string &DataCentre) {
  return {{Id}, {DataCentre}, "link-" + Id, "callers-" + Id};
}

/// Entries that send each other hellos over links that can be cut, on a
/// simulated clock.
class EntryHellos : public testing::Test {
protected:
  struct Entry {
    EntryPeers m_Peers;
    std::uint64_t m_Sequence = 0;
  };

  Entry &add(const std::string &Id, const std::string &DataCentre = "a") {
    m_Entries.push_back(
        std::make_unique<Entry>(Entry{EntryPeers(addressOf(Id, DataCentre))}));
    for (const auto &One : m_Entries)
      for (const auto &Two : m_Entries)
        One->m_Peers.addListed(Two->m_Peers.own());
    return *m_Entries.back();
  }

  void sendHello(Entry &From, const std::string &To) {
    wire::LinkMessage Message;
    Message.set_incarnation(1);
    Message.set_sequence(++From.m_Sequence);
    const EntryAddress &Own = From.m_Peers.own();
    Message.mutable_hello()->set_instance(Own.m_Id.m_Text);
    Message.mutable_hello()->set_data_centre(Own.m_DataCentre.m_Text);
    Message.mutable_hello()->set_callers(Own.m_Callers);
    Message.mutable_hello()->set_takes_callers(true);
    Message.mutable_hello()->set_interval_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            From.m_Peers.helloInterval())
            .count()));
    Message.mutable_hello()->set_known_entries(
        static_cast<std::uint32_t>(From.m_Peers.knownCount()));
    ++m_Sent;
    for (const auto &Each : m_Entries)
      if (!m_IsCut && Each->m_Peers.own().m_Link == To)
        Each->m_Peers.onHello(Message, Own.m_Link, m_Now);
  }

  static std::vector<std::string> allOf(direct::DueHellos Due) {
    Due.m_WithDigest.insert(Due.m_WithDigest.end(), Due.m_WithoutDigest.begin(),
                            Due.m_WithoutDigest.end());
    return Due.m_WithDigest;
  }

  /// Returns whether all entries counted all others as live throughout.
  bool run(Duration Length) {
    bool KnewAll = true;
    for (const TimePoint End = m_Now + Length; m_Now < End; m_Now += 100ms) {
      for (const auto &Each : m_Entries)
        for (const std::string &To : allOf(Each->m_Peers.dueHellos(m_Now)))
          sendHello(*Each, To);
      for (const auto &Each : m_Entries)
        KnewAll = KnewAll && Each->m_Peers.liveCount(m_Now) == m_Entries.size();
    }
    return KnewAll;
  }

  std::vector<std::unique_ptr<Entry>> m_Entries;
  TimePoint m_Now{1h};
  bool m_IsCut = false;
  std::size_t m_Sent = 0; ///< hellos
};

TEST_F(EntryHellos, EntriesAreLiveAgainAfterACut) {
  for (const char *Id : {"e1", "e2", "e3"})
    add(Id);
  run(2s);
  EXPECT_TRUE(run(5s));
  m_IsCut = true;
  run(8s);
  EXPECT_EQ(m_Entries.front()->m_Peers.liveCount(m_Now), 1U);
  m_IsCut = false;
  run(4s); // The first hello after a silence may take that long.
  EXPECT_TRUE(run(20s));
}

TEST_F(EntryHellos, EachEntryHasARankOfItsOwn) {
  Entry &Second = add("e2");
  Entry &First = add("e1");
  Entry &Third = add("e3");
  run(2s);
  EXPECT_EQ(First.m_Peers.ownRank(m_Now), (ReadRank{0, 0}));
  EXPECT_EQ(Second.m_Peers.ownRank(m_Now), (ReadRank{1, 1}));
  EXPECT_EQ(Third.m_Peers.ownRank(m_Now), (ReadRank{2, 2}));
  EXPECT_EQ(Third.m_Peers.group(m_Now, UpdateReach::All),
            (std::vector<std::string>{"link-e1", "link-e2"}));
  m_IsCut = true;
  run(8s);
  EXPECT_EQ(Third.m_Peers.ownRank(m_Now), (ReadRank{0, 0}));
}

TEST_F(EntryHellos, LocalEntriesAreRankedPerDataCentre) {
  add("e1", "a");
  Entry &Second = add("e2", "b");
  Entry &Third = add("e3", "a");
  Entry &Fourth = add("e4", "b");
  run(2s);
  EXPECT_EQ(Second.m_Peers.ownRank(m_Now), (ReadRank{1, 0}));
  EXPECT_EQ(Third.m_Peers.ownRank(m_Now), (ReadRank{2, 1}));
  EXPECT_EQ(Fourth.m_Peers.ownRank(m_Now), (ReadRank{3, 1}));
  EXPECT_EQ(Fourth.m_Peers.group(m_Now, UpdateReach::Local),
            std::vector<std::string>{"link-e2"});
  EXPECT_EQ(Fourth.m_Peers.group(m_Now, UpdateReach::All).size(), 3U);
  EXPECT_TRUE(Fourth.m_Peers.isLocal("link-e2"));
  EXPECT_FALSE(Fourth.m_Peers.isLocal("link-e1"));
  EXPECT_FALSE(Fourth.m_Peers.isLocal("link-unknown"));
}

TEST_F(EntryHellos, LargeFleetsShareReadsOnlyWithinADataCentre) {
  constexpr int OfEach = 40;
  for (int I = 0; I < OfEach; ++I) {
    add("a" + std::to_string(I), "a");
    add("b" + std::to_string(I), "b");
  }
  run(3s);
  EXPECT_EQ(m_Entries.front()->m_Peers.group(m_Now, UpdateReach::All).size(),
            OfEach - 1U);
  // "b0": all ids of the other data centre are smaller but do not count.
  EXPECT_EQ(m_Entries[1]->m_Peers.ownRank(m_Now), (ReadRank{0, 0}));
}

/// Hellos from each entry to each other, at intervals that grew with their
/// number, left an entry of a fleet of 547 counted as live for 22 s after its
/// death.
TEST_F(EntryHellos, HellosOfAnEntryDoNotGrowWithOtherDataCentres) {
  constexpr int OfEach = 30;
  constexpr int DataCentres = 5;
  for (int Centre = 0; Centre < DataCentres; ++Centre)
    for (int I = 0; I < OfEach; ++I)
      add(std::to_string(Centre) + "-" + std::to_string(I),
          std::to_string(Centre));
  run(5s);
  m_Sent = 0;
  run(10s);
  const std::size_t Local = 10 * m_Entries.size() * (OfEach - 1) * 10 / 3;
  EXPECT_LT(m_Sent, Local + Local / 5);
  // All entries know the local ones and two of each other data centre.
  for (const auto &Each : m_Entries) {
    EXPECT_EQ(Each->m_Peers.liveCount(m_Now), OfEach + 2U * (DataCentres - 1));
    EXPECT_EQ(Each->m_Peers.liveCentres(m_Now).size(), DataCentres);
    EXPECT_EQ(Each->m_Peers.knownCount(), m_Entries.size());
  }
}

/// The entry that counts the requests to an instance must be the same for all.
TEST_F(EntryHellos, EntriesOfAllDataCentresChooseTheSameForADuty) {
  constexpr int OfEach = 40;
  for (int I = 0; I < OfEach; ++I) {
    add("a" + std::to_string(I), "a");
    add("b" + std::to_string(I), "b");
  }
  run(5s);
  for (const auto &Each : m_Entries) {
    EXPECT_EQ(Each->m_Peers.responsibleFor("i", {"a"}, true, m_Now).m_Id.m_Text,
              "a0");
    EXPECT_EQ(Each->m_Peers.responsibleFor("i", {"b"}, true, m_Now).m_Id.m_Text,
              "b0");
  }
}

/// A data centre with few entries sends hellos more often than one with many,
/// which counted it as lost in between.
TEST_F(EntryHellos, RelaysOfUnequalDataCentresStayLive) {
  for (int I = 0; I < 100; ++I)
    add("a" + std::to_string(I), "a");
  for (int I = 0; I < 3; ++I)
    add("b" + std::to_string(I), "b");
  run(6s);
  for (int I = 0; I < 20; ++I) {
    run(500ms);
    EXPECT_EQ(m_Entries.back()->m_Peers.liveCount(m_Now), 5U);
    EXPECT_EQ(m_Entries.front()->m_Peers.liveCount(m_Now), 102U);
  }
}

} // namespace
