#include "deckpitch/event-stream.h"

#include <gtest/gtest.h>

#include <vector>

using namespace deckpitch;

namespace {

std::vector<StreamEvent> cut(const std::string &Text, std::size_t Step) {
  EventStreamSplitter Splitter;
  std::vector<StreamEvent> Out;
  for (std::size_t At = 0; At < Text.size(); At += Step) {
    Splitter.add(std::string_view(Text).substr(At, Step));
    while (auto Event = Splitter.next())
      Out.push_back(std::move(*Event));
  }
  return Out;
}

const std::string Two =
    "id: 7\ndata: a\n\nweight: 2\r\nid:8\r\ndata: b\r\n\r\n";

TEST(EventStream, SplitsEventsRegardlessOfPieceSize) {
  for (std::size_t Step = 1; Step <= Two.size(); ++Step) {
    const std::vector<StreamEvent> Events = cut(Two, Step);
    ASSERT_EQ(Events.size(), 2U) << "step " << Step;
    EXPECT_EQ(Events[0], (StreamEvent{"id: 7\ndata: a\n\n", 7}));
    EXPECT_EQ(Events[0].m_Bytes + Events[1].m_Bytes, Two);
    EXPECT_EQ(Events[1].m_Id, 8U);
  }
}

/// Each event that was taken moved the rest of the buffer, and was searched for
/// in all of it: 64 KiB of blank lines took an entry 9 s.
TEST(EventStream, ManySmallEventsTakeTimeInProportionToTheirBytes) {
  constexpr std::size_t Count = 4'000'000;
  EventStreamSplitter Splitter;
  Splitter.add(std::string(2 * Count, '\n'));
  std::size_t Taken = 0;
  while (Splitter.next())
    ++Taken;
  EXPECT_EQ(Taken, Count);
  EXPECT_FALSE(Splitter.hasPartialEvent());
}

TEST(EventStream, BuffersIncompleteEvent) {
  EventStreamSplitter Splitter;
  Splitter.add("id: 1\n\nid: 2\ndata: x");
  EXPECT_EQ(Splitter.next()->m_Id, 1U);
  EXPECT_FALSE(Splitter.next());
  EXPECT_TRUE(Splitter.hasPartialEvent());
  EXPECT_EQ(Splitter.part(), "id: 2\ndata: x");
  Splitter.clear();
  EXPECT_FALSE(Splitter.hasPartialEvent());
}

TEST(EventStream, PartialBytesAreThoseAfterTheLastEvent) {
  EventStreamSplitter Splitter;
  EXPECT_EQ(Splitter.partialBytes(), 0U);
  EXPECT_FALSE(Splitter.hasEvent());
  Splitter.add("data: a\r\n\r");
  EXPECT_EQ(Splitter.partialBytes(), 10U);
  EXPECT_FALSE(Splitter.hasEvent());
  Splitter.add("\n");
  EXPECT_EQ(Splitter.partialBytes(), 0U);
  EXPECT_TRUE(Splitter.hasEvent());
  Splitter.add("data: b\n\nid");
  EXPECT_EQ(Splitter.partialBytes(), 2U);
}

TEST(EventStream, LineEndsAfterAnEventAreNoPartOfAnother) {
  EventStreamSplitter Splitter;
  Splitter.add("data: a\n\n\r\n");
  EXPECT_EQ(Splitter.partialBytes(), 0U);
  EXPECT_TRUE(Splitter.next());
  EXPECT_EQ(Splitter.partialBytes(), 0U);
}

TEST(EventStream, EventWithoutNumericIdHasNoId) {
  EXPECT_EQ(cut("id: x\n\n", 3).front().m_Id, std::nullopt);
  EXPECT_EQ(cut("data: id: 4\n\n", 3).front().m_Id, std::nullopt);
}

} // namespace
