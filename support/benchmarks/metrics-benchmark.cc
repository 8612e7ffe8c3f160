// Cost of metrics on the request path: counters, latency histograms, lookups.
#include "net/metrics.h"

#include <benchmark/benchmark.h>

using namespace deckpitch::net;

namespace {

void counterAdd(benchmark::State &State) {
  static Counter Value;
  for (auto _ : State)
    Value.add();
}
BENCHMARK(counterAdd)->ThreadRange(1, 8);

void histogramRecord(benchmark::State &State) {
  static LatencyHistogram Value;
  std::int64_t Nanoseconds = 1'000'000;
  for (auto _ : State) {
    Value.record(std::chrono::nanoseconds(Nanoseconds));
    Nanoseconds = Nanoseconds * 5 % 900'000'007;
  }
}
BENCHMARK(histogramRecord)->ThreadRange(1, 8);

void lookup(benchmark::State &State) {
  for (auto _ : State)
    benchmark::DoNotOptimize(
        &metrics().counter("answers_total", {{"outcome", "answered"}}));
}
BENCHMARK(lookup);

} // namespace
