// The three final outcomes of a caller's request.
#pragma once

#include <string_view>

namespace deckpitch {

/// The guarantee that a caller has once its request has ended.
enum class RequestOutcome {
  Answered, ///< ran, and this is its complete answer
  NotRun,   ///< did not run and will not
  Unknown,  ///< may have run
};

/// Returns the value of the X-Outcome header.
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

/// Parses the value of an X-Outcome header; any other text gives Unknown.
constexpr RequestOutcome parseRequestOutcome(std::string_view Text) {
  if (Text == "answered")
    return RequestOutcome::Answered;
  if (Text == "not-run")
    return RequestOutcome::NotRun;
  return RequestOutcome::Unknown;
}

} // namespace deckpitch
