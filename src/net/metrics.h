// Counters, gauges and latency histograms of one process.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch::net {

namespace detail {

/// Number of cells per metric. Each thread writes to its own cell, which avoids
/// contention on cache lines; with more threads than cells, threads share.
inline constexpr std::size_t MetricCells = 16;
/// Returns the index of the calling thread's cell.
std::size_t threadCell();

struct alignas(64) CounterCell {
  std::atomic<std::uint64_t> m_Value{0};
};

} // namespace detail

/// A counter that only increases. Thread-safe and lock-free.
class Counter {
public:
  void add(std::uint64_t Count = 1) {
    m_Cells[detail::threadCell()].m_Value.fetch_add(Count,
                                                    std::memory_order_relaxed);
  }
  std::uint64_t value() const;

private:
  std::array<detail::CounterCell, detail::MetricCells> m_Cells;
};

/// A value that may increase and decrease. Thread-safe and lock-free.
class Gauge {
public:
  void set(std::int64_t Value) {
    m_Value.store(Value, std::memory_order_relaxed);
  }
  void add(std::int64_t Change) {
    m_Value.fetch_add(Change, std::memory_order_relaxed);
  }
  std::int64_t value() const { return m_Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> m_Value{0};
};

/// A histogram of durations from 0.1 ms to 1000 s with ten buckets for each
/// power of ten. Thread-safe and lock-free.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();

  void record(std::chrono::nanoseconds Value);

  struct Bucket {
    double m_UpperSeconds = 0; ///< infinite for the last bucket
    std::uint64_t m_Count = 0; ///< not cumulative
  };
  std::vector<Bucket> buckets() const;
  std::chrono::nanoseconds sum() const;

  struct Impl;

private:
  std::unique_ptr<Impl> m_Impl;
};

struct MetricLabel {
  std::string m_Name;
  std::string m_Value;
};
using MetricLabels = std::vector<MetricLabel>;

/// All metrics of a process by name and labels. A lookup takes a lock, so keep
/// the reference, which stays valid for the lifetime of the registry.
///
///   static Counter &Answered =
///       metrics().counter("deckpitch_answers_total", {{"outcome",
///       "answered"}});
///   Answered.add();
class Metrics {
public:
  Counter &counter(const std::string &Name, const MetricLabels &Labels = {});
  Gauge &gauge(const std::string &Name, const MetricLabels &Labels = {});
  LatencyHistogram &histogram(const std::string &Name,
                              const MetricLabels &Labels = {});

  /// Formats all metrics in the Prometheus text exposition format, version
  /// 0.0.4.
  std::string text() const;

private:
  /// The metrics with one name, by their formatted labels.
  template <typename T>
  using Family = std::map<std::string, std::unique_ptr<T>>;

  mutable std::mutex m_Mutex;
  std::map<std::string, Family<Counter>> m_Counters;
  std::map<std::string, Family<Gauge>> m_Gauges;
  std::map<std::string, Family<LatencyHistogram>> m_Histograms;
};

/// Returns the registry of this process.
Metrics &metrics();

/// Content type of Metrics::text().
inline constexpr std::string_view MetricsContentType =
    "text/plain; version=0.0.4";

/// Updates the gauges of CPU time and resident memory of this process.
void updateProcessUsage();

} // namespace deckpitch::net
