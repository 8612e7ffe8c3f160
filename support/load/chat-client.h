// Client that requests chat completions and verifies every token of the
// answers.
#pragma once

#include "net/http.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace deckpitch::load {

namespace asio = boost::asio;

/// Result of the verification of one answer.
enum class Verdict {
  Whole,   ///< the answer is complete and every token is correct
  NotRun,  ///< reported as not run
  Unknown, ///< reported as having an unknown outcome
  Broken,  ///< no answer, or an answer that ended early
  Mixed,   ///< a token is missing, repeated or not of the answer's weights
};

std::string_view verdictName(Verdict Value);

struct ChatRequest {
  std::string m_Model; ///< name of a pool or model
  std::string m_Prompt;
  std::uint32_t m_Tokens = 16;
  std::string m_Organisation;
  std::string m_Priority = "normal";
  std::chrono::milliseconds m_Deadline{30'000};
  std::string m_Key;              ///< idempotency key; may be empty
  std::uint32_t m_ResumeFrom = 0; ///< index of the first token to generate
  /// Additional headers, for direct requests to engines.
  net::HttpHeaders m_Headers;
};

struct ChatAnswer {
  Verdict m_Verdict = Verdict::Broken;
  unsigned m_Status = 0;
  std::string m_Weights;
  std::string m_Digest;
  std::uint32_t m_Tokens = 0;
  std::chrono::milliseconds m_RetryAfter{0};
  /// Measured from the sending of the request.
  std::chrono::nanoseconds m_TimeToFirstToken{0};
  std::string m_Detail; ///< why the answer is not Verdict::Whole
};

/// Sends one streaming request to an entry and verifies the answer.
asio::awaitable<ChatAnswer> requestCompletion(net::HttpClient &Http,
                                              std::string Entry,
                                              ChatRequest Request);

/// Blocking variant of requestCompletion that runs an io_context of its own.
ChatAnswer requestCompletionAndWait(const std::string &Entry,
                                    ChatRequest Request);

/// Returns the addresses of all entries as reported by the first known entry
/// that answers, or an empty list if none does.
asio::awaitable<std::vector<std::string>>
findEntries(net::HttpClient &Http, std::vector<std::string> Known);

} // namespace deckpitch::load
