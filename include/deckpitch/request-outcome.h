// The three final outcomes of a caller's request.
#pragma once

#include <string_view>

namespace deckpitch {

/// What a caller may rely on once its request has ended.
enum class RequestOutcome {
  Answered, ///< ran, and this is its whole answer
  NotRun,   ///< certainly nothing was run or will be
  Unknown,  ///< may have run
};

/// The value of the X-Outcome header.
constexpr std::string_view toText(RequestOutcome Value) {
  switch (Value) {
  case RequestOutcome::Answered:
    return "answered";
  case RequestOutcome::NotRun:
    return "not-run";
  case RequestOutcome::Unknown:
    break;
  }
  return "unknown";
}

/// Reads the value of an X-Outcome header; anything else is Unknown.
constexpr RequestOutcome parseRequestOutcome(std::string_view Text) {
  if (Text == "answered")
    return RequestOutcome::Answered;
  if (Text == "not-run")
    return RequestOutcome::NotRun;
  return RequestOutcome::Unknown;
}

} // namespace deckpitch
