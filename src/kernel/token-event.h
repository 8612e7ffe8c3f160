// Parses the fields of a streamed event that TokenStreamChecker checks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace deckpitch {

/// The values that every event of an answer must contain.
struct ExpectedEvent {
  std::string_view m_Id;
  std::string_view m_Weights;
  std::string_view m_Digest;
};

/// The checked fields of an event. Of duplicate keys the last one counts.
struct TokenEvent {
  bool m_IdMatches = false;
  bool m_WeightsMatch = false;
  bool m_DigestMatches = false;
  std::optional<std::uint64_t> m_Index;
  std::string m_Content; ///< choices[0].delta.content
};

/// Parses an event; nullopt if the text is not exactly one JSON object. Builds
/// no JSON document, since an entry parses one event per token.
std::optional<TokenEvent> readTokenEvent(std::string_view Json,
                                         const ExpectedEvent &Expected);

} // namespace deckpitch
