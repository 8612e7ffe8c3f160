#include "deckpitch/request-fingerprint.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace deckpitch {

namespace {

XXH128_hash_t hashOf(std::string_view Text) {
  return XXH3_128bits(Text.data(), Text.size());
}

} // namespace

RequestFingerprint fingerprintOf(const RequestParts &Parts) {
  // Hashes each part separately, so that moving text across the boundary of two
  // parts changes the result.
  const std::array<XXH128_hash_t, 5> PartHashes{
      hashOf(Parts.m_Organisation), hashOf(Parts.m_Host),
      hashOf(Parts.m_Method), hashOf(Parts.m_Target), hashOf(Parts.m_Body)};
  const XXH128_hash_t Combined =
      XXH3_128bits(PartHashes.data(), sizeof PartHashes);
  return {Combined.high64, Combined.low64};
}

RequestFingerprint fingerprintOf(PromptPart Part) { return {0, Part.m_Id}; }

bool isPromptPart(const RequestFingerprint &Value) { return Value.m_High == 0; }

std::string textOf(const RequestFingerprint &Value) {
  std::array<char, 33> Text{};
  std::snprintf(Text.data(), Text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(Value.m_High),
                static_cast<unsigned long long>(Value.m_Low));
  return Text.data();
}

std::string textOf(PromptPart Part) {
  std::array<char, 17> Text{};
  std::snprintf(Text.data(), Text.size(), "%llx",
                static_cast<unsigned long long>(Part.m_Id));
  return Text.data();
}

} // namespace deckpitch
