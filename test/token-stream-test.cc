#include "deckpitch/token-stream.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

StreamBinding bound() {
  return {.m_RequestId = "r-1", .m_Weights = {"m@1"}, .m_Digest = "abcd"};
}

struct EventCase {
  const char *m_Name;
  std::string m_Data;
  StreamFault m_Fault = StreamFault::None;
  std::string m_Content;
};

void PrintTo(const EventCase &Case, std::ostream *Out) { *Out << Case.m_Name; }

/// A complete event with the given JSON as its choices.
std::string withChoices(const std::string &Choices) {
  return R"({"id":"r-1","weights":"m@1","digest":"abcd","index":0,"choices":)" +
         Choices + "}";
}

class TokenStreamEvents : public testing::TestWithParam<EventCase> {};

// The result must not depend on how the bytes of an event are split.
TEST_P(TokenStreamEvents, AreCheckedRegardlessOfSplit) {
  const std::string Event = "data: " + GetParam().m_Data + "\n\n";
  for (std::size_t Cut = 0; Cut <= Event.size(); ++Cut) {
    TokenStreamChecker Checker(bound());
    const StreamStep First = Checker.feed(Event.substr(0, Cut));
    ASSERT_TRUE(Cut == Event.size() || First.m_Events.empty());
    const StreamStep Step =
        Cut == Event.size() ? First : Checker.feed(Event.substr(Cut));
    const bool IsGood = GetParam().m_Fault == StreamFault::None;
    ASSERT_EQ(Step.m_Fault, GetParam().m_Fault) << toText(Step.m_Fault);
    ASSERT_EQ(Step.m_Events, IsGood ? Event : "");
    ASSERT_EQ(Step.m_Content, GetParam().m_Content);
    ASSERT_EQ(Checker.nextIndex(), IsGood ? 1U : 0U);
  }
}

constexpr auto Good = StreamFault::None;
constexpr auto Malformed = StreamFault::Malformed;
constexpr auto Other = StreamFault::OtherRequest;
constexpr auto Mixed = StreamFault::MixedWeights;
constexpr auto Wrong = StreamFault::WrongIndex;

INSTANTIATE_TEST_SUITE_P(
    Table, TokenStreamEvents,
    testing::Values(
        EventCase{"Whole", withChoices(R"([{"delta":{"content":"a"}}])"), Good,
                  "a"},
        EventCase{"NoChoices",
                  R"({"id":"r-1","weights":"m@1","digest":"abcd","index":0})",
                  Good, ""},
        EventCase{"OnlyTheFirstChoiceCounts",
                  withChoices(R"([{"delta":{"content":"a"}},)"
                              R"({"delta":{"content":"b"}}])"),
                  Good, "a"},
        EventCase{"FirstChoiceIsNoObject",
                  withChoices(R"([1,{"delta":{"content":"b"}}])"), Good, ""},
        EventCase{"FirstChoiceIsAnArray",
                  withChoices(R"([[{"delta":{"content":"b"}}]])"), Good, ""},
        EventCase{"ChoicesIsAnObject",
                  withChoices(R"({"0":{"delta":{"content":"b"}}})"), Good, ""},
        EventCase{"ContentElsewhere",
                  withChoices(R"([{"content":"x","logprobs":{"delta":)"
                              R"({"content":"x"},"id":"x","index":9}}])"),
                  Good, ""},
        EventCase{"EscapedContentAndKeys",
                  R"({"\u0069d":"r\u002d1","weights":"m@1","digest":"abcd",)"
                  R"("index":0,"choices":[{"delta":{"content":)"
                  R"("a\n\"\u00e9"}}]})",
                  Good, "a\n\"\xc3\xa9"},
        EventCase{"ContentIsNull",
                  withChoices(R"([{"delta":{"content":null}}])"), Good, ""},
        EventCase{"TheLastOfTwoContentsCounts",
                  withChoices(R"([{"delta":{"content":"a","content":"b"}}])"),
                  Good, "b"},
        EventCase{"IndexIsAWholeDouble",
                  R"({"id":"r-1","weights":"m@1","digest":"abcd","index":0.0})",
                  Good, ""},
        EventCase{"OtherId",
                  R"({"id":"r-2","weights":"m@1","digest":"abcd","index":0})",
                  Other, ""},
        EventCase{"NoId", R"({"weights":"m@1","digest":"abcd","index":0})",
                  Other, ""},
        EventCase{"IdIsANumber",
                  R"({"id":1,"weights":"m@1","digest":"abcd","index":0})",
                  Other, ""},
        EventCase{"IdStandsTwice",
                  R"({"id":"r-1","weights":"m@1","digest":"abcd","index":0,)"
                  R"("id":"r-2"})",
                  Other, ""},
        EventCase{"IdOnlyDeeper",
                  R"({"x":{"id":"r-1"},"weights":"m@1","digest":"abcd",)"
                  R"("index":0})",
                  Other, ""},
        EventCase{"OtherWeights",
                  R"({"id":"r-1","weights":"m@2","digest":"abcd","index":0})",
                  Mixed, ""},
        EventCase{"OtherDigest",
                  R"({"id":"r-1","weights":"m@1","digest":"abce","index":0})",
                  Mixed, ""},
        EventCase{"NoDigest", R"({"id":"r-1","weights":"m@1","index":0})",
                  Mixed, ""},
        EventCase{"NextIndex",
                  R"({"id":"r-1","weights":"m@1","digest":"abcd","index":1})",
                  Wrong, ""},
        EventCase{"NegativeIndex",
                  R"({"id":"r-1","weights":"m@1","digest":"abcd","index":-1})",
                  Wrong, ""},
        EventCase{"BrokenIndex",
                  R"({"id":"r-1","weights":"m@1","digest":"abcd","index":0.5})",
                  Wrong, ""},
        EventCase{"IndexIsText",
                  R"({"id":"r-1","weights":"m@1","digest":"abcd","index":"0"})",
                  Wrong, ""},
        EventCase{"NoIndex", R"({"id":"r-1","weights":"m@1","digest":"abcd"})",
                  Wrong, ""},
        EventCase{"NotJson", R"({"id":"r-1",)", Malformed, ""},
        EventCase{"TwoDocuments", withChoices("[]") + " {}", Malformed, ""},
        EventCase{"AnArray", "[" + withChoices("[]") + "]", Malformed, ""},
        EventCase{"TooDeep", withChoices(std::string(40, '[')), Malformed, ""},
        EventCase{"Empty", "", Malformed, ""}),
    [](const auto &Info) { return std::string(Info.param.m_Name); });

std::string eventAt(int Index) {
  return R"(data: {"id":"r-1","weights":"m@1","digest":"abcd","index":)" +
         std::to_string(Index) + "}\n\n";
}

TEST(TokenStreamChecker, AcceptsSeveralAndPartialEventsAtOnce) {
  TokenStreamChecker Checker(bound());
  const std::string All = eventAt(0) + eventAt(1) + eventAt(2);
  const std::size_t Cut = All.size() - 5;
  const StreamStep First = Checker.feed(All.substr(0, Cut));
  EXPECT_EQ(First.m_Events, eventAt(0) + eventAt(1));
  const StreamStep Second =
      Checker.feed(All.substr(Cut) + "data: [DONE]\n\n: comment\n\n");
  EXPECT_EQ(Second.m_Events, eventAt(2));
  EXPECT_EQ(Second.m_Fault, StreamFault::None);
  EXPECT_TRUE(Checker.finished());
  EXPECT_EQ(Checker.feed(eventAt(3)).m_Fault, StreamFault::Malformed);
}

TEST(TokenStreamChecker, PassesOnEventsBeforeFault) {
  TokenStreamChecker Checker(bound());
  const StreamStep Step =
      Checker.feed(eventAt(0) + eventAt(1) + eventAt(1) + eventAt(2));
  EXPECT_EQ(Step.m_Events, eventAt(0) + eventAt(1));
  EXPECT_EQ(Step.m_Fault, StreamFault::WrongIndex);
}

TEST(TokenStreamChecker, LimitsSizeOfUnterminatedEvent) {
  TokenStreamChecker Checker(bound());
  StreamFault Fault = StreamFault::None;
  for (int I = 0; I < 100 && Fault == StreamFault::None; ++I)
    Fault = Checker.feed(std::string(1024, 'x')).m_Fault;
  EXPECT_EQ(Fault, StreamFault::Malformed);
}

} // namespace
