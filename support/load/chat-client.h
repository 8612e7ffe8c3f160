// Asks for chat completions and checks every token of the answers.
#pragma once

#include "net/http.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace deckpitch::load {

namespace asio = boost::asio;

enum class Verdict {
  Whole,   ///< every token is right, to the end
  NotRun,  ///< told that it was not run
  Unknown, ///< told that its outcome is unknown
  Broken,  ///< the answer ended early, or no answer came
  Mixed,   ///< a token that no single version of weights gives
};

std::string_view nameOf(Verdict Value);

struct ChatRequest {
  std::string m_Model; ///< pool or model
  std::string m_Prompt;
  std::uint32_t m_Tokens = 16;
  std::string m_Organisation;
  std::string m_Priority = "normal";
  std::chrono::milliseconds m_Deadline{30'000};
  std::string m_Key;          ///< idempotency key; may be empty
  std::uint32_t m_From = 0;   ///< index of the first token wanted
  net::HttpHeaders m_Headers; ///< further ones, for engines asked directly
};

struct ChatAnswer {
  Verdict m_Verdict = Verdict::Broken;
  unsigned m_Status = 0;
  std::string m_Weights;
  std::string m_Digest;
  std::uint32_t m_Tokens = 0;
  std::chrono::milliseconds m_RetryAfter{0};
  std::chrono::nanoseconds m_FirstToken{0}; ///< since the request was sent
  std::string m_Detail;                     ///< why it is not whole
};

/// Sends one streaming request to an entry and reads its answer.
asio::awaitable<ChatAnswer> ask(net::HttpClient &Http, std::string Entry,
                                ChatRequest Request);

/// The same on an io_context of its own.
ChatAnswer askAndWait(const std::string &Entry, ChatRequest Request);

/// The entries that one of the known entries names; empty without an answer.
asio::awaitable<std::vector<std::string>>
findEntries(net::HttpClient &Http, std::vector<std::string> Known);

} // namespace deckpitch::load
