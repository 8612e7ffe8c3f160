// Answers of the engine stand-in as pure functions, so that tests and load
// tools can check every token.
#pragma once

#include <boost/json.hpp>
#include <xxhash.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

namespace deckpitch::standins {

inline constexpr std::uint32_t DefaultMaxTokens = 16;
inline constexpr std::size_t CachedPrefixBytes = 256;

/// Returns the token at an index of the answer to a prompt. Digest is the whole
/// digest (hex) of the weights.
inline std::string tokenAt(std::string_view Prompt, std::string_view Digest,
                           std::uint32_t Index) {
  const XXH64_hash_t Seed = XXH64(Digest.data(), Digest.size(), Index);
  const XXH64_hash_t Hash = XXH64(Prompt.data(), Prompt.size(), Seed);
  char Text[16];
  std::snprintf(Text, sizeof(Text), "%08x ", static_cast<unsigned>(Hash));
  return Text;
}

/// Returns the text of the complete answer.
inline std::string answerText(std::string_view Prompt, std::string_view Digest,
                              std::uint32_t Tokens) {
  std::string Text;
  for (std::uint32_t I = 0; I < Tokens; ++I)
    Text += tokenAt(Prompt, Digest, I);
  return Text;
}

/// Returns the prompt of a chat completion: the contents of its messages, one
/// per line.
inline std::string promptOf(const boost::json::object &Body) {
  std::string Prompt;
  const boost::json::value *Messages = Body.if_contains("messages");
  if (!Messages || !Messages->is_array())
    return Prompt;
  for (const boost::json::value &Each : Messages->get_array()) {
    const boost::json::object *Message = Each.if_object();
    const boost::json::value *Content =
        Message ? Message->if_contains("content") : nullptr;
    if (Content && Content->is_string())
      Prompt += std::string_view(Content->get_string());
    Prompt += '\n';
  }
  return Prompt;
}

/// Returns the hash that identifies a prompt's prefix in cache events.
inline std::uint64_t prefixHash(std::string_view Prompt) {
  const std::string_view Prefix = Prompt.substr(0, CachedPrefixBytes);
  return XXH64(Prefix.data(), Prefix.size(), 0);
}

} // namespace deckpitch::standins
