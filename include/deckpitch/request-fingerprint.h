// Tells that a request has come before, though each attempt at it has an id of
// its own.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace deckpitch {

/// What stays the same of a request when its caller sends it again.
struct RequestParts {
  std::string_view m_Organisation; ///< empty: a caller without a key
  std::string_view m_Host;
  std::string_view m_Method;
  std::string_view m_Target; ///< path and query
  std::string_view m_Body;
};

/// A hash of these, the same in every process.
struct RequestFingerprint {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;

  friend auto operator<=>(const RequestFingerprint &,
                          const RequestFingerprint &) = default;
};

RequestFingerprint fingerprintOf(const RequestParts &Of);
/// For log lines: 32 hexadecimal digits.
std::string textOf(const RequestFingerprint &Value);

} // namespace deckpitch
