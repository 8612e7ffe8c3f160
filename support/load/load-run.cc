#include "load/load-run.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace deckpitch::load {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t MaxDetails = 10;
constexpr milliseconds FailureDelay{50};
constexpr milliseconds MaxRetryDelay{2'000};
constexpr std::array Verdicts{Verdict::Whole, Verdict::NotRun, Verdict::Unknown,
                              Verdict::Broken, Verdict::Mixed};

struct NamedQuantile {
  const char *m_Name;
  double m_Quantile;
};
constexpr std::array Quantiles{NamedQuantile{"p50", 0.50},
                               NamedQuantile{"p95", 0.95},
                               NamedQuantile{"p99", 0.99}};

double seconds(std::chrono::nanoseconds Length) {
  return std::chrono::duration<double>(Length).count();
}

} // namespace

std::uint64_t LoadReport::count(Verdict Which) const {
  const auto Found = m_Verdicts.find(Which);
  return Found == m_Verdicts.end() ? 0 : Found->second;
}

double LoadReport::firstTokenMs(double Quantile) const {
  if (m_FirstTokenTimes.empty())
    return 0;
  std::vector<std::chrono::nanoseconds> Sorted = m_FirstTokenTimes;
  std::sort(Sorted.begin(), Sorted.end());
  const auto Last = static_cast<double>(Sorted.size() - 1);
  const auto Rank = static_cast<std::size_t>(std::llround(Quantile * Last));
  return std::chrono::duration<double, std::milli>(Sorted[Rank]).count();
}

json::object toJson(const LoadReport &Report) {
  json::object Out{{"sent", Report.m_Sent},
                   {"seconds", seconds(Report.m_Elapsed)}};
  for (Verdict Each : Verdicts)
    Out[verdictName(Each)] = Report.count(Each);
  json::object FirstToken;
  for (const NamedQuantile &Each : Quantiles)
    FirstToken[Each.m_Name] = Report.firstTokenMs(Each.m_Quantile);
  Out["firstTokenMs"] = std::move(FirstToken);
  json::object ByWeights;
  for (const auto &[Weights, Count] : Report.m_CompleteByWeights)
    ByWeights[Weights] = Count;
  Out["wholeByWeights"] = std::move(ByWeights);
  json::array Details;
  for (const std::string &Each : Report.m_Details)
    Details.emplace_back(Each);
  Out["details"] = std::move(Details);
  return Out;
}

std::string toLines(const LoadReport &Report) {
  std::string Out = "sent " + std::to_string(Report.m_Sent) + " requests\n";
  for (Verdict Each : Verdicts)
    Out += std::string(verdictName(Each)) + " " +
           std::to_string(Report.count(Each)) + " answers\n";
  for (const NamedQuantile &Each : Quantiles) {
    char Line[64];
    std::snprintf(Line, sizeof(Line), "firstToken.%s %.2f ms\n", Each.m_Name,
                  Report.firstTokenMs(Each.m_Quantile));
    Out += Line;
  }
  return Out;
}

LoadReport LoadRun::run() {
  m_Begin = SteadyClock::now();
  asio::co_spawn(m_Io, runAll(), asio::detached);
  m_Io.run();
  m_Report.m_Elapsed = SteadyClock::now() - m_Begin;
  return m_Report;
}

bool LoadRun::isOver() const {
  return m_Stopped || m_Report.m_Sent >= m_Options.m_Requests ||
         SteadyClock::now() - m_Begin >= m_Options.m_Duration;
}

asio::awaitable<void> LoadRun::runAll() {
  while (m_Entries.empty() && !isOver()) {
    m_Entries = co_await findEntries(m_Http, m_Options.m_Entries);
    if (m_Entries.empty())
      co_await sleepFor(FailureDelay);
  }
  auto Executor = co_await asio::this_coro::executor;
  for (std::uint32_t I = 0; I < m_Options.m_Callers; ++I)
    asio::co_spawn(Executor, runCaller(I), asio::detached);
}

asio::awaitable<void> LoadRun::sleepFor(milliseconds Length) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Length);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

ChatRequest LoadRun::makeRequest(std::uint32_t Number) const {
  ChatRequest Out;
  Out.m_Model = m_Options.m_Model;
  Out.m_Prompt = "request " + std::to_string(Number) + " of the load";
  Out.m_Tokens = m_Options.m_Tokens;
  Out.m_Deadline = m_Options.m_Deadline;
  if (!m_Options.m_Organisations.empty())
    Out.m_Organisation =
        m_Options.m_Organisations[Number % m_Options.m_Organisations.size()];
  if (Number % 100 < m_Options.m_UrgentPercent)
    Out.m_Priority = "urgent";
  return Out;
}

asio::awaitable<void> LoadRun::runCaller(std::uint32_t Number) {
  std::size_t Entry = Number;
  while (!isOver()) {
    const auto Request =
        makeRequest(static_cast<std::uint32_t>(m_Report.m_Sent));
    ++m_Report.m_Sent;
    const std::string Address = m_Entries[Entry % m_Entries.size()];
    const ChatAnswer Answer =
        co_await requestCompletion(m_Http, Address, Request);
    record(Answer);
    milliseconds Wait = m_Options.m_Pause;
    if (Answer.m_Verdict == Verdict::NotRun)
      Wait = std::clamp(Answer.m_RetryAfter, FailureDelay, MaxRetryDelay);
    if (Answer.m_Verdict == Verdict::Broken) {
      ++Entry;
      Wait = std::max(Wait, FailureDelay);
    }
    if (Wait.count() > 0)
      co_await sleepFor(Wait);
  }
}

void LoadRun::record(const ChatAnswer &Answer) {
  ++m_Report.m_Verdicts[Answer.m_Verdict];
  if (Answer.m_Verdict == Verdict::Whole) {
    ++m_Report.m_CompleteByWeights[Answer.m_Weights];
    m_Report.m_FirstTokenTimes.push_back(Answer.m_TimeToFirstToken);
    return;
  }
  if (m_Report.m_Details.size() < MaxDetails)
    m_Report.m_Details.push_back(std::string(verdictName(Answer.m_Verdict)) +
                                 ": " + Answer.m_Detail);
}

} // namespace deckpitch::load
