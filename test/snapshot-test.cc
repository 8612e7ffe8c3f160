#include "deckpitch/snapshot.h"

#include <gtest/gtest.h>

#include <thread>
#include <vector>

using namespace deckpitch;

namespace {

struct Pair {
  std::uint64_t m_First = 0;
  std::uint64_t m_Second = 0;
};

TEST(Snapshot, ReaderSeesNewestPublishedValue) {
  SnapshotCell<int> Cell(std::make_shared<const int>(1));
  SnapshotReader<int> Reader(Cell);
  EXPECT_EQ(*Reader.get(), 1);
  Cell.publish(std::make_shared<const int>(2));
  EXPECT_EQ(*Reader.get(), 2);
  EXPECT_EQ(*Cell.load(), 2);
}

TEST(Snapshot, ValueLivesWhileReferenced) {
  SnapshotCell<int> Cell(std::make_shared<const int>(1));
  const std::shared_ptr<const int> Held = Cell.load();
  Cell.publish(std::make_shared<const int>(2));
  EXPECT_EQ(*Held, 1);
}

// Readers must never see torn or older values. Also run under ThreadSanitizer.
TEST(Snapshot, ConcurrentReadersSeeConsistentValuesInOrder) {
  constexpr std::uint64_t Last = 20'000;
  SnapshotCell<Pair> Cell;
  std::atomic<int> Faults{0};
  {
    std::vector<std::jthread> Readers;
    Readers.reserve(8);
    for (int I = 0; I < 8; ++I)
      Readers.emplace_back([&] {
        SnapshotReader<Pair> Reader(Cell);
        std::uint64_t Seen = 0;
        while (Seen < Last) {
          const std::shared_ptr<const Pair> Value = Reader.get();
          if (Value->m_First != Value->m_Second || Value->m_First < Seen)
            ++Faults;
          Seen = std::max(Seen, Value->m_First);
        }
      });
    for (std::uint64_t Version = 1; Version <= Last; ++Version)
      Cell.publish(std::make_shared<const Pair>(Pair{Version, Version}));
  }
  EXPECT_EQ(Faults, 0);
}

} // namespace
