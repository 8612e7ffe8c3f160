// Handles one caller's request to a plain service in an entry.
#pragma once

#include "daemon/entry-keyed.h"

#include <optional>

namespace deckpitch::daemon {

/// Runs one request and buffers the complete answer before forwarding it to
/// the caller. Used on one worker thread only.
class ServiceCall final : private ClaimedSender {
public:
  ServiceCall(EntryContext &In, CallerRequest Call, net::HttpResponder &Answer);

  boost::asio::awaitable<RequestOutcome> run();

private:
  boost::asio::awaitable<AttemptEnd>
  sendClaimed(std::shared_ptr<const EntryRoutes> Routes, UpstreamRoute To,
              Claim Claimed) override;
  boost::asio::awaitable<AttemptEnd> attempt(const UpstreamRoute &To);
  void findPool();
  boost::asio::awaitable<RequestOutcome> answerNoSuchPath();
  boost::asio::awaitable<RequestOutcome> runUnkeyed();
  boost::asio::awaitable<RequestOutcome> runKeyed();
  boost::asio::awaitable<RequestOutcome> answer(RequestOutcome Outcome,
                                                net::HttpResponse Response);

  EntryContext &m_Context;
  CallerRequest m_Call;
  net::HttpResponder &m_Answer;
  std::shared_ptr<const EntryRoutes> m_Routes;
  const PoolRoute *m_Pool = nullptr;
  PickHints m_Hints;
  std::uint32_t m_Attempts = 0;
  std::optional<Claim> m_Claim; ///< of the current attempt
  net::HttpResponse m_Response;
};

} // namespace deckpitch::daemon
