// What a caller asks of the system besides the request itself.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <chrono>
#include <string>
#include <string_view>

namespace deckpitch {

/// Smaller is more urgent; engines take the number.
enum class Priority { Urgent = 0, Normal = 1, Low = 2 };

inline constexpr std::size_t PriorityCount = 3;
inline constexpr std::size_t MaxIdempotencyKeyBytes = 256;
inline constexpr std::size_t MaxOrganisationBytes = 128;
inline constexpr std::chrono::milliseconds MaxDeadline{300'000};

/// Request headers as they came; empty where the caller sent none.
struct CallHeaders {
  std::string_view m_Organisation;
  std::string_view m_DeadlineMs;
  std::string_view m_Priority;
  std::string_view m_IdempotencyKey;
  std::string_view m_Idempotent;
};

struct CallTerms {
  OrganisationId m_Organisation{"default"};
  Duration m_TimeLeft{};
  Priority m_Priority = Priority::Normal;
  std::string m_IdempotencyKey;
  bool m_Idempotent = true;

  friend bool operator==(const CallTerms &, const CallTerms &) = default;
};

struct CallDefaults {
  Duration m_Deadline = std::chrono::seconds(30);
  bool m_Idempotent = true;
};

/// Whether a method is idempotent unless the caller says otherwise.
bool isIdempotentMethod(std::string_view Method);

/// Reads the terms; a header that is absent takes its default. Errors:
/// InvalidInput naming the header.
///
///   parseCallTerms({.m_DeadlineMs = "250"}, {});
Result<CallTerms> parseCallTerms(const CallHeaders &Headers,
                                 const CallDefaults &Defaults);

} // namespace deckpitch
