// Handles one caller's chat completion in an entry.
#pragma once

#include "daemon/entry-keyed.h"
#include "deckpitch/token-stream.h"

#include <boost/json/object.hpp>

#include <optional>

namespace deckpitch::daemon {

/// Runs one request: tries upstreams until one completes the answer, resuming
/// an interrupted stream at its next token, or reports to the caller
/// immediately that there will be no answer. Used on one worker thread only.
class ChatCall final : private ClaimedSender {
public:
  ChatCall(EntryContext &In, CallerRequest Call, net::HttpResponder &Answer);
  ~ChatCall() override;

  boost::asio::awaitable<RequestOutcome> run();

private:
  /// Validates the request and finds its pool; returns a refusal on failure.
  std::optional<NotRun> prepare();
  boost::asio::awaitable<RequestOutcome> runUnkeyed();
  boost::asio::awaitable<RequestOutcome> runKeyed();
  boost::asio::awaitable<AttemptEnd>
  sendClaimed(std::shared_ptr<const EntryRoutes> Routes, UpstreamRoute To,
              Claim Claimed) override;
  /// Picks the next upstream, or null if none can take the request. When
  /// upstreams refused it because the routes are stale, waits up to
  /// StaleRoutesTimeout for new ones.
  boost::asio::awaitable<const UpstreamRoute *> nextUpstream();
  const UpstreamRoute *pick() const;
  /// Discards the tokens received so far and the binding to their weights, so
  /// that the next attempt may start from the beginning on any weights.
  void discardTokens();
  /// Loads the current routes; returns false if the pool no longer exists.
  bool refreshRoutes();
  boost::asio::awaitable<AttemptEnd> attempt(const UpstreamRoute &To);
  std::chrono::milliseconds stallTimeoutAt(const UpstreamRoute &To) const;
  boost::asio::awaitable<AttemptEnd> readStream(net::HttpStream &Stream,
                                                StreamBinding Bound);
  boost::asio::awaitable<bool> deliver(const StreamStep &Step);
  boost::asio::awaitable<RequestOutcome> finish();
  boost::asio::awaitable<RequestOutcome> giveUp(RequestOutcome Outcome);
  /// Forwards an upstream's response other than 200 as the answer.
  boost::asio::awaitable<AttemptEnd> forwardResponse(net::HttpStream &Stream);
  boost::asio::awaitable<bool> beginStream();
  void callerGone();
  std::string resumeBody() const;

  EntryContext &m_Context;
  CallerRequest m_Call;
  net::HttpResponder &m_Answer;
  std::shared_ptr<const EntryRoutes> m_Routes;
  const PoolRoute *m_Pool = nullptr;
  boost::json::object m_Body;
  bool m_Streaming = false;
  PickHints m_Hints;
  std::uint32_t m_Attempts = 0;
  std::uint64_t m_NextIndex = 0;
  std::string m_Content;
  std::optional<net::HttpResponse> m_ForwardedResponse;
  net::HttpStream *m_Stream = nullptr;
  net::CallCancel m_OpenCancel;
  std::string m_UpstreamAddress; ///< of the current attempt
  std::optional<Claim> m_Claim;  ///< of the current attempt
  bool m_CallerGone = false;
};

} // namespace deckpitch::daemon
