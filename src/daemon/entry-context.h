// What the requests of one entry share.
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

/// Counts for the dump.
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

/// A request that was read and may be passed on.
struct CallerRequest {
  std::string m_Id;
  CallTerms m_Terms;
  TimePoint m_Deadline;
  net::HttpRequest m_Http;
};

/// An answer that tells that nothing ran, and when to come back.
struct NotRun {
  unsigned m_Status = 503;
  std::string m_Reason;
  Duration m_RetryAfter{};
  std::vector<std::string> m_Entries; ///< to use instead, if any
};

net::HttpResponse notRunResponse(const NotRun &Why);
net::HttpResponse unknownResponse(std::string Reason, Duration RetryAfter);

/// A request's place at its pool, or the answer that refuses it.
struct Turn {
  std::unique_ptr<Admission> m_Held; ///< null without need
  std::optional<net::HttpResponse> m_Refusal;
};

/// Waits for the request's turn; not at a pool without any upstream, where
/// there is nothing to wait for.
boost::asio::awaitable<Turn> takeTurn(EntryContext &In,
                                      std::shared_ptr<const EntryRoutes> Routes,
                                      const PoolRoute &Pool,
                                      const CallerRequest &Call);

/// A request to an agent, bound to what the instance must be at this moment.
net::HttpRequest boundRequest(const CallerRequest &Call, const PoolId &Pool,
                              const UpstreamRoute &To);

/// How a failed attempt ended, and whether the answer says for certain that
/// nothing ran.
AttemptEnd attemptEndOf(const Error &Fault);
/// The end that an agent's answer tells; checks whose answer it is.
AttemptEnd attemptEndOf(const net::HttpHeaders &Headers,
                        const std::string &RequestId);

/// Whether another upstream may be tried; takes from the budget if it must.
bool mayRetry(EntryContext &In, const CallerRequest &Call,
              std::uint32_t Attempts, AttemptEnd End);

/// The longest that one attempt may wait for its first byte, so that another
/// upstream can still be tried.
std::chrono::milliseconds attemptLimit(Duration TimeLeft, bool MayRetry);

/// A time to come back at, spread so that callers do not return together.
Duration jittered(Duration Base);

} // namespace deckpitch::daemon
