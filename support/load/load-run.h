// Load generator: sends a bounded number of chat requests from concurrent
// callers and verifies the answers.
#pragma once

#include "load/chat-client.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace deckpitch::load {

struct LoadOptions {
  /// Known entries, from which the addresses of all entries are fetched.
  std::vector<std::string> m_Entries;
  std::string m_Model;
  std::uint32_t m_Callers = 4;
  std::uint32_t m_Requests = 100; ///< maximum, total of all callers
  std::uint32_t m_Tokens = 16;
  /// No request starts after this time.
  std::chrono::milliseconds m_Duration{60'000};
  std::chrono::milliseconds m_Pause{0}; ///< between the requests of a caller
  std::chrono::milliseconds m_Deadline{30'000};
  std::vector<std::string> m_Organisations;
  std::uint32_t m_UrgentPercent = 0;
};

struct LoadReport {
  std::uint64_t m_Sent = 0;
  std::map<Verdict, std::uint64_t> m_Verdicts;
  std::map<std::string, std::uint64_t> m_CompleteByWeights;
  /// Times to first token of the complete answers.
  std::vector<std::chrono::nanoseconds> m_FirstTokenTimes;
  /// Verdicts and reasons of the first answers that are not complete.
  std::vector<std::string> m_Details;
  std::chrono::nanoseconds m_Elapsed{0};

  std::uint64_t count(Verdict Which) const;
  /// Returns the time to first token at a quantile in ms, or 0 if there are no
  /// complete answers.
  double firstTokenMs(double Quantile) const;
};

boost::json::object toJson(const LoadReport &Report);
/// Formats a report as lines of "name value unit".
std::string toLines(const LoadReport &Report);

/// Runs the load on the calling thread. Like a real client, each caller uses
/// one entry until a request breaks, then the next one of the list.
class LoadRun {
public:
  explicit LoadRun(LoadOptions Options) : m_Options(std::move(Options)) {}

  LoadReport run();
  /// Starts no more requests; run() returns once the requests in flight have
  /// ended. Thread-safe.
  void stop() { m_Stopped = true; }

private:
  asio::awaitable<void> runAll();
  asio::awaitable<void> runCaller(std::uint32_t Number);
  asio::awaitable<void> sleepFor(std::chrono::milliseconds Length);
  ChatRequest makeRequest(std::uint32_t Number) const;
  void record(const ChatAnswer &Answer);
  bool isOver() const;

  LoadOptions m_Options;
  asio::io_context m_Io{1}; ///< must outlive the connections pooled by m_Http
  net::HttpClient m_Http;
  std::vector<std::string> m_Entries;
  std::chrono::steady_clock::time_point m_Begin;
  LoadReport m_Report;
  std::atomic<bool> m_Stopped{false};
};

} // namespace deckpitch::load
