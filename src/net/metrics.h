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

/// Threads write to cells of their own, so that they do not share a cache
/// line; more threads than cells share them.
inline constexpr std::size_t MetricCells = 16;
std::size_t ownCell();

struct alignas(64) CounterCell {
  std::atomic<std::uint64_t> m_Value{0};
};

} // namespace detail

/// Grows only. Any thread may add, without a lock.
class Counter {
public:
  void add(std::uint64_t Count = 1) {
    m_Cells[detail::ownCell()].m_Value.fetch_add(Count,
                                                 std::memory_order_relaxed);
  }
  std::uint64_t value() const;

private:
  std::array<detail::CounterCell, detail::MetricCells> m_Cells;
};

/// A level that goes up and down. Any thread may write, without a lock.
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

/// Durations from 0.1 ms to 1000 s, ten buckets for each power of ten. Any
/// thread may record, without a lock.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();

  void record(std::chrono::nanoseconds Value);

  struct Bucket {
    double m_UpperSeconds = 0; ///< infinite for the last
    std::uint64_t m_Count = 0; ///< of this bucket alone
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

/// All metrics of a process by name and labels. A lookup takes a lock: keep
/// the reference, which stays good for the registry's life.
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

  /// The text exposition format, version 0.0.4.
  std::string text() const;

private:
  /// The members of one name by their labels as text.
  template <typename T>
  using Family = std::map<std::string, std::unique_ptr<T>>;

  mutable std::mutex m_Mutex;
  std::map<std::string, Family<Counter>> m_Counters;
  std::map<std::string, Family<Gauge>> m_Gauges;
  std::map<std::string, Family<LatencyHistogram>> m_Histograms;
};

/// The registry of this process.
Metrics &metrics();

/// Content type of Metrics::text().
inline constexpr std::string_view MetricsContentType =
    "text/plain; version=0.0.4";

/// Sets the gauges of processor time and memory of this process.
void updateProcessUsage();

} // namespace deckpitch::net
