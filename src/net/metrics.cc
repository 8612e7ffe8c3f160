#include "net/metrics.h"

#include <boost/histogram.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <limits>

namespace deckpitch::net {

namespace histogram = boost::histogram;

namespace {

constexpr double MinSeconds = 1e-4;
constexpr double MaxSeconds = 1e3;
constexpr unsigned BucketsPerDecade = 10;
constexpr unsigned Decades = 7;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Cells = histogram::dense_storage<
    histogram::accumulators::count<std::uint64_t, true>>;
using Durations = histogram::histogram<std::tuple<Axis>, Cells>;

Durations makeDurations() {
  return histogram::make_histogram_with(
      Cells{}, Axis(BucketsPerDecade * Decades, MinSeconds, MaxSeconds));
}

std::string numberText(double Value) {
  if (std::isinf(Value))
    return "+Inf";
  std::array<char, 32> Text;
  const auto [End, Ec] = std::to_chars(Text.data(), Text.data() + Text.size(),
                                       Value, std::chars_format::general, 6);
  return {Text.data(), End};
}

/// Formats labels. Escapes the format's special characters, since values may be
/// untrusted input.
std::string labelText(const MetricLabels &Labels) {
  std::string Out;
  for (const MetricLabel &Each : Labels) {
    if (!Out.empty())
      Out += ",";
    Out += Each.m_Name;
    Out += "=\"";
    for (char C : Each.m_Value) {
      if (C == '"' || C == '\\')
        Out.push_back('\\');
      if (C == '\n')
        Out += "\\n";
      else
        Out.push_back(C);
    }
    Out += "\"";
  }
  return Out;
}

std::string line(const std::string &Name, const std::string &Labels,
                 const std::string &Value) {
  return Name + (Labels.empty() ? "" : "{" + Labels + "}") + " " + Value + "\n";
}

std::string histogramText(const std::string &Name, const std::string &Labels,
                          const LatencyHistogram &Value) {
  std::string Out;
  std::uint64_t Count = 0;
  const std::string Prefix = Labels.empty() ? "" : Labels + ",";
  for (const LatencyHistogram::Bucket &Each : Value.buckets()) {
    Count += Each.m_Count;
    std::string Bucket = Prefix;
    Bucket += "le=\"";
    Bucket += numberText(Each.m_UpperSeconds);
    Bucket += "\"";
    Out += line(Name + "_bucket", Bucket, std::to_string(Count));
  }
  const std::chrono::duration<double> Sum = Value.sum();
  Out += line(Name + "_sum", Labels, numberText(Sum.count()));
  return Out + line(Name + "_count", Labels, std::to_string(Count));
}

template <typename Families, typename Format>
std::string familiesText(const Families &All, const char *Type, Format &&Each) {
  std::string Out;
  for (const auto &[Name, Family] : All) {
    Out += "# TYPE " + Name + " " + Type + "\n";
    for (const auto &[Labels, Value] : Family)
      Out += Each(Name, Labels, *Value);
  }
  return Out;
}

/// Returns the metric with that name and labels, and creates it on first use.
template <typename Families>
auto &findOrCreate(Families &All, const std::string &Name,
                   const MetricLabels &Labels) {
  auto &Slot = All[Name][labelText(Labels)];
  using Value = std::remove_reference_t<decltype(*Slot)>;
  if (!Slot)
    Slot = std::make_unique<Value>();
  return *Slot;
}

} // namespace

namespace detail {

std::size_t threadCell() {
  static std::atomic<std::size_t> Next{0};
  thread_local const std::size_t Own =
      Next.fetch_add(1, std::memory_order_relaxed) % MetricCells;
  return Own;
}

} // namespace detail

std::uint64_t Counter::value() const {
  std::uint64_t Sum = 0;
  for (const detail::CounterCell &Each : m_Cells)
    Sum += Each.m_Value.load(std::memory_order_relaxed);
  return Sum;
}

struct LatencyHistogram::Impl {
  struct alignas(64) Cell {
    Durations m_Durations = makeDurations();
    std::atomic<std::int64_t> m_Nanoseconds{0};
  };
  std::array<Cell, detail::MetricCells> m_Cells;
};

LatencyHistogram::LatencyHistogram() : m_Impl(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(std::chrono::nanoseconds Value) {
  Impl::Cell &Own = m_Impl->m_Cells[detail::threadCell()];
  const std::chrono::duration<double> Seconds = Value;
  // The axis is logarithmic, so zero is not allowed: shorter durations count in
  // the first bucket.
  Own.m_Durations(std::max(Seconds.count(), MinSeconds));
  Own.m_Nanoseconds.fetch_add(Value.count(), std::memory_order_relaxed);
}

std::vector<LatencyHistogram::Bucket> LatencyHistogram::buckets() const {
  const Axis &Bounds = m_Impl->m_Cells.front().m_Durations.axis();
  std::vector<Bucket> Out;
  for (int I = 0; I <= Bounds.size(); ++I) {
    const bool IsLast = I == Bounds.size();
    Bucket Each;
    Each.m_UpperSeconds = IsLast ? std::numeric_limits<double>::infinity()
                                 : Bounds.bin(I).upper();
    for (const Impl::Cell &Cell : m_Impl->m_Cells)
      Each.m_Count += Cell.m_Durations.at(I).value();
    Out.push_back(Each);
  }
  return Out;
}

std::chrono::nanoseconds LatencyHistogram::sum() const {
  std::int64_t Sum = 0;
  for (const Impl::Cell &Each : m_Impl->m_Cells)
    Sum += Each.m_Nanoseconds.load(std::memory_order_relaxed);
  return std::chrono::nanoseconds(Sum);
}

Counter &Metrics::counter(const std::string &Name, const MetricLabels &Labels) {
  std::lock_guard Lock(m_Mutex);
  return findOrCreate(m_Counters, Name, Labels);
}

Gauge &Metrics::gauge(const std::string &Name, const MetricLabels &Labels) {
  std::lock_guard Lock(m_Mutex);
  return findOrCreate(m_Gauges, Name, Labels);
}

LatencyHistogram &Metrics::histogram(const std::string &Name,
                                     const MetricLabels &Labels) {
  std::lock_guard Lock(m_Mutex);
  return findOrCreate(m_Histograms, Name, Labels);
}

std::string Metrics::text() const {
  const auto FormatValue = [](const std::string &Name,
                              const std::string &Labels, const auto &Value) {
    return line(Name, Labels, std::to_string(Value.value()));
  };
  std::lock_guard Lock(m_Mutex);
  return familiesText(m_Counters, "counter", FormatValue) +
         familiesText(m_Gauges, "gauge", FormatValue) +
         familiesText(m_Histograms, "histogram", histogramText);
}

Metrics &metrics() {
  static Metrics Registry;
  return Registry;
}

void updateProcessUsage() {
  static Gauge &CpuTime = metrics().gauge("deckpitch_process_cpu_milliseconds");
  static Gauge &Resident = metrics().gauge("deckpitch_process_resident_bytes");
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const auto Milliseconds = [](const timeval &Value) {
    return Value.tv_sec * 1000 + Value.tv_usec / 1000;
  };
  CpuTime.set(Milliseconds(Usage.ru_utime) + Milliseconds(Usage.ru_stime));
  std::ifstream Statm("/proc/self/statm");
  std::int64_t TotalPages = 0;
  std::int64_t ResidentPages = 0;
  Statm >> TotalPages >> ResidentPages;
  Resident.set(ResidentPages * sysconf(_SC_PAGESIZE));
}

} // namespace deckpitch::net
