// State shared by all requests of one entry, and helpers for attempts.
#pragma once

#include "daemon/call-headers.h"
#include "daemon/claim-service.h"
#include "daemon/entry-routes.h"
#include "daemon/module.h"
#include "daemon/pool-gate.h"
#include "deckpitch/call-terms.h"
#include "deckpitch/request-outcome.h"
#include "deckpitch/retry.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>

namespace deckpitch::daemon {

/// Request counters, shown in the dump.
struct EntryCounters {
  std::atomic<std::uint64_t> m_Requests{0};
  std::atomic<std::uint64_t> m_Answered{0};
  std::atomic<std::uint64_t> m_NotRun{0};
  std::atomic<std::uint64_t> m_Unknown{0};
  std::atomic<std::uint64_t> m_Retries{0};
  std::atomic<std::uint64_t> m_Resumed{0};
  std::atomic<std::uint64_t> m_Tokens{0};
  std::atomic<std::uint64_t> m_Open{0};

  void count(RequestOutcome Outcome);
};

/// State shared by all requests of one entry.
struct EntryContext {
  explicit EntryContext(Process &In)
      : m_Process(In), m_Routes(In), m_Claims(In) {}

  Process &m_Process;
  RouteSource m_Routes;
  ClaimService m_Claims;
  RetryBudget m_RetryBudget;
  PoolGates m_Gates;
  EntryCounters m_Counters;
  std::atomic<std::uint64_t> m_NextRequest{1};
};

/// A validated request of a caller, ready to be sent to an upstream.
struct CallerRequest {
  std::string m_Id;
  CallTerms m_Terms;
  TimePoint m_Deadline;
  net::HttpRequest m_Http;
};

/// A refusal that guarantees that the request did not run, with the time
/// after which to retry.
struct NotRun {
  unsigned m_Status = 503;
  std::string m_Reason;
  Duration m_RetryAfter{};
  std::vector<std::string> m_Entries; ///< other entries to use instead
};

net::HttpResponse notRunResponse(const NotRun &Why);
net::HttpResponse unknownResponse(std::string Reason, Duration RetryAfter);

/// A request's admission to its pool, or the response that refuses it.
struct PoolAdmission {
  std::unique_ptr<Admission> m_Admission; ///< null if none is needed
  std::optional<net::HttpResponse> m_Refusal;
};

/// Waits until the pool admits the request. A pool without upstreams admits it
/// at once, since there is nothing to wait for.
boost::asio::awaitable<PoolAdmission>
awaitAdmission(EntryContext &In, std::shared_ptr<const EntryRoutes> Routes,
               const PoolRoute &Pool, const CallerRequest &Call);

/// Makes the request to an agent, bound to the incarnation and weights that the
/// instance must have for the request to run there.
net::HttpRequest makeAgentRequest(const CallerRequest &Call, const PoolId &Pool,
                                  const UpstreamRoute &To);

/// Classifies an attempt that failed with an error: Unreachable if the request
/// was certainly not sent, Lost if it may have run.
AttemptEnd attemptEndOf(const Error &Fault);
/// Classifies an attempt by the headers of the agent's answer. An answer to
/// another request counts as Lost.
AttemptEnd attemptEndOf(const net::HttpHeaders &Headers,
                        const std::string &RequestId);

/// Tells whether another upstream may be tried; withdraws from the retry budget
/// where the attempt's end requires it.
bool mayRetry(EntryContext &In, const CallerRequest &Call,
              std::uint32_t Attempts, AttemptEnd End);

/// Returns how long one attempt may wait for its first byte, such that time
/// remains to try another upstream if MayRetry.
std::chrono::milliseconds attemptTimeout(Duration TimeLeft, bool MayRetry);

/// Returns Base times a random factor, so that callers do not retry
/// simultaneously.
Duration jittered(Duration Base);

} // namespace deckpitch::daemon
