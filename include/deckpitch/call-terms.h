// The terms of a call that its caller sets in headers: organisation, deadline,
// priority and idempotency.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <chrono>
#include <string>
#include <string_view>

namespace deckpitch {

/// Priority of a request; a lower value is more urgent. The value is also the
/// number that engines accept.
enum class Priority { Urgent = 0, Normal = 1, Low = 2 };

inline constexpr std::size_t PriorityCount = 3;
inline constexpr std::size_t MaxIdempotencyKeyBytes = 256;
inline constexpr std::size_t MaxOrganisationBytes = 128;
inline constexpr std::chrono::milliseconds MaxDeadline{300'000};

/// The headers as received; empty where the caller sent none.
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

/// Parses the terms; a missing header takes its default. Errors: InvalidInput
/// naming the header.
///
///   parseCallTerms({.m_DeadlineMs = "250"}, {});
Result<CallTerms> parseCallTerms(const CallHeaders &Headers,
                                 const CallDefaults &Defaults);

} // namespace deckpitch
