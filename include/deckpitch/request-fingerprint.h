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
/// Formats a fingerprint for log lines as 32 hexadecimal digits.
std::string textOf(const RequestFingerprint &Value);

} // namespace deckpitch
