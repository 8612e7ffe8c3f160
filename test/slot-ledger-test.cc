#include "deckpitch/slot-ledger.h"

#include <gtest/gtest.h>

#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};
/// A stream of 1,000 prompt tokens at an engine with passes of 43 ms.
constexpr PlaceQuery Usual{16, 0, 85ms, 32ms, 43ms, 255ms};

/// An engine as its vendor documents it: a pass prefills all prompts that
/// arrived during the previous one, and gives their first tokens at its end.
class PassEngine {
public:
  void send(TimePoint Now) {
    runUntil(Now);
    m_Waiting.push_back(Now);
    if (m_PassEnd <= Now)
      beginPass(Now);
  }
  void runUntil(TimePoint Now) {
    while (m_PassEnd <= Now && (!m_Reading.empty() || !m_Waiting.empty())) {
      for (const TimePoint Sent : m_Reading)
        m_FirstTokens.push_back(m_PassEnd - Sent);
      m_Reading.clear();
      if (!m_Waiting.empty())
        beginPass(m_PassEnd);
    }
  }
  const std::vector<Duration> &firstTokens() const { return m_FirstTokens; }

private:
  void beginPass(TimePoint Now) {
    m_Reading = std::move(m_Waiting);
    m_Waiting.clear();
    m_PassEnd = Now + Usual.m_WriteTime +
                Usual.m_ReadTime * static_cast<int>(m_Reading.size());
  }

  TimePoint m_PassEnd{};
  std::vector<TimePoint> m_Waiting;
  std::vector<TimePoint> m_Reading;
  std::vector<Duration> m_FirstTokens;
};

int lateOf(const PassEngine &Engine) {
  int Late = 0;
  for (const Duration Each : Engine.firstTokens())
    Late += Each > 300ms;
  return Late;
}

/// Nine entries see one instance that has just loaded its weights, and
/// repeatedly send it one prompt each within a few milliseconds.
TEST(SlotLedger, BurstAtFreshInstanceMeetsObjective) {
  PassEngine WithLedger;
  PassEngine WithoutLedger;
  SlotLedger Ledger;
  int Granted = 0;
  for (int Ms = 0; Ms < 800; Ms += 4) {
    const TimePoint Now = Start + std::chrono::milliseconds(Ms);
    if (Ms % 50 == 0)
      Ledger.reported(static_cast<std::uint32_t>(Granted), Now);
    if (Granted < 16 && Ledger.grant(Usual, Now)) {
      ++Granted;
      WithLedger.send(Now);
    }
    if (Ms < 16 * 4)
      WithoutLedger.send(Now);
  }
  WithLedger.runUntil(Start + 5s);
  WithoutLedger.runUntil(Start + 5s);
  EXPECT_EQ(Granted, 16);
  EXPECT_EQ(lateOf(WithLedger), 0);
  // Sixteen prompts at once, as sent by entries that do not ask the agent.
  EXPECT_GE(lateOf(WithoutLedger), 10);
}

TEST(SlotLedger, CountsGrantsNotYetReported) {
  SlotLedger Ledger;
  Ledger.reported(14, Start);
  EXPECT_TRUE(Ledger.grant(Usual, Start + 40ms));
  EXPECT_EQ(Ledger.held(), 15U);
  // Reported while the request was still in transit.
  Ledger.reported(14, Start + 45ms);
  EXPECT_EQ(Ledger.held(), 15U);
  Ledger.reported(15, Start + 95ms);
  EXPECT_EQ(Ledger.held(), 15U);
}

TEST(SlotLedger, FullInstanceQueuesWithinObjective) {
  SlotLedger Ledger;
  Ledger.reported(16, Start);
  PlaceQuery Relaxed = Usual;
  Relaxed.m_FirstWithin = 400ms;
  PlaceQuery Urgent = Usual;
  Urgent.m_FirstWithin = 150ms;
  EXPECT_FALSE(Ledger.grant(Urgent, Start));
  for (int I = 0; I < 3; ++I)
    EXPECT_TRUE(Ledger.grant(Relaxed, Start));
  // The fourth freed slot, after the prompts of the three before it.
  EXPECT_FALSE(Ledger.grant(Relaxed, Start));
}

TEST(SlotLedger, LongObjectiveDoesNotFillQueue) {
  SlotLedger Ledger;
  Ledger.reported(16, Start);
  PlaceQuery Any = Usual;
  Any.m_FirstWithin = 60s;
  int Granted = 0;
  while (Granted < 100 && Ledger.grant(Any, Start))
    ++Granted;
  EXPECT_EQ(Granted, 4); // A quarter of the slots.
}

TEST(SlotLedger, LaterPromptDoesNotDelayEarlierOne) {
  SlotLedger Ledger;
  Ledger.reported(4, Start);
  PlaceQuery Urgent = Usual;
  Urgent.m_FirstWithin = 130ms;
  PlaceQuery Relaxed = Usual;
  Relaxed.m_FirstWithin = 10s;
  ASSERT_TRUE(Ledger.grant(Urgent, Start + 100ms));
  EXPECT_FALSE(Ledger.grant(Relaxed, Start + 100ms));
  // The next pass has a limit of its own.
  EXPECT_TRUE(Ledger.grant(Relaxed, Start + 200ms));
}

TEST(SlotLedger, ReservedSlotStaysFree) {
  SlotLedger Ledger;
  Ledger.reported(14, Start);
  PlaceQuery Modest = Usual;
  Modest.m_FirstWithin = 150ms;
  Modest.m_Reserve = 3;
  EXPECT_FALSE(Ledger.grant(Modest, Start));
  Modest.m_Reserve = 1;
  EXPECT_TRUE(Ledger.grant(Modest, Start));
}

/// An agent knows when its instance will be ordered to load other weights.
/// Requests that were granted slots just before waited at the instance until
/// the order came and were refused: granted at 22.022, ordered and refused at
/// 22.159.
TEST(SlotLedger, NoGrantAfterInstanceCloses) {
  SlotLedger Ledger;
  Ledger.reported(4, Start);
  PlaceQuery Relaxed = Usual;
  Relaxed.m_FirstWithin = 400ms;
  const TimePoint Now = Start + 100ms;
  EXPECT_FALSE(Ledger.grant(Relaxed, Now, Now));
  EXPECT_FALSE(Ledger.grant(Relaxed, Now, Now + 20ms));
  EXPECT_TRUE(Ledger.grant(Relaxed, Now, Now + 400ms));
  EXPECT_EQ(Ledger.held(), 5U);
}

/// An agent refused slots at an idle instance until it was restarted. It had
/// granted one to a request without a prompt, and applied that request's
/// deadline to all later ones.
TEST(SlotLedger, GrantWithoutPromptDoesNotLimitLaterOnes) {
  SlotLedger Ledger;
  Ledger.reported(0, Start);
  PlaceQuery Bare = Usual;
  Bare.m_ReadTime = {};
  ASSERT_TRUE(Ledger.grant(Bare, Start));
  const TimePoint Later = Start + Bare.m_FirstWithin + 1s;
  Ledger.reported(0, Later);
  EXPECT_TRUE(Ledger.grant(Usual, Later));
}

} // namespace
