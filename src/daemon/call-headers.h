// Names of the HTTP headers and paths that callers, entries and agents use.
#pragma once

#include "daemon/clock.h"
#include "deckpitch/time.h"

#include <chrono>

namespace deckpitch::daemon::header {

inline constexpr char Organisation[] = "X-Organisation";
inline constexpr char DeadlineMs[] = "X-Deadline-Ms";
inline constexpr char Priority[] = "X-Priority";
inline constexpr char IdempotencyKey[] = "Idempotency-Key";
inline constexpr char Idempotent[] = "X-Idempotent";
inline constexpr char Outcome[] = "X-Outcome";
inline constexpr char RetryAfterMs[] = "Retry-After-Ms";
inline constexpr char RetryAfter[] = "Retry-After";
inline constexpr char RequestId[] = "X-Request-Id";
inline constexpr char Replayed[] = "X-Replayed";
inline constexpr char ContentType[] = "Content-Type";

// Between entry and agent.
inline constexpr char Pool[] = "X-Pool";
inline constexpr char Weights[] = "X-Weights";
inline constexpr char WeightsDigest[] = "X-Weights-Digest";
inline constexpr char Incarnation[] = "X-Incarnation";
inline constexpr char ClaimKey[] = "X-Claim-Key";
inline constexpr char ClaimAttempt[] = "X-Claim-Attempt";
inline constexpr char ClaimTicket[] = "X-Claim-Ticket";
inline constexpr char RunState[] = "X-Run-State";
inline constexpr char StoredStatus[] = "X-Stored-Status";

} // namespace deckpitch::daemon::header

namespace deckpitch::daemon::agentpath {

// The agent's own paths on its request port. No service path starts with them.
inline constexpr char Ticket[] = "/_agent/ticket";
inline constexpr char Fence[] = "/_agent/fence";

} // namespace deckpitch::daemon::agentpath

namespace deckpitch::daemon {

/// Bound on a stream of tokens from its first one, whatever its deadline.
inline constexpr std::chrono::milliseconds MaxStreamTime{3'600'000};

inline std::chrono::milliseconds milliseconds(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value);
}

} // namespace deckpitch::daemon
