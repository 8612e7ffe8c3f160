// One caller's chat completion on its way through an entry.
#pragma once

#include "daemon/entry-keyed.h"
#include "deckpitch/token-stream.h"

#include <boost/json/object.hpp>

#include <optional>

namespace deckpitch::daemon {

/// Runs one request: tries upstreams until one gives the whole answer,
/// resuming a broken one where it stopped, or tells the caller at once that
/// there will be none. Lives on one worker.
class ChatCall final : private ClaimedSender {
public:
  ChatCall(EntryContext &In, CallerRequest Call, net::HttpResponder &Answer);
  ~ChatCall() override;

  boost::asio::awaitable<RequestOutcome> run();

private:
  /// Why the request cannot be passed on, if so.
  std::optional<NotRun> prepare();
  boost::asio::awaitable<RequestOutcome> runUnkeyed();
  boost::asio::awaitable<RequestOutcome> runKeyed();
  boost::asio::awaitable<AttemptEnd>
  sendClaimed(std::shared_ptr<const EntryRoutes> Routes, UpstreamRoute To,
              Claim Claimed) override;
  /// Waits a little for fresh routes when upstreams refused the request
  /// because those in use are out of date; null when none can take it.
  boost::asio::awaitable<const UpstreamRoute *> nextUpstream();
  const UpstreamRoute *pick() const;
  /// So that the next attempt may start anew, on any weights.
  void forgetTokens();
  /// False when the pool is gone.
  bool refreshRoutes();
  boost::asio::awaitable<AttemptEnd> attempt(const UpstreamRoute &To);
  std::chrono::milliseconds stallLimitAt(const UpstreamRoute &To) const;
  boost::asio::awaitable<AttemptEnd> readStream(net::HttpStream &Stream,
                                                StreamBinding Bound);
  boost::asio::awaitable<bool> deliver(const StreamStep &Step);
  boost::asio::awaitable<RequestOutcome> finish();
  boost::asio::awaitable<RequestOutcome> giveUp(RequestOutcome Outcome);
  /// An upstream's own refusal of the request, passed on as the answer.
  boost::asio::awaitable<AttemptEnd> passOn(net::HttpStream &Stream);
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
  std::optional<net::HttpResponse> m_PassedOn;
  net::HttpStream *m_Open = nullptr;
  net::CallCancel m_Opening;
  std::string m_Upstream;       ///< address of the attempt under way
  std::optional<Claim> m_Claim; ///< of the attempt under way
  bool m_Gone = false;
};

} // namespace deckpitch::daemon
