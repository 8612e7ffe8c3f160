// A bounded load of checked chat requests from a number of callers.
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
  std::vector<std::string> m_Entries; ///< known entries to ask for addresses
  std::string m_Model;
  std::uint32_t m_Callers = 4;
  std::uint32_t m_Requests = 100; ///< at most, over all callers
  std::uint32_t m_Tokens = 16;
  std::chrono::milliseconds m_Duration{60'000}; ///< starts no request after it
  std::chrono::milliseconds m_Pause{0}; ///< of a caller between requests
  std::chrono::milliseconds m_Deadline{30'000};
  std::vector<std::string> m_Organisations;
  std::uint32_t m_UrgentPercent = 0;
};

struct LoadReport {
  std::uint64_t m_Sent = 0;
  std::map<Verdict, std::uint64_t> m_Verdicts;
  std::map<std::string, std::uint64_t> m_WholeByWeights;
  std::vector<std::chrono::nanoseconds> m_FirstTokens; ///< of whole answers
  std::vector<std::string> m_Details; ///< of the first answers not whole
  std::chrono::nanoseconds m_Took{0};

  std::uint64_t count(Verdict Which) const;
  /// Time to first token at a quantile, in ms; 0 without whole answers.
  double firstTokenMs(double Quantile) const;
};

boost::json::object toJson(const LoadReport &Report);
/// Lines of "name value unit".
std::string toLines(const LoadReport &Report);

/// Runs the load on the calling thread. Each caller asks one entry until that
/// fails it, then the next of the list, as callers do.
class LoadRun {
public:
  explicit LoadRun(LoadOptions Options) : m_Options(std::move(Options)) {}

  LoadReport run();
  /// From any thread: starts no more requests; run() ends when those under
  /// way have ended.
  void stop() { m_Stopped = true; }

private:
  asio::awaitable<void> runAll();
  asio::awaitable<void> caller(std::uint32_t Number);
  asio::awaitable<void> pause(std::chrono::milliseconds Length);
  ChatRequest requestOf(std::uint32_t Number) const;
  void record(const ChatAnswer &Answer);
  bool over() const;

  LoadOptions m_Options;
  asio::io_context m_Io{1}; ///< outlives the connections kept by m_Http
  net::HttpClient m_Http;
  std::vector<std::string> m_Entries;
  std::chrono::steady_clock::time_point m_Begin;
  LoadReport m_Report;
  std::atomic<bool> m_Stopped{false};
};

} // namespace deckpitch::load
