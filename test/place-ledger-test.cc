#include "deckpitch/place-ledger.h"

#include <gtest/gtest.h>

#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};
/// A stream of 1,000 prompt tokens at an engine with passes of 43 ms.
constexpr PlaceQuery Usual{16, 0, 85ms, 32ms, 43ms, 255ms};

/// An engine as the pages of its maker describe it: a pass reads all prompts
/// that came during the one before, and gives their first tokens at its end.
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

/// Nine entries see one instance that has just loaded its weights and send it
/// a prompt each within a few milliseconds, again and again.
TEST(PlaceLedger, ABurstAtAFreshInstanceComesInTime) {
  PassEngine Asked;
  PassEngine Unasked;
  PlaceLedger Ledger;
  int Granted = 0;
  for (int Ms = 0; Ms < 800; Ms += 4) {
    const TimePoint Now = Start + std::chrono::milliseconds(Ms);
    if (Ms % 50 == 0)
      Ledger.reported(static_cast<std::uint32_t>(Granted), Now);
    if (Granted < 16 && Ledger.grant(Usual, Now)) {
      ++Granted;
      Asked.send(Now);
    }
    if (Ms < 16 * 4)
      Unasked.send(Now);
  }
  Asked.runUntil(Start + 5s);
  Unasked.runUntil(Start + 5s);
  EXPECT_EQ(Granted, 16);
  EXPECT_EQ(lateOf(Asked), 0);
  // Sixteen prompts at once, as entries send them that do not ask.
  EXPECT_GE(lateOf(Unasked), 10);
}

TEST(PlaceLedger, CountsWhatAReportCannotShowYet) {
  PlaceLedger Ledger;
  Ledger.reported(14, Start);
  EXPECT_TRUE(Ledger.grant(Usual, Start + 40ms));
  EXPECT_EQ(Ledger.held(), 15U);
  // Read when the request was still on its way.
  Ledger.reported(14, Start + 45ms);
  EXPECT_EQ(Ledger.held(), 15U);
  Ledger.reported(15, Start + 95ms);
  EXPECT_EQ(Ledger.held(), 15U);
}

TEST(PlaceLedger, AtAFullInstanceThoseWaitWhoseObjectiveLeavesTime) {
  PlaceLedger Ledger;
  Ledger.reported(16, Start);
  PlaceQuery Patient = Usual;
  Patient.m_FirstWithin = 400ms;
  PlaceQuery Hasty = Usual;
  Hasty.m_FirstWithin = 150ms;
  EXPECT_FALSE(Ledger.grant(Hasty, Start));
  for (int I = 0; I < 3; ++I)
    EXPECT_TRUE(Ledger.grant(Patient, Start));
  // Four ends away, and the prompts of the three before it.
  EXPECT_FALSE(Ledger.grant(Patient, Start));
}

TEST(PlaceLedger, NoObjectiveFillsTheQueue) {
  PlaceLedger Ledger;
  Ledger.reported(16, Start);
  PlaceQuery Any = Usual;
  Any.m_FirstWithin = 60s;
  int Granted = 0;
  while (Granted < 100 && Ledger.grant(Any, Start))
    ++Granted;
  EXPECT_EQ(Granted, 4); // A quarter of the slots.
}

TEST(PlaceLedger, ALaterPromptDoesNotMakeAnEarlierOneLate) {
  PlaceLedger Ledger;
  Ledger.reported(4, Start);
  PlaceQuery Hasty = Usual;
  Hasty.m_FirstWithin = 130ms;
  PlaceQuery Patient = Usual;
  Patient.m_FirstWithin = 10s;
  ASSERT_TRUE(Ledger.grant(Hasty, Start + 100ms));
  EXPECT_FALSE(Ledger.grant(Patient, Start + 100ms));
  // The next pass is another one.
  EXPECT_TRUE(Ledger.grant(Patient, Start + 200ms));
}

TEST(PlaceLedger, AReservedPlaceStaysFree) {
  PlaceLedger Ledger;
  Ledger.reported(14, Start);
  PlaceQuery Modest = Usual;
  Modest.m_FirstWithin = 150ms;
  Modest.m_Reserve = 3;
  EXPECT_FALSE(Ledger.grant(Modest, Start));
  Modest.m_Reserve = 1;
  EXPECT_TRUE(Ledger.grant(Modest, Start));
}

/// An instance is ordered to load other weights at a time that its agent knows.
/// Requests that were granted places just before waited there until the order
/// came, and were refused: 22.022 granted, 22.159 ordered and refused.
TEST(PlaceLedger, WhatWouldBeginAfterTheInstanceClosesIsNotGranted) {
  PlaceLedger Ledger;
  Ledger.reported(4, Start);
  PlaceQuery Patient = Usual;
  Patient.m_FirstWithin = 400ms;
  const TimePoint Now = Start + 100ms;
  EXPECT_FALSE(Ledger.grant(Patient, Now, Now));
  EXPECT_FALSE(Ledger.grant(Patient, Now, Now + 20ms));
  EXPECT_TRUE(Ledger.grant(Patient, Now, Now + 400ms));
  EXPECT_EQ(Ledger.held(), 5U);
}

/// An agent refused places at an idle instance until it was started again. It
/// had granted one to a request that has no prompt to read, and kept the time
/// by which that one was to begin for all that came after it.
TEST(PlaceLedger, APromiseWithoutAPromptDoesNotBindLaterOnes) {
  PlaceLedger Ledger;
  Ledger.reported(0, Start);
  PlaceQuery Bare = Usual;
  Bare.m_ReadTime = {};
  ASSERT_TRUE(Ledger.grant(Bare, Start));
  const TimePoint Later = Start + Bare.m_FirstWithin + 1s;
  Ledger.reported(0, Later);
  EXPECT_TRUE(Ledger.grant(Usual, Later));
}

} // namespace
