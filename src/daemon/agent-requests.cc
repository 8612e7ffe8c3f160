#include "daemon/agent-forward.h"
#include "daemon/clock.h"
#include "daemon/weights-link.h"
#include "deckpitch/request-outcome.h"

#include <boost/json.hpp>

#include <charconv>
#include <mutex>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

/// How long a fence waits for a claimed run to arrive. A call within a region
/// takes some milliseconds, and some tens of milliseconds on a busy instance.
constexpr Duration FenceTimeout = std::chrono::milliseconds(100);
constexpr Duration FencePollInterval = std::chrono::milliseconds(2);

/// Counts one request in a process-wide counter during its lifetime.
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

std::optional<KeyedRun> keyedRunOf(const net::HttpHeaders &Headers) {
  const std::string_view Key = Headers.find(header::ClaimKey);
  if (Key.empty())
    return std::nullopt;
  return KeyedRun{std::string(Key),
                  static_cast<std::uint32_t>(
                      numberOf(Headers.find(header::ClaimAttempt), 0)),
                  numberOf(Headers.find(header::ClaimTicket), 0)};
}

std::string_view toText(RunState State) {
  switch (State) {
  case RunState::NeverRan:
    return "never-ran";
  case RunState::Running:
    return "running";
  case RunState::Done:
    return "done";
  case RunState::Unknown:
    break;
  }
  return "unknown";
}

/// Serves requests from entries and admits them to the agent's engine or
/// service.
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
  asio::awaitable<void> serveService(const BoundRequest &Request,
                                     net::HttpResponder &Answer);
  asio::awaitable<void> serveKeyed(BoundRequest Request,
                                   net::HttpResponder &Answer);
  asio::awaitable<void> sendTicket(net::HttpRequest Request,
                                   net::HttpResponder &Answer);
  asio::awaitable<void> fence(net::HttpRequest Request,
                              net::HttpResponder &Answer);
  RunAdmission admit(const KeyedRun &Run);
  void record(const KeyedRun &Run, ForwardEnd End);
  asio::awaitable<void> awaitArrival(const KeyedRun &Run);
  net::HttpResponse fenceAnswer(const KeyedRun &Run);
  bool isForThisIncarnation(const net::HttpRequest &Request) const;
  bool isService() const {
    return m_Process.m_Settings.m_Upstream.m_Kind == PoolKind::Service;
  }
  asio::awaitable<void> cancel(net::HttpRequest Request,
                               net::HttpResponder &Answer);
  BoundRequest parseRequest(net::HttpRequest Request) const;

  Process &m_Process;
  std::mutex m_RecordsMutex; ///< held for lookups only
  CallRecords m_Records;
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
  auto Ticket = [this](net::HttpRequest Request, net::HttpResponder &Answer) {
    return sendTicket(std::move(Request), Answer);
  };
  auto Fence = [this](net::HttpRequest Request, net::HttpResponder &Answer) {
    return fence(std::move(Request), Answer);
  };
  return {{"", "/", Serve},
          {"DELETE", "/v1/requests/", Cancel},
          {"GET", agentpath::Ticket, Ticket},
          {"POST", agentpath::Fence, Fence}};
}

BoundRequest AgentRequests::parseRequest(net::HttpRequest Request) const {
  const net::HttpHeaders &Headers = Request.m_Headers;
  const auto Default = m_Process.m_Settings.m_Requests.m_DefaultDeadline;
  const std::uint64_t Left =
      numberOf(Headers.find(header::DeadlineMs), Default.count());
  BoundRequest Parsed{
      .m_Id = std::string(Headers.find(header::RequestId)),
      .m_Binding = {.m_Pool = {std::string(Headers.find(header::Pool))},
                    .m_Weights = {std::string(Headers.find(header::Weights))},
                    .m_Digest =
                        std::string(Headers.find(header::WeightsDigest)),
                    .m_Incarnation = {numberOf(
                        Headers.find(header::Incarnation), 0)}},
      .m_TimeLeft = std::chrono::milliseconds(Left),
      .m_Keyed = keyedRunOf(Headers)};
  Parsed.m_Http = std::move(Request);
  return Parsed;
}

asio::awaitable<void> AgentRequests::serve(net::HttpRequest Request,
                                           net::HttpResponder &Answer) {
  BoundRequest Bound = parseRequest(std::move(Request));
  // The request is counted before the check: a change of weights first
  // withdraws readiness and then waits for the count to drop to 0, so either it
  // waits for this request or this request is refused.
  const CountGuard Counted(m_Process.m_InFlight);
  const auto Refusal =
      refusalReason(Bound.m_Binding, *m_Process.m_Serving.load(),
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
  if (Request.m_Keyed) {
    co_await serveKeyed(std::move(Request), Answer);
  } else if (isService()) {
    co_await serveService(Request, Answer);
  } else {
    EngineForward Forward(m_Process, std::move(Request), Answer);
    co_await Forward.run();
  }
}

RunAdmission AgentRequests::admit(const KeyedRun &Run) {
  std::lock_guard Lock(m_RecordsMutex);
  return m_Records.admit(Run, now());
}

void AgentRequests::record(const KeyedRun &Run, ForwardEnd End) {
  std::lock_guard Lock(m_RecordsMutex);
  if (End == ForwardEnd::NeverRan)
    m_Records.neverRan(Run.m_Key, now());
  else if (End == ForwardEnd::Lost)
    m_Records.lost(Run.m_Key, now());
  else
    m_Records.done(Run.m_Key, now());
}

asio::awaitable<void> AgentRequests::serveKeyed(BoundRequest Request,
                                                net::HttpResponder &Answer) {
  const KeyedRun Run = *Request.m_Keyed;
  const RunAdmission Admission = admit(Run);
  if (Admission != RunAdmission::Start) {
    const bool IsRefused = Admission == RunAdmission::Refused;
    const auto Outcome =
        IsRefused ? RequestOutcome::NotRun : RequestOutcome::Unknown;
    co_await Answer.send(agentAnswer(409, toText(Outcome),
                                     "the key's run may not start here",
                                     Request.m_Id));
    co_return;
  }
  if (isService()) {
    co_await serveService(Request, Answer);
    co_return;
  }
  EngineForward Forward(m_Process, std::move(Request), Answer);
  const ForwardEnd End = co_await Forward.run();
  record(Run, End);
}

/// Records the outcome of a keyed run before sending it, so that a fence that
/// follows the answer finds the record.
asio::awaitable<void> AgentRequests::serveService(const BoundRequest &Request,
                                                  net::HttpResponder &Answer) {
  auto Got = co_await callService(m_Process, Request);
  if (!Got) {
    const bool NeverSent = Got.error().m_Code == ErrorCode::Unavailable;
    const auto Outcome =
        NeverSent ? RequestOutcome::NotRun : RequestOutcome::Unknown;
    if (Request.m_Keyed)
      record(*Request.m_Keyed,
             NeverSent ? ForwardEnd::NeverRan : ForwardEnd::Lost);
    co_await Answer.send(
        agentAnswer(502, toText(Outcome), Got.error().m_Message, Request.m_Id));
    co_return;
  }
  const std::string Type(Got->m_Headers.find(header::ContentType));
  if (Request.m_Keyed) {
    std::lock_guard Lock(m_RecordsMutex);
    m_Records.done(Request.m_Keyed->m_Key, now(),
                   StoredAnswer{Got->m_Status, Type, Got->m_Body});
  }
  net::HttpResponse Response;
  Response.m_Status = Got->m_Status;
  Response.m_Body = std::move(Got->m_Body);
  Response.m_Headers.add(header::ContentType, Type);
  Response.m_Headers.add(header::Outcome,
                         std::string(toText(RequestOutcome::Answered)));
  Response.m_Headers.add(header::RequestId, Request.m_Id);
  co_await Answer.send(std::move(Response));
}

bool AgentRequests::isForThisIncarnation(
    const net::HttpRequest &Request) const {
  return numberOf(Request.m_Headers.find(header::Incarnation), 0) ==
         m_Process.m_Incarnation.m_Value;
}

asio::awaitable<void> AgentRequests::sendTicket(net::HttpRequest Request,
                                                net::HttpResponder &Answer) {
  net::HttpResponse Response = net::jsonResponse(200, "{}");
  Response.m_Headers.add(header::ClaimTicket,
                         std::to_string(CallRecords::ticketAt(now())));
  if (!isForThisIncarnation(Request) || m_Process.m_Leaving.load())
    Response = net::jsonResponse(409, R"({"error":"no tickets here"})");
  co_await Answer.send(std::move(Response));
}

net::HttpResponse AgentRequests::fenceAnswer(const KeyedRun &Run) {
  std::lock_guard Lock(m_RecordsMutex);
  const RunState State = m_Records.fence(Run, now());
  const auto Stored = m_Records.answerOf(Run.m_Key);
  net::HttpResponse Response;
  Response.m_Headers.add(header::RunState, std::string(toText(State)));
  if (State != RunState::Done || !Stored)
    return Response;
  Response.m_Headers.add(header::StoredStatus,
                         std::to_string(Stored->m_Status));
  Response.m_Headers.add(header::ContentType, Stored->m_ContentType);
  Response.m_Body = Stored->m_Body;
  return Response;
}

/// Waits for a claimed run that is in transit to arrive. Concurrent callers
/// with the same key fence each other's claims as soon as these are made.
/// Without the wait, each fence ruled out the run of the claim before it, until
/// all callers received the answer that no instance took the request (13 of 480
/// times with 12 callers).
asio::awaitable<void> AgentRequests::awaitArrival(const KeyedRun &Run) {
  const auto IsAwaited = [&] {
    std::lock_guard Lock(m_RecordsMutex);
    return m_Records.isAwaited(Run);
  };
  const TimePoint End = now() + FenceTimeout;
  while (now() < End && IsAwaited())
    co_await sleepFor(FencePollInterval);
}

asio::awaitable<void> AgentRequests::fence(net::HttpRequest Request,
                                           net::HttpResponder &Answer) {
  const auto Run = keyedRunOf(Request.m_Headers);
  net::HttpResponse Response =
      net::jsonResponse(409, R"({"error":"not this life of the instance"})");
  if (Run && isForThisIncarnation(Request)) {
    co_await awaitArrival(*Run);
    Response = fenceAnswer(*Run);
  }
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
