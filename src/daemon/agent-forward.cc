#include "daemon/agent-forward.h"
#include "daemon/cancel-request.h"
#include "deckpitch/request-outcome.h"
#include "deckpitch/token-stream.h"
#include "net/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <array>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds EngineConnectTimeout{500};
/// Answers of the agent's upstream name no request: on a reused connection, a
/// late one would be taken for the answer to the next request. Connections to
/// the upstream are local, so that a new one for each request costs little.
constexpr std::chrono::milliseconds NoReuse{0};
constexpr std::size_t MaxServiceAnswerBytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t MaxRefusalBytes = std::size_t{64} * 1024;
constexpr std::string_view StreamEnd = "data: [DONE]\n\n";
constexpr unsigned WeightsConflict = 409;
constexpr unsigned QueueFull = 429;
constexpr unsigned NoWeights = 503;
constexpr unsigned FirstClientError = 400;
constexpr unsigned RequestTimedOut = 408;
constexpr unsigned FirstServerError = 500;

std::uint64_t firstIndexOf(const std::string &Body) {
  boost::json::error_code Ec;
  const boost::json::value Parsed = boost::json::parse(Body, Ec);
  if (Ec || !Parsed.is_object())
    return 0;
  const boost::json::value *From =
      Parsed.get_object().if_contains("resume_from");
  if (!From)
    return 0;
  const auto Index = From->to_number<std::uint64_t>(Ec);
  return Ec ? 0 : Index;
}

void copyHeader(const net::HttpHeaders &From, net::HttpHeaders &To,
                const char *Name) {
  const std::string_view Value = From.find(Name);
  if (!Value.empty())
    To.add(Name, std::string(Value));
}

} // namespace

net::HttpResponse agentAnswer(unsigned Status, std::string_view Outcome,
                              std::string_view Reason,
                              const std::string &RequestId) {
  const boost::json::object Body{{"error", Reason}, {"outcome", Outcome}};
  auto Response = net::jsonResponse(Status, boost::json::serialize(Body));
  Response.m_Headers.add(header::Outcome, std::string(Outcome));
  Response.m_Headers.add(header::RequestId, RequestId);
  return Response;
}

asio::awaitable<void> cancelAtEngine(Process &In, std::string RequestId) {
  co_await cancelRequest(In, In.requestAddress(), std::move(RequestId));
}

EngineForward::EngineForward(Process &In, BoundRequest Request,
                             net::HttpResponder &Answer)
    : m_Process(In), m_Request(std::move(Request)), m_Answer(Answer) {
  m_Answer.onDisconnect([this] { callerGone(); });
}

EngineForward::~EngineForward() { m_Answer.onDisconnect(nullptr); }

net::HttpRequest EngineForward::engineRequest() const {
  net::HttpRequest Out;
  Out.m_Method = m_Request.m_Http.m_Method;
  Out.m_Target = m_Request.m_Http.m_Target;
  Out.m_Body = m_Request.m_Http.m_Body;
  const net::HttpHeaders &Source = m_Request.m_Http.m_Headers;
  copyHeader(Source, Out.m_Headers, header::ContentType);
  copyHeader(Source, Out.m_Headers, header::RequestId);
  copyHeader(Source, Out.m_Headers, header::Priority);
  copyHeader(Source, Out.m_Headers, header::Weights);
  return Out;
}

asio::awaitable<ForwardEnd> EngineForward::run() {
  const auto Left = milliseconds(m_Request.m_TimeLeft);
  const net::CallLimits Limits{.m_ConnectTimeout = EngineConnectTimeout,
                               .m_FirstByte = Left,
                               .m_ReadTimeout = Left,
                               .m_BodyTimeout = MaxStreamTime,
                               .m_MaxIdle = NoReuse,
                               .m_KeepsConnection = false};
  auto Opened = co_await m_Process.m_Http.open(
      m_Process.requestAddress(), engineRequest(), Limits, &m_OpenCancel);
  if (m_CallerGone)
    co_return ForwardEnd::Lost;
  if (!Opened) {
    const bool NeverSent = Opened.error().m_Code == ErrorCode::Unavailable;
    const auto Outcome =
        NeverSent ? RequestOutcome::NotRun : RequestOutcome::Unknown;
    co_await m_Answer.send(agentAnswer(
        502, toText(Outcome), Opened.error().m_Message, m_Request.m_Id));
    co_return NeverSent ? ForwardEnd::NeverRan : ForwardEnd::Lost;
  }
  net::HttpStream &Stream = **Opened;
  m_Stream = &Stream;
  ForwardEnd End = ForwardEnd::Lost;
  if (Stream.status() == 200)
    End = co_await forwardStream(Stream);
  else
    End = co_await forwardRefusal(Stream);
  m_Stream = nullptr;
  co_return End;
}

/// Tells whether the engine's status proves that the request did not run.
static bool provesNotRun(unsigned Status) {
  return Status == WeightsConflict || Status == QueueFull ||
         Status == NoWeights;
}

/// Whether the engine has refused the request, so that a repetition under its
/// key may run. Other statuses than 200 are none that an engine gives.
static bool isRefusal(unsigned Status) {
  return provesNotRun(Status) ||
         (Status >= FirstClientError && Status < FirstServerError &&
          Status != RequestTimedOut);
}

asio::awaitable<ForwardEnd>
EngineForward::forwardRefusal(net::HttpStream &Stream) {
  net::HttpResponse Response;
  Response.m_Status = Stream.status();
  while (Response.m_Body.size() < MaxRefusalBytes) {
    auto Piece = co_await Stream.read();
    if (!Piece || Piece->empty())
      break;
    Response.m_Body += *Piece;
  }
  RequestOutcome Outcome = RequestOutcome::Answered;
  if (provesNotRun(Response.m_Status))
    Outcome = RequestOutcome::NotRun;
  else if (Response.m_Status >= FirstServerError ||
           Response.m_Status == RequestTimedOut)
    Outcome = RequestOutcome::Unknown;
  Response.m_Headers.add(header::ContentType, "application/json");
  Response.m_Headers.add(header::Outcome, std::string(toText(Outcome)));
  Response.m_Headers.add(header::RequestId, m_Request.m_Id);
  const bool MayRunAgain = isRefusal(Response.m_Status);
  co_await m_Answer.send(std::move(Response));
  co_return MayRunAgain ? ForwardEnd::NeverRan : ForwardEnd::Lost;
}

asio::awaitable<ForwardEnd>
EngineForward::forwardStream(net::HttpStream &Stream) {
  TokenStreamChecker Checker(
      {.m_RequestId = m_Request.m_Id,
       .m_Weights = m_Request.m_Binding.m_Weights,
       .m_Digest = m_Request.m_Binding.m_Digest,
       .m_FirstIndex = firstIndexOf(m_Request.m_Http.m_Body)});
  net::HttpHeaders Headers;
  Headers.add(header::ContentType, "text/event-stream");
  Headers.add(header::Outcome, std::string(toText(RequestOutcome::Answered)));
  Headers.add(header::RequestId, m_Request.m_Id);
  bool IsConnected = co_await m_Answer.begin(200, std::move(Headers));
  while (IsConnected) {
    auto Piece = co_await Stream.read();
    if (!Piece || m_CallerGone)
      break;
    if (Piece->empty() && Checker.finished()) {
      co_await m_Answer.write(StreamEnd);
      co_await m_Answer.end();
      co_return ForwardEnd::Complete;
    }
    const StreamStep Step = Checker.feed(*Piece);
    IsConnected = co_await m_Answer.write(Step.m_Events);
    if (Step.m_Fault != StreamFault::None)
      net::log(Event::UpstreamAnswerRefused,
               {{"request", m_Request.m_Id}, {"fault", toText(Step.m_Fault)}});
    if (Step.m_Fault != StreamFault::None || Piece->empty())
      break;
  }
  m_Answer.abort();
  if (!Checker.finished())
    co_await cancelAtEngine(m_Process, m_Request.m_Id);
  co_return Checker.finished() ? ForwardEnd::Complete : ForwardEnd::Lost;
}

void EngineForward::callerGone() {
  m_CallerGone = true;
  m_OpenCancel.cancel();
  if (m_Stream)
    m_Stream->cancel();
  asio::co_spawn(m_Process.m_Threads.nextWorker(),
                 cancelAtEngine(m_Process, m_Request.m_Id), asio::detached);
}

asio::awaitable<Outcome<net::HttpResponse>>
callService(Process &In, const BoundRequest &Request) {
  net::HttpRequest Out;
  Out.m_Method = Request.m_Http.m_Method;
  Out.m_Target = Request.m_Http.m_Target;
  Out.m_Body = Request.m_Http.m_Body;
  const net::HttpHeaders &Source = Request.m_Http.m_Headers;
  copyHeader(Source, Out.m_Headers, header::ContentType);
  copyHeader(Source, Out.m_Headers, header::RequestId);
  copyHeader(Source, Out.m_Headers, header::IdempotencyKey);
  const auto Left = milliseconds(Request.m_TimeLeft);
  const net::CallLimits Limits{.m_ConnectTimeout = EngineConnectTimeout,
                               .m_FirstByte = Left,
                               .m_ReadTimeout = Left,
                               .m_BodyTimeout = Left,
                               .m_BodyBytes = MaxServiceAnswerBytes,
                               .m_MaxIdle = NoReuse,
                               .m_KeepsConnection = false};
  co_return co_await In.m_Http.call(In.requestAddress(), std::move(Out),
                                    Limits);
}

} // namespace deckpitch::daemon
