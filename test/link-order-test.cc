// Which datagrams of one sender are new.
#include "direct/state-link.h"

#include <gtest/gtest.h>

#include <optional>

using namespace deckpitch;
using namespace std::chrono_literals;
using direct::LifeProof;
using direct::LinkOrder;

namespace {

wire::LinkMessage messageOf(std::uint64_t Incarnation, std::uint64_t Sequence) {
  wire::LinkMessage Out;
  Out.set_incarnation(Incarnation);
  Out.set_sequence(Sequence);
  return Out;
}

TEST(LinkOrder, OlderMessagesOfOneProcessAreLeft) {
  LinkOrder Under;
  EXPECT_TRUE(Under.isNewer(messageOf(7, 1)));
  EXPECT_TRUE(Under.isNewer(messageOf(7, 3)));
  EXPECT_FALSE(Under.isNewer(messageOf(7, 2)));
  EXPECT_FALSE(Under.isNewer(messageOf(7, 3)));
  EXPECT_TRUE(Under.isNewer(messageOf(8, 1)));
  EXPECT_FALSE(Under.isNewer(messageOf(7, 4)));
}

/// One life of a process, which speaks at moments of a clock that all share
/// here; its words are taken when the test hands them over.
class Life {
public:
  Life(std::uint64_t Incarnation, Duration ClockStart)
      : m_Incarnation(Incarnation), m_ClockStart(ClockStart) {}

  wire::LinkMessage speakAt(Duration At) {
    wire::LinkMessage Out = messageOf(m_Incarnation, ++m_Sequence);
    Out.set_sent_us(static_cast<std::uint64_t>((m_ClockStart + At) / 1us));
    return Out;
  }

private:
  std::uint64_t m_Incarnation;
  Duration m_ClockStart; ///< a machine that started again begins anew
  std::uint64_t m_Sequence = 0;
};

/// The span of agents' reports that say nothing new.
constexpr Duration Span = 240ms;
/// The latest that a datagram came in days with full links, and some more.
constexpr Duration LatestWay = 2s;
constexpr std::uint64_t Known = 1'000'000;
constexpr std::uint64_t SetBack = 900'000;

/// Speaks from one moment to another. Gives when it was taken first.
std::optional<Duration> hear(LinkOrder &Under, Life &Of, Duration From,
                             Duration To) {
  std::optional<Duration> First;
  for (Duration At = From; At < To; At += Span)
    if (Under.isNewer(Of.speakAt(At)) && !First)
      First = At;
  return First;
}

/// A process takes its incarnation from its machine's clock. Where that was set
/// back before a start, all that the new process said counted as old, until the
/// clock had caught up: the others took it for gone and told it nothing.
TEST(LinkOrder, AProcessWhoseClockWasSetBackBeforeItsStartIsHeard) {
  LinkOrder Under;
  Life Before(Known, 100s);
  Life After(SetBack, 3s);
  EXPECT_EQ(hear(Under, Before, 0s, 24s), 0s);
  const auto Heard = hear(Under, After, 24s, 48s);
  ASSERT_TRUE(Heard);
  EXPECT_LE(*Heard, 24s + LifeProof + Span);
  // From then on each word counts, and only once.
  const wire::LinkMessage Word = After.speakAt(48s);
  EXPECT_TRUE(Under.isNewer(Word));
  EXPECT_FALSE(Under.isNewer(Word));
}

/// An entry that is not heard is told hellos each 3 s.
TEST(LinkOrder, TheSecondHelloToASilentEntryProvesALife) {
  LinkOrder Under;
  Life Before(Known, 100s);
  Life After(SetBack, 3s);
  EXPECT_TRUE(Under.isNewer(Before.speakAt(0s)));
  EXPECT_FALSE(Under.isNewer(After.speakAt(10s)));
  EXPECT_TRUE(Under.isNewer(After.speakAt(13s)));
}

/// A clock that was ahead at one start and right at the next: the life between
/// is the largest there is, and those after it are ordered among themselves.
TEST(LinkOrder, AProcessAfterOneWhoseClockWasAheadIsHeard) {
  constexpr std::uint64_t Ahead = 9'000'000;
  LinkOrder Under;
  Life First(Known, 100s);
  Life Second(Ahead, 100s);
  Life Third(Known + 2, 100s);
  Life Fourth(Known + 3, 100s);
  EXPECT_EQ(hear(Under, First, 0s, 5s), 0s);
  EXPECT_EQ(hear(Under, Second, 5s, 10s), 5s);
  const auto Heard = hear(Under, Third, 10s, 15s);
  ASSERT_TRUE(Heard);
  EXPECT_LE(*Heard, 10s + LifeProof + Span);
  EXPECT_EQ(hear(Under, Fourth, 15s, 20s), 15s);
  EXPECT_FALSE(Under.isNewer(Second.speakAt(10s)));
  EXPECT_TRUE(Under.isNewer(Fourth.speakAt(20s)));
}

/// What a dead process sent last comes between the first words of the next one,
/// by a queue that delays it. Once the new life is taken nothing of the former
/// one is, whichever of the two has the larger number.
TEST(LinkOrder, LateWordsOfTheFormerLifeNeitherReplaceNorAlternate) {
  for (const std::uint64_t Next : {Known + 1, SetBack}) {
    LinkOrder Under;
    Life Before(Known, 100s);
    Life After(Next, 3s);
    hear(Under, Before, 0s, 24s);
    std::optional<Duration> Taken;
    for (Duration At = 24s; At < 36s; At += Span) {
      if (Under.isNewer(After.speakAt(At)) && !Taken)
        Taken = At;
      if (At >= 24s + LatestWay)
        continue;
      const bool IsFormerTaken = Under.isNewer(Before.speakAt(At - LatestWay));
      EXPECT_FALSE(IsFormerTaken && Taken) << Next << " " << At / 1ms;
    }
    ASSERT_TRUE(Taken) << Next;
    // The first word of the proof may come a span after the last late one.
    EXPECT_LE(*Taken, 24s + LatestWay + LifeProof + 2 * Span) << Next;
    // Later still than any was seen to come.
    for (Duration At = 22s; At < 24s; At += Span)
      EXPECT_FALSE(Under.isNewer(Before.speakAt(At))) << Next;
    EXPECT_TRUE(Under.isNewer(After.speakAt(36s))) << Next;
  }
}

/// A receiver that stood still for long reads at one moment all that came
/// meanwhile, late words of a former life before those of the known one.
TEST(LinkOrder, APauseOfTheReceiverProvesNothing) {
  LinkOrder Under;
  Life Before(SetBack, 100s);
  Life Now(Known, 3s);
  EXPECT_TRUE(Under.isNewer(Now.speakAt(24s)));
  for (Duration At = 22s; At < 24s; At += Span)
    EXPECT_FALSE(Under.isNewer(Before.speakAt(At)));
  EXPECT_TRUE(Under.isNewer(Now.speakAt(24s + Span)));
}

} // namespace
