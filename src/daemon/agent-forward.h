// Passes one admitted request from an agent to its engine or service.
#pragma once

#include "daemon/call-headers.h"
#include "daemon/module.h"
#include "deckpitch/call-records.h"
#include "deckpitch/request-gate.h"

#include <memory>

namespace deckpitch::daemon {

/// A request as the agent got it from an entry.
struct BoundRequest {
  std::string m_Id;
  RequestBinding m_Binding;
  Duration m_TimeLeft{};
  std::optional<KeyedRun> m_Keyed;
  net::HttpRequest m_Http;
};

/// What became of a request at the engine or service.
enum class ForwardEnd {
  Whole,
  NeverRan, ///< it was not reached, or refused the request
  Lost,
};

/// Streams a chat completion from the engine, letting through only events of
/// this request and of the bound weights. Breaks the answer otherwise.
class EngineForward {
public:
  EngineForward(Process &In, BoundRequest Request, net::HttpResponder &Answer);
  ~EngineForward();

  boost::asio::awaitable<ForwardEnd> run();

private:
  boost::asio::awaitable<ForwardEnd> passStream(net::HttpStream &Stream);
  boost::asio::awaitable<ForwardEnd> passRefusal(net::HttpStream &Stream);
  net::HttpRequest engineRequest() const;
  void callerGone();

  Process &m_Process;
  BoundRequest m_Request;
  net::HttpResponder &m_Answer;
  net::HttpStream *m_Open = nullptr;
  net::CallCancel m_Opening;
  bool m_Gone = false;
};

/// Calls the plain service and gives its whole answer; errors as HttpClient's.
boost::asio::awaitable<Outcome<net::HttpResponse>>
callService(Process &In, const BoundRequest &Request);

/// Ends a request at the engine.
boost::asio::awaitable<void> cancelAtEngine(Process &In, std::string RequestId);

/// An answer of the agent itself, marked as the request's.
net::HttpResponse agentAnswer(unsigned Status, std::string_view Outcome,
                              std::string_view Reason,
                              const std::string &RequestId);

} // namespace deckpitch::daemon
