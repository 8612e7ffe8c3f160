// Identifies repeated requests, although each attempt has its own id.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace deckpitch {

/// The parts of a request that stay the same when its caller repeats it.
struct RequestParts {
  std::string_view m_Organisation; ///< empty: a caller without a key
  std::string_view m_Host;
  std::string_view m_Method;
  std::string_view m_Target; ///< path and query
  std::string_view m_Body;
};

/// A hash of RequestParts that is the same in every process.
struct RequestFingerprint {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;

  friend auto operator<=>(const RequestFingerprint &,
                          const RequestFingerprint &) = default;
};

RequestFingerprint fingerprintOf(const RequestParts &Parts);

/// A part of a prompt that several requests may have in common: a number that
/// their callers give it.
struct PromptPart {
  std::uint64_t m_Id = 0;

  friend auto operator<=>(const PromptPart &, const PromptPart &) = default;
};

/// The fingerprint that all requests with the part share. Its first half is
/// zero, which that of a whole request practically never is.
RequestFingerprint fingerprintOf(PromptPart Part);
/// Whether the fingerprint is one of a prompt's part.
bool isPromptPart(const RequestFingerprint &Value);
/// Formats a fingerprint for log lines as 32 hexadecimal digits.
std::string textOf(const RequestFingerprint &Value);
/// Formats a part for log lines as a hexadecimal number.
std::string textOf(PromptPart Part);

} // namespace deckpitch
