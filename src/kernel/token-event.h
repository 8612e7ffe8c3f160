// Reads the fields that are checked of one streamed event.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace deckpitch {

/// What every event of an answer must say.
struct ExpectedEvent {
  std::string_view m_Id;
  std::string_view m_Weights;
  std::string_view m_Digest;
};

/// What an event says. Of a key that stands twice the last one counts.
struct TokenEvent {
  bool m_IdFits = false;
  bool m_WeightsFit = false;
  bool m_DigestFits = false;
  std::optional<std::uint64_t> m_Index;
  std::string m_Content; ///< choices[0].delta.content
};

/// None when the text is not one JSON object. Makes no document, since an
/// entry reads each token's.
std::optional<TokenEvent> readTokenEvent(std::string_view Json,
                                         const ExpectedEvent &Expected);

} // namespace deckpitch
