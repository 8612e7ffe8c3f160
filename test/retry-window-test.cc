// Checks the common retry limit with many entries that start, stop and lose
// contact with each other.
#include "deckpitch/retry-window.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <random>
#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr RetryShare All{.m_Share = 0.2, .m_Slack = 106, .m_Window = 10s};

/// Entries under a steady load; each request is retried as often as allowed.
class Entries {
public:
  Entries(std::size_t Count, std::uint64_t Seed)
      : m_Known(Count, Count), m_Random(Seed) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Windows.emplace_back(std::in_place, All, m_Now);
  }

  void restart(std::size_t I) {
    m_Windows[I].emplace(All, m_Now);
    m_Known[I] = 0;
  }
  void restartAll() {
    for (std::size_t I = 0; I < m_Windows.size(); ++I)
      restart(I);
  }
  /// Sets how many entries one entry knows of; 0: unknown.
  void setKnown(std::size_t I, std::size_t Count) { m_Known[I] = Count; }
  std::size_t size() const { return m_Windows.size(); }

  /// Runs the load for a time and records in excess() by how many retries any
  /// window exceeded the limit.
  void run(Duration For, int RequestsPerTick, int MaxRetries) {
    constexpr Duration Tick = 10ms;
    for (const TimePoint End = m_Now + For; m_Now < End; m_Now += Tick) {
      for (std::size_t I = 0; I < size(); ++I)
        m_Windows[I]->setEntries(m_Known[I], m_Now);
      for (int Each = 0; Each < RequestsPerTick; ++Each)
        request(m_Random() % size(), MaxRetries);
      forget();
      const double Allowed =
          All.m_Share * static_cast<double>(m_Requests.size()) + All.m_Slack;
      m_Excess =
          std::max(m_Excess, static_cast<double>(m_Retries.size()) - Allowed);
    }
  }
  double excess() const { return m_Excess; }
  std::size_t retriesInWindow() const { return m_Retries.size(); }

private:
  void request(std::size_t At, int MaxRetries) {
    m_Windows[At]->arrived(m_Now);
    m_Requests.push_back(m_Now);
    for (int I = 0; I < MaxRetries && m_Windows[At]->tryRetry(m_Now); ++I)
      m_Retries.push_back(m_Now);
  }
  void forget() {
    for (std::deque<TimePoint> *Each : {&m_Requests, &m_Retries})
      while (!Each->empty() && Each->front() + All.m_Window <= m_Now)
        Each->pop_front();
  }

  std::vector<std::optional<RetryWindow>> m_Windows;
  std::vector<std::size_t> m_Known;
  std::mt19937_64 m_Random;
  TimePoint m_Now{1h};
  std::deque<TimePoint> m_Requests;
  std::deque<TimePoint> m_Retries;
  double m_Excess = -1e9;
};

} // namespace

// A budget that is full at each start exceeds the limit after four restarts in
// a row.
TEST(RetryWindow, RepeatedRestartsDoNotExceedLimit) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    Entries Fleet(9, Seed);
    Fleet.run(12s, 2, 3);
    for (int Round = 0; Round < 6; ++Round) {
      Fleet.restartAll();
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        Fleet.setKnown(I, 9);
      Fleet.run(1'500ms, 2, 3);
    }
    EXPECT_LE(Fleet.excess(), 0) << Seed;
  }
}

// Entries that divide the slack by the few peers they know shortly after a
// start spend it many times over.
TEST(RetryWindow, EntriesThatDoNotKnowEachOtherUseNoSlack) {
  Entries Fleet(34, 1);
  Fleet.restartAll();
  Fleet.run(25s, 2, 3);
  EXPECT_LE(Fleet.excess(), 0);
  EXPECT_LE(Fleet.retriesInWindow(), 400U); // .2 of 2,000 requests.
}

// Entries that have left may have spent their part of the slack in the same
// window.
TEST(RetryWindow, RemainingEntriesDoNotReuseSlackSpentInWindow) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    Entries Fleet(8, Seed);
    Fleet.run(15s, 0, 0);
    Fleet.run(2s, 2, 3);
    for (std::size_t I = 0; I < 4; ++I)
      Fleet.setKnown(I, 4);
    for (std::size_t I = 4; I < 8; ++I)
      Fleet.restart(I);
    Fleet.run(8s, 2, 3);
    EXPECT_LE(Fleet.excess(), 0) << Seed;
  }
}

// A limit that is enforced too strictly would fail requests that may be
// retried.
TEST(RetryWindow, SteadyFleetCanUseNearlyWholeLimit) {
  Entries Fleet(9, 1);
  Fleet.run(30s, 2, 3);
  EXPECT_LE(Fleet.excess(), 0);
  // Of 506 retries, each entry loses a fraction of one, and some wait until the
  // oldest bucket expires.
  EXPECT_GE(Fleet.excess(), -40);
}

TEST(RetryWindow, SlackOfIdleWindowIsAvailableAtOnceAndOnlyOnce) {
  RetryWindow Own(All, TimePoint{});
  TimePoint Now{20s};
  Own.setEntries(2, Now);
  int Granted = 0;
  while (Own.tryRetry(Now))
    ++Granted;
  EXPECT_EQ(Granted, 53);
  Now += 9s;
  EXPECT_FALSE(Own.tryRetry(Now));
  Now += 3s;
  Own.setEntries(2, Now);
  EXPECT_TRUE(Own.tryRetry(Now));
}

TEST(RetryWindow, ReportsInputsOfDecision) {
  RetryWindow Own(All, TimePoint{1s});
  const TimePoint Now{3s};
  Own.setEntries(2, Now);
  for (int I = 0; I < 10; ++I)
    Own.arrived(Now);
  EXPECT_TRUE(Own.tryRetry(Now));
  const RetryUse Expected{.m_Requests = 10,
                          .m_Retries = 1,
                          .m_Allowed = 2,
                          .m_Entries = 2,
                          .m_Age = 2s};
  EXPECT_EQ(Own.use(Now), Expected);
}
