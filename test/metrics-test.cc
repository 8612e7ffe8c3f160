#include "net/metrics.h"

#include <gtest/gtest.h>

#include <thread>

using namespace deckpitch::net;
using namespace std::chrono_literals;

namespace {

bool hasLine(const std::string &Text, const std::string &Line) {
  return ("\n" + Text).find("\n" + Line + "\n") != std::string::npos;
}

TEST(Metrics, WritesTheTextFormat) {
  Metrics Registry;
  Registry.counter("answers_total", {{"outcome", "answered"}}).add(2);
  Registry.counter("answers_total", {{"outcome", "a\"b\\c\nd"}}).add();
  Registry.gauge("level").set(-3);
  Registry.histogram("wait_seconds").record(150ms);
  const std::string Text = Registry.text();
  for (const char *Line :
       {"# TYPE answers_total counter", "answers_total{outcome=\"answered\"} 2",
        "answers_total{outcome=\"a\\\"b\\\\c\\nd\"} 1", "# TYPE level gauge",
        "level -3", "# TYPE wait_seconds histogram",
        "wait_seconds_bucket{le=\"0.125893\"} 0",
        "wait_seconds_bucket{le=\"0.158489\"} 1",
        "wait_seconds_bucket{le=\"+Inf\"} 1", "wait_seconds_sum 0.15",
        "wait_seconds_count 1"})
    EXPECT_TRUE(hasLine(Text, Line)) << Line << "\n" << Text;
}

TEST(Metrics, CountsDurationsOutsideTheBuckets) {
  LatencyHistogram Value;
  for (const auto Each : {0ns, 1ns, std::chrono::nanoseconds(24h)})
    Value.record(Each);
  const auto Buckets = Value.buckets();
  EXPECT_EQ(Buckets.front().m_Count, 2U);
  EXPECT_EQ(Buckets.back().m_Count, 1U);
}

TEST(Metrics, ReturnsTheSameMetricForTheSameNameAndLabels) {
  Metrics Registry;
  EXPECT_EQ(&Registry.counter("a", {{"x", "1"}}),
            &Registry.counter("a", {{"x", "1"}}));
  EXPECT_NE(&Registry.counter("a", {{"x", "1"}}),
            &Registry.counter("a", {{"x", "2"}}));
}

TEST(Metrics, LosesNoUpdatesOfConcurrentThreads) {
  constexpr int Threads = 20;
  constexpr int Times = 1000;
  Counter Count;
  LatencyHistogram Durations;
  {
    std::vector<std::jthread> Running;
    Running.reserve(Threads);
    for (int I = 0; I < Threads; ++I)
      Running.emplace_back([&] {
        for (int Time = 0; Time < Times; ++Time) {
          Count.add();
          Durations.record(1ms);
        }
      });
  }
  std::uint64_t Recorded = 0;
  for (const auto &Each : Durations.buckets())
    Recorded += Each.m_Count;
  EXPECT_EQ(Count.value(), 20'000U);
  EXPECT_EQ(Recorded, 20'000U);
  EXPECT_EQ(Durations.sum(), 20s);
}

} // namespace
