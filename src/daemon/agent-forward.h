// Forwards an admitted request from an agent to its engine or service.
#pragma once

#include "daemon/call-headers.h"
#include "daemon/module.h"
#include "deckpitch/call-records.h"
#include "deckpitch/request-gate.h"

#include <memory>

namespace deckpitch::daemon {

/// A request that the agent received from an entry, with the binding that the
/// entry chose for it.
struct BoundRequest {
  std::string m_Id;
  RequestBinding m_Binding;
  Duration m_TimeLeft{};
  std::optional<KeyedRun> m_Keyed;
  net::HttpRequest m_Http;
};

/// How a request ended at the engine or service.
enum class ForwardEnd {
  Complete,
  NeverRan, ///< the engine or service was not reached or refused the request
  Lost,     ///< it may have run, but its answer was lost
};

/// Streams a chat completion from the engine to the entry. Aborts the answer at
/// the first event that belongs to another request or to other weights than the
/// bound ones.
class EngineForward {
public:
  EngineForward(Process &In, BoundRequest Request, net::HttpResponder &Answer);
  ~EngineForward();

  boost::asio::awaitable<ForwardEnd> run();

private:
  boost::asio::awaitable<ForwardEnd> forwardStream(net::HttpStream &Stream);
  boost::asio::awaitable<ForwardEnd> forwardRefusal(net::HttpStream &Stream);
  net::HttpRequest engineRequest() const;
  void callerGone();

  Process &m_Process;
  BoundRequest m_Request;
  net::HttpResponder &m_Answer;
  net::HttpStream *m_Stream = nullptr;
  net::CallCancel m_OpenCancel;
  bool m_CallerGone = false;
};

/// Calls the plain service and returns its complete answer or the error of
/// HttpClient.
boost::asio::awaitable<Outcome<net::HttpResponse>>
callService(Process &In, const BoundRequest &Request);

/// Cancels a request at the engine.
boost::asio::awaitable<void> cancelAtEngine(Process &In, std::string RequestId);

/// Makes a response of the agent itself that carries the request's id.
net::HttpResponse agentAnswer(unsigned Status, std::string_view Outcome,
                              std::string_view Reason,
                              const std::string &RequestId);

} // namespace deckpitch::daemon
