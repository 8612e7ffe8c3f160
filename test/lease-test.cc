#include "deckpitch/lease.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <optional>
#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr LeaseLimits Limits{9'000ms, 2'000ms};

/// The platform's one object, with conditional updates.
struct LeaseObject {
  std::optional<LeaseRecord> m_Record;
  Revision m_At;

  std::optional<Revision> write(const Lease::Step &Step) {
    const bool Creates = Step.m_Kind == Lease::Step::Kind::Create;
    if (Creates == m_Record.has_value() ||
        (!Creates && Step.m_Expected != m_At))
      return std::nullopt;
    m_Record = Step.m_Record;
    m_At = {m_At.m_Value + 1};
    return m_At;
  }
};

/// A candidate whose clock has an offset and a speed of its own.
struct Candidate {
  Candidate(const char *Name, Duration Offset = {}, double Speed = 1)
      : m_Lease(InstanceId{Name}, {1}, Limits), m_Offset(Offset),
        m_Speed(Speed) {}

  TimePoint at(Duration Real) const {
    const double Own = static_cast<double>(Real.count()) * m_Speed;
    return TimePoint(m_Offset) + Duration(static_cast<Duration::rep>(Own));
  }
  bool held(Duration Real) const { return m_Lease.held(at(Real)); }

  /// Performs all steps that are due.
  void run(Duration Real, LeaseObject &Object, bool LoseAnswer = false,
           bool Down = false) {
    for (int I = 0; I < 4; ++I) {
      const Lease::Step Step = m_Lease.next(at(Real), m_Wanted);
      if (Step.m_Kind == Lease::Step::Kind::Wait)
        return;
      ++m_Calls;
      if (Step.m_Kind == Lease::Step::Kind::Read) {
        if (Down)
          m_Lease.onReadFailed(at(Real));
        else
          m_Lease.onRead(at(Real), Object.m_At, Object.m_Record);
        continue;
      }
      const auto Wrote = Down ? std::nullopt : Object.write(Step);
      if (Wrote && !LoseAnswer)
        m_Lease.onWritten(Step.m_At, *Wrote);
      else
        m_Lease.onWriteFailed(at(Real));
    }
  }

  Lease m_Lease;
  Duration m_Offset;
  double m_Speed;
  bool m_Wanted = true;
  unsigned m_Calls = 0; ///< to the platform
};

TEST(Lease, OneCandidateHoldsAndReleasesIt) {
  LeaseObject Object;
  Candidate A("a");
  Candidate B("b");
  A.run(0s, Object);
  B.run(0s, Object);
  EXPECT_TRUE(A.held(0s));
  EXPECT_FALSE(B.held(0s));
  A.m_Wanted = false;
  A.run(4s, Object);
  EXPECT_FALSE(A.held(4s));
  B.run(4s, Object);
  EXPECT_TRUE(B.held(4s));
  EXPECT_EQ(B.m_Lease.term(), 2U);
}

TEST(Lease, APausedHolderStopsBeforeAnotherStarts) {
  LeaseObject Object;
  Candidate A("a");
  Candidate B("b");
  A.run(0s, Object);
  Duration TakenOverAt{};
  for (Duration T = 0s; T < 60s && TakenOverAt == Duration{}; T += 100ms) {
    B.run(T, Object);
    EXPECT_FALSE(A.held(T) && B.held(T)) << T.count();
    if (B.held(T))
      TakenOverAt = T;
  }
  EXPECT_GE(TakenOverAt, 11s);
  A.run(TakenOverAt, Object); // resumes
  EXPECT_FALSE(A.held(TakenOverAt));
  EXPECT_GT(B.m_Lease.term(), 1U);
}

struct ClockCase {
  const char *m_Name;
  Duration m_Offset;
  double m_Speed;
};

class ClocksDisagree : public testing::TestWithParam<ClockCase> {};

TEST_P(ClocksDisagree, NeverTwoHolders) {
  LeaseObject Object;
  Candidate A("a");
  Candidate B("b", GetParam().m_Offset, GetParam().m_Speed);
  bool OtherHeld = false;
  for (Duration T = 0s; T < 200s; T += 100ms) {
    const bool Paused = T > 50s && T < 100s;
    if (!Paused)
      A.run(T, Object);
    B.run(T, Object);
    ASSERT_FALSE(A.held(T) && B.held(T)) << T.count();
    OtherHeld = OtherHeld || B.held(T);
  }
  EXPECT_TRUE(OtherHeld);
}

INSTANTIATE_TEST_SUITE_P(Clocks, ClocksDisagree,
                         testing::Values(ClockCase{"YearsAhead", 100'000h, 1},
                                         ClockCase{"YearsBehind", -100'000h, 1},
                                         ClockCase{"Fast", 0s, 1.15},
                                         ClockCase{"Slow", 5s, 0.85}),
                         [](const auto &Info) { return Info.param.m_Name; });

TEST(Lease, ALostResponseIsRecoveredByReading) {
  LeaseObject Object;
  Candidate A("a");
  A.run(0s, Object, true);
  EXPECT_FALSE(A.held(0s));
  for (Duration T = 0s; T <= 4s; T += 100ms)
    A.run(T, Object);
  EXPECT_TRUE(A.held(4s));
  EXPECT_EQ(A.m_Lease.term(), 1U);
}

TEST(Lease, ALostRenewalCountsFromWhenItWasSent) {
  LeaseObject Object;
  Candidate A("a");
  A.run(0s, Object);
  A.run(3s, Object, true); // took effect, but the response was lost
  for (Duration T = 3s; T <= 5s; T += 100ms)
    A.run(T, Object);
  EXPECT_TRUE(A.held(11s));
  EXPECT_FALSE(A.m_Lease.heldUntil() > A.at(5s) + Limits.m_Duration);
}

TEST(Lease, AHolderStopsInTimeWithoutThePlatform) {
  LeaseObject Object;
  Candidate A("a");
  A.run(0s, Object);
  for (Duration T = 1s; T < 9s; T += 100ms) {
    A.run(T, Object, false, true);
    EXPECT_TRUE(A.held(T));
  }
  A.run(9s, Object, false, true);
  EXPECT_FALSE(A.held(9s));
}

TEST(Lease, ANewIncarnationIsAnotherHolder) {
  LeaseObject Object;
  Candidate A("a");
  A.run(0s, Object);
  Candidate Again("a");
  Again.m_Lease = Lease(InstanceId{"a"}, {2}, Limits);
  Again.run(1s, Object);
  EXPECT_FALSE(Again.held(1s));
}

TEST(Lease, AHolderStopsWhenANewIncarnationTakesOver) {
  LeaseObject Object;
  Candidate A("a");
  A.run(0s, Object);
  ASSERT_TRUE(A.held(2s));
  Object.m_Record = LeaseRecord{InstanceId{"a"}, {2}, 2, 9};
  Object.m_At = {Object.m_At.m_Value + 1};
  for (Duration T = 3s; T <= 4s; T += 100ms)
    A.run(T, Object);
  EXPECT_FALSE(A.held(4s));
}

/// Three candidates while the platform is down for ten minutes.
TEST(Lease, ALongOutageEndsWithOneHolderAndFewCalls) {
  constexpr Duration Down = 20s;
  constexpr Duration Up = Down + 600s;
  LeaseObject Object;
  std::vector<Candidate> All{Candidate("a"), Candidate("b", 7h, 1.1),
                             Candidate("c", -9h, 0.9)};
  const auto Held = [&](Duration T) {
    return std::count_if(All.begin(), All.end(),
                         [&](const Candidate &Each) { return Each.held(T); });
  };
  const auto Calls = [&] {
    return std::accumulate(
        All.begin(), All.end(), 0U,
        [](unsigned Sum, const Candidate &Each) { return Sum + Each.m_Calls; });
  };
  unsigned AtDown = 0;
  unsigned AtUp = 0;
  for (Duration T = 0s; T < Up + 60s; T += 100ms) {
    AtDown = T == Down ? Calls() : AtDown;
    AtUp = T == Up ? Calls() : AtUp;
    for (Candidate &Each : All)
      Each.run(T, Object, false, T >= Down && T < Up);
    ASSERT_LE(Held(T), 1) << T.count();
    // No candidate holds the lease when it cannot be renewed.
    if (T >= Down + Limits.m_Duration * 2 && T < Up) {
      ASSERT_EQ(Held(T), 0) << T.count();
    }
    // In the first second after the outage, at most one read and write each.
    if (T == Up + 1s) {
      EXPECT_LE(Calls() - AtUp, 2 * All.size());
    }
  }
  EXPECT_EQ(Held(Up + 59s), 1);
  // One read per third of the duration, by each candidate's clock.
  EXPECT_LE(AtUp - AtDown, 3 * 200 * 12 / 10);
}

TEST(Lease, AStaleReadDoesNotDelayTheTakeover) {
  LeaseObject Object;
  Candidate A("a");
  Candidate B("b");
  A.run(0s, Object);
  B.run(0s, Object);
  LeaseObject Stale = Object;
  A.run(3s, Object);
  B.run(3s, Object);
  B.run(6s, Stale); // state before the renewal
  for (Duration T = 6s; T < 14s; T += 100ms) {
    B.run(T, Object);
    EXPECT_FALSE(B.held(T)) << T.count();
  }
  B.run(14s, Object);
  EXPECT_TRUE(B.held(14s));
}

} // namespace
