// Runs a non-idempotent call with an idempotency key at most once.
#pragma once

#include "daemon/entry-context.h"
#include "deckpitch/call-records.h"
#include "deckpitch/claims.h"

#include <optional>

namespace deckpitch::daemon {

/// Sends the attempt that a claim allows; implemented by ChatCall and
/// ServiceCall.
class ClaimedSender {
public:
  virtual ~ClaimedSender() = default;
  virtual boost::asio::awaitable<AttemptEnd>
  sendClaimed(std::shared_ptr<const EntryRoutes> Routes, UpstreamRoute To,
              Claim Claimed) = 0;
};

/// The outcome of a keyed call.
struct KeyedResult {
  RequestOutcome m_Outcome = RequestOutcome::NotRun;
  std::string m_Reason;
  Duration m_RetryAfter{};
  std::optional<StoredAnswer> m_Replay; ///< the answer of an earlier call
};

/// Claims the key, sends the request once, and determines its outcome.
class KeyedCall {
public:
  KeyedCall(EntryContext &In, const CallerRequest &Call, PoolId Pool,
            ClaimedSender &Sender);

  boost::asio::awaitable<KeyedResult> run();

private:
  /// Tries one claim and one attempt; returns nothing if another round may
  /// follow.
  boost::asio::awaitable<std::optional<KeyedResult>> tryRound();
  boost::asio::awaitable<std::optional<KeyedResult>> send(UpstreamRoute To,
                                                          Claim Claimed);
  /// Fences an existing claim at its instance, which rules out a run that has
  /// not started, and returns what the state of the run means for this call.
  /// Returns nothing if the run was ruled out, so that a new attempt may be
  /// claimed.
  boost::asio::awaitable<std::optional<KeyedResult>>
  resolveClaim(Claim Existing);
  /// Returns the instance's ticket, from the cache if it is recent; nothing if
  /// the instance does not provide one.
  boost::asio::awaitable<std::optional<std::uint64_t>>
  ticketOf(UpstreamRoute To);

  EntryContext &m_Context;
  const CallerRequest &m_Call;
  PoolId m_Pool;
  ClaimedSender &m_Sender;
  std::string m_Key;
  std::uint32_t m_Attempt = 1;
  PickHints m_Hints;
  std::shared_ptr<const EntryRoutes> m_Routes;
};

/// Makes the response that repeats a stored answer.
net::HttpResponse replayResponse(const StoredAnswer &Answer);
/// Makes the response for an outcome other than Answered.
net::HttpResponse failureResponse(const KeyedResult &Result);

/// Adds the headers by which the agent checks a claimed run.
void addClaim(net::HttpHeaders &Headers, const Claim &Claimed);

} // namespace deckpitch::daemon
