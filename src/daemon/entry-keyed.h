// Runs a non-idempotent call that has a key at most once.
#pragma once

#include "daemon/entry-context.h"
#include "deckpitch/call-records.h"
#include "deckpitch/claims.h"

#include <optional>

namespace deckpitch::daemon {

/// Sends one claimed run; implemented by the calls.
class ClaimedSender {
public:
  virtual ~ClaimedSender() = default;
  virtual boost::asio::awaitable<AttemptEnd>
  sendClaimed(std::shared_ptr<const EntryRoutes> Routes, UpstreamRoute To,
              Claim Claimed) = 0;
};

struct KeyedResult {
  RequestOutcome m_Outcome = RequestOutcome::NotRun;
  std::string m_Reason;
  Duration m_RetryAfter{};
  std::optional<StoredAnswer> m_Replay; ///< the answer of an earlier call
};

/// Claims the key, sends the run once, and finds out what became of it.
class KeyedCall {
public:
  KeyedCall(EntryContext &In, const CallerRequest &Call, PoolId Pool,
            ClaimedSender &Sender);

  boost::asio::awaitable<KeyedResult> run();

private:
  /// One round; nothing when another may be tried.
  boost::asio::awaitable<std::optional<KeyedResult>> round();
  boost::asio::awaitable<std::optional<KeyedResult>> send(UpstreamRoute To,
                                                          Claim Claimed);
  /// What a claim that stands means for this call.
  boost::asio::awaitable<std::optional<KeyedResult>> consult(Claim Standing);
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

net::HttpResponse replayResponse(const StoredAnswer &Answer);
/// The answer for an outcome other than Answered.
net::HttpResponse failureResponse(const KeyedResult &Result);

/// Adds what the agent checks a claimed run by.
void addClaim(net::HttpHeaders &Headers, const Claim &Claimed);

} // namespace deckpitch::daemon
