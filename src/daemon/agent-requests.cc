#include "daemon/agent-forward.h"
#include "deckpitch/request-outcome.h"

#include <boost/json.hpp>

#include <charconv>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

/// Counts one request in a process-wide number for as long as it lives.
class CountGuard {
public:
  explicit CountGuard(std::atomic<std::uint32_t> &Counted)
      : m_Counted(Counted) {
    m_Counted.fetch_add(1);
  }
  ~CountGuard() { m_Counted.fetch_sub(1); }
  CountGuard(const CountGuard &) = delete;
  CountGuard &operator=(const CountGuard &) = delete;

private:
  std::atomic<std::uint32_t> &m_Counted;
};

std::uint64_t numberOf(std::string_view Text, std::uint64_t Default) {
  std::uint64_t Value = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

/// The entries' side of an agent: the gate before its engine or service.
class AgentRequests final : public Module {
public:
  explicit AgentRequests(Process &In) : m_Process(In) {}

  std::vector<Route> requestRoutes() override;
  bool drained() const override { return m_Process.m_InFlight.load() == 0; }
  boost::json::object dump() const override;

private:
  asio::awaitable<void> serve(net::HttpRequest Request,
                              net::HttpResponder &Answer);
  asio::awaitable<void> serveBound(BoundRequest Request,
                                   net::HttpResponder &Answer);
  asio::awaitable<void> serveService(BoundRequest Request,
                                     net::HttpResponder &Answer);
  asio::awaitable<void> cancel(net::HttpRequest Request,
                               net::HttpResponder &Answer);
  BoundRequest read(net::HttpRequest Request) const;

  Process &m_Process;
  std::atomic<std::uint64_t> m_Admitted{0};
  std::atomic<std::uint64_t> m_Refused{0};
};

std::vector<Route> AgentRequests::requestRoutes() {
  auto Serve = [this](net::HttpRequest Request, net::HttpResponder &Answer) {
    return serve(std::move(Request), Answer);
  };
  auto Cancel = [this](net::HttpRequest Request, net::HttpResponder &Answer) {
    return cancel(std::move(Request), Answer);
  };
  return {{"", "/", Serve}, {"DELETE", "/v1/requests/", Cancel}};
}

BoundRequest AgentRequests::read(net::HttpRequest Request) const {
  const net::HttpHeaders &Headers = Request.m_Headers;
  const auto Default = m_Process.m_Settings.m_Requests.m_DefaultDeadline;
  const std::uint64_t Left =
      numberOf(Headers.find(header::DeadlineMs), Default.count());
  BoundRequest Read{
      .m_Id = std::string(Headers.find(header::RequestId)),
      .m_Binding = {.m_Pool = {std::string(Headers.find(header::Pool))},
                    .m_Weights = {std::string(Headers.find(header::Weights))},
                    .m_Digest =
                        std::string(Headers.find(header::WeightsDigest)),
                    .m_Incarnation = {numberOf(
                        Headers.find(header::Incarnation), 0)}},
      .m_TimeLeft = std::chrono::milliseconds(Left)};
  Read.m_Http = std::move(Request);
  return Read;
}

asio::awaitable<void> AgentRequests::serve(net::HttpRequest Request,
                                           net::HttpResponder &Answer) {
  BoundRequest Bound = read(std::move(Request));
  // Counted before the check: a change of weights first withdraws readiness
  // and then waits for the count, so either it sees this request or this
  // request sees it.
  const CountGuard Counted(m_Process.m_InFlight);
  const auto Refusal =
      refusalOf(Bound.m_Binding, *m_Process.m_Serving.load(),
                m_Process.m_Incarnation, m_Process.m_Leaving.load());
  if (Refusal) {
    m_Refused.fetch_add(1, std::memory_order_relaxed);
    co_await Answer.send(
        agentAnswer(409, toText(RequestOutcome::NotRun), *Refusal, Bound.m_Id));
    co_return;
  }
  m_Admitted.fetch_add(1, std::memory_order_relaxed);
  co_await serveBound(std::move(Bound), Answer);
}

asio::awaitable<void> AgentRequests::serveBound(BoundRequest Request,
                                                net::HttpResponder &Answer) {
  if (m_Process.m_Settings.m_Upstream.m_Kind == PoolKind::Service) {
    co_await serveService(std::move(Request), Answer);
    co_return;
  }
  EngineForward Forward(m_Process, std::move(Request), Answer);
  co_await Forward.run();
}

asio::awaitable<void> AgentRequests::serveService(BoundRequest Request,
                                                  net::HttpResponder &Answer) {
  auto Got = co_await callService(m_Process, Request);
  if (!Got) {
    const bool NeverSent = Got.error().m_Code == ErrorCode::Unavailable;
    const auto Outcome =
        NeverSent ? RequestOutcome::NotRun : RequestOutcome::Unknown;
    co_await Answer.send(
        agentAnswer(502, toText(Outcome), Got.error().m_Message, Request.m_Id));
    co_return;
  }
  net::HttpResponse Response;
  Response.m_Status = Got->m_Status;
  Response.m_Body = std::move(Got->m_Body);
  Response.m_Headers.add(header::ContentType,
                         std::string(Got->m_Headers.find(header::ContentType)));
  Response.m_Headers.add(header::Outcome,
                         std::string(toText(RequestOutcome::Answered)));
  Response.m_Headers.add(header::RequestId, Request.m_Id);
  co_await Answer.send(std::move(Response));
}

asio::awaitable<void> AgentRequests::cancel(net::HttpRequest Request,
                                            net::HttpResponder &Answer) {
  if (m_Process.m_Settings.m_Upstream.m_Kind != PoolKind::Engine ||
      !Request.m_Headers.find(header::Pool).empty()) {
    co_await serve(std::move(Request), Answer);
    co_return;
  }
  constexpr std::string_view Prefix = "/v1/requests/";
  std::string Id(Request.path().substr(Prefix.size()));
  co_await cancelAtEngine(m_Process, std::move(Id));
  net::HttpResponse Done;
  Done.m_Status = 204;
  co_await Answer.send(std::move(Done));
}

boost::json::object AgentRequests::dump() const {
  return {{"inFlight", m_Process.m_InFlight.load()},
          {"waiting", m_Process.m_Waiting.load()},
          {"admitted", m_Admitted.load()},
          {"refused", m_Refused.load()}};
}

const Registration<AgentRequests> Registered("requests", Role::Agent);

} // namespace

} // namespace deckpitch::daemon
