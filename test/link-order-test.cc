// Which datagrams of one sender are accepted as new.
#include "direct/state-link.h"

#include <gtest/gtest.h>

#include <optional>

using namespace deckpitch;
using namespace std::chrono_literals;
using direct::LinkOrder;
using direct::LivenessProof;

namespace {

wire::LinkMessage messageOf(std::uint64_t Incarnation, std::uint64_t Sequence) {
  wire::LinkMessage Out;
  Out.set_incarnation(Incarnation);
  Out.set_sequence(Sequence);
  return Out;
}

TEST(LinkOrder, RejectsOlderMessagesOfOneProcess) {
  LinkOrder Receiver;
  EXPECT_TRUE(Receiver.isNewer(messageOf(7, 1)));
  EXPECT_TRUE(Receiver.isNewer(messageOf(7, 3)));
  EXPECT_FALSE(Receiver.isNewer(messageOf(7, 2)));
  EXPECT_FALSE(Receiver.isNewer(messageOf(7, 3)));
  EXPECT_TRUE(Receiver.isNewer(messageOf(8, 1)));
  EXPECT_FALSE(Receiver.isNewer(messageOf(7, 4)));
}

/// One incarnation of a sending process. Send times are on a clock common to
/// all in this test; a message arrives when the test passes it on.
class Sender {
public:
  Sender(std::uint64_t Incarnation, Duration ClockStart)
      : m_Incarnation(Incarnation), m_ClockStart(ClockStart) {}

  wire::LinkMessage sendAt(Duration At) {
    wire::LinkMessage Out = messageOf(m_Incarnation, ++m_Sequence);
    Out.set_sent_us(static_cast<std::uint64_t>((m_ClockStart + At) / 1us));
    return Out;
  }

private:
  std::uint64_t m_Incarnation;
  Duration m_ClockStart; ///< a reboot resets the clock
  std::uint64_t m_Sequence = 0;
};

/// Interval of agents' reports without changes.
constexpr Duration ReportInterval = 240ms;
/// Somewhat above the longest transit time seen in days with full links.
constexpr Duration MaxTransit = 2s;
constexpr std::uint64_t Known = 1'000'000;
constexpr std::uint64_t SetBack = 900'000;

/// Sends from From to To; returns when a message was first accepted.
std::optional<Duration> sendSpan(LinkOrder &Receiver, Sender &Of, Duration From,
                                 Duration To) {
  std::optional<Duration> First;
  for (Duration At = From; At < To; At += ReportInterval)
    if (Receiver.isNewer(Of.sendAt(At)) && !First)
      First = At;
  return First;
}

/// Guards against ignoring a process whose clock was set back before its start.
/// Its incarnation, taken from that clock, is smaller than the earlier one: all
/// its messages counted as old until the clock had caught up, and others took
/// it for gone and sent it nothing.
TEST(LinkOrder, AcceptsAProcessWhoseClockWasSetBackBeforeItsStart) {
  LinkOrder Receiver;
  Sender Before(Known, 100s);
  Sender After(SetBack, 3s);
  EXPECT_EQ(sendSpan(Receiver, Before, 0s, 24s), 0s);
  const auto Accepted = sendSpan(Receiver, After, 24s, 48s);
  ASSERT_TRUE(Accepted);
  EXPECT_LE(*Accepted, 24s + LivenessProof + ReportInterval);
  // From then on each message counts, and only once.
  const wire::LinkMessage Message = After.sendAt(48s);
  EXPECT_TRUE(Receiver.isNewer(Message));
  EXPECT_FALSE(Receiver.isNewer(Message));
}

/// Hellos to a silent entry are sent every 3 s.
TEST(LinkOrder, AcceptsAnIncarnationAtTheSecondHelloToASilentEntry) {
  LinkOrder Receiver;
  Sender Before(Known, 100s);
  Sender After(SetBack, 3s);
  EXPECT_TRUE(Receiver.isNewer(Before.sendAt(0s)));
  EXPECT_FALSE(Receiver.isNewer(After.sendAt(10s)));
  EXPECT_TRUE(Receiver.isNewer(After.sendAt(13s)));
}

/// A clock that was ahead at one start and right at the next: the incarnation
/// of that start is the largest, and those after it are ordered among
/// themselves.
TEST(LinkOrder, AcceptsAProcessAfterOneWhoseClockWasAhead) {
  constexpr std::uint64_t Ahead = 9'000'000;
  LinkOrder Receiver;
  Sender First(Known, 100s);
  Sender Second(Ahead, 100s);
  Sender Third(Known + 2, 100s);
  Sender Fourth(Known + 3, 100s);
  EXPECT_EQ(sendSpan(Receiver, First, 0s, 5s), 0s);
  EXPECT_EQ(sendSpan(Receiver, Second, 5s, 10s), 5s);
  const auto Accepted = sendSpan(Receiver, Third, 10s, 15s);
  ASSERT_TRUE(Accepted);
  EXPECT_LE(*Accepted, 10s + LivenessProof + ReportInterval);
  EXPECT_EQ(sendSpan(Receiver, Fourth, 15s, 20s), 15s);
  EXPECT_FALSE(Receiver.isNewer(Second.sendAt(10s)));
  EXPECT_TRUE(Receiver.isNewer(Fourth.sendAt(20s)));
}

/// The last messages of a dead process, delayed in a queue, arrive between the
/// first of the next one. Once the new incarnation is accepted, no message of
/// the earlier one is, whichever of the two is larger.
TEST(LinkOrder, LateMessagesOfAnEarlierIncarnationAreRejected) {
  for (const std::uint64_t Next : {Known + 1, SetBack}) {
    LinkOrder Receiver;
    Sender Before(Known, 100s);
    Sender After(Next, 3s);
    sendSpan(Receiver, Before, 0s, 24s);
    std::optional<Duration> AcceptedAt;
    for (Duration At = 24s; At < 36s; At += ReportInterval) {
      if (Receiver.isNewer(After.sendAt(At)) && !AcceptedAt)
        AcceptedAt = At;
      if (At >= 24s + MaxTransit)
        continue;
      const bool IsEarlierAccepted =
          Receiver.isNewer(Before.sendAt(At - MaxTransit));
      EXPECT_FALSE(IsEarlierAccepted && AcceptedAt) << Next << " " << At / 1ms;
    }
    ASSERT_TRUE(AcceptedAt) << Next;
    // The first message of the proof may be sent a ReportInterval after the
    // last late one arrives.
    EXPECT_LE(*AcceptedAt,
              24s + MaxTransit + LivenessProof + 2 * ReportInterval)
        << Next;
    // Later than any datagram was seen to arrive.
    for (Duration At = 22s; At < 24s; At += ReportInterval)
      EXPECT_FALSE(Receiver.isNewer(Before.sendAt(At))) << Next;
    EXPECT_TRUE(Receiver.isNewer(After.sendAt(36s))) << Next;
  }
}

/// A receiver that was paused for long reads all queued messages at once, late
/// ones of an earlier incarnation before those of the known one.
TEST(LinkOrder, APauseOfTheReceiverIsNoProof) {
  LinkOrder Receiver;
  Sender Before(SetBack, 100s);
  Sender Now(Known, 3s);
  EXPECT_TRUE(Receiver.isNewer(Now.sendAt(24s)));
  for (Duration At = 22s; At < 24s; At += ReportInterval)
    EXPECT_FALSE(Receiver.isNewer(Before.sendAt(At)));
  EXPECT_TRUE(Receiver.isNewer(Now.sendAt(24s + ReportInterval)));
}

} // namespace
