#include "daemon/entry-chat.h"

#include "daemon/cancel-request.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds NoUpstreamRetryAfter{500};
/// Routes stay stale for about one heartbeat when instances switch weights.
constexpr std::chrono::milliseconds StaleRoutesTimeout{1'000};
constexpr std::chrono::milliseconds StaleRoutesPollInterval{10};
/// Bytes of the messages whose hash selects an upstream, for prefix caching.
constexpr std::size_t PrefixBytes = 256;
constexpr std::size_t MaxForwardedBytes = std::size_t{1024} * 1024;
/// Bound on the text of an answer that is not streamed.
constexpr std::size_t MaxContentBytes = std::size_t{8} * 1024 * 1024;
constexpr std::string_view StreamEnd = "data: [DONE]\n\n";

std::uint64_t prefixHashOf(const boost::json::object &Body) {
  const boost::json::value *Messages = Body.if_contains("messages");
  if (!Messages)
    return 0;
  const std::string Text = boost::json::serialize(*Messages);
  return XXH64(Text.data(), std::min(Text.size(), PrefixBytes), 0);
}

} // namespace

ChatCall::ChatCall(EntryContext &In, CallerRequest Call,
                   net::HttpResponder &Answer)
    : m_Context(In), m_Call(std::move(Call)), m_Answer(Answer),
      m_Routes(In.m_Routes.routes()) {}

ChatCall::~ChatCall() { m_Answer.onDisconnect(nullptr); }

std::optional<NotRun> ChatCall::prepare() {
  boost::json::error_code Ec;
  boost::json::value Parsed = boost::json::parse(m_Call.m_Http.m_Body, Ec);
  if (Ec || !Parsed.is_object())
    return NotRun{.m_Status = 400, .m_Reason = "the body is not a JSON object"};
  m_Body = std::move(Parsed.get_object());
  const boost::json::value *Model = m_Body.if_contains("model");
  if (!Model || !Model->is_string())
    return NotRun{.m_Status = 400, .m_Reason = "model: expected a string"};
  if (const boost::json::value *Stream = m_Body.if_contains("stream"))
    m_Streaming = Stream->is_bool() && Stream->get_bool();
  if (m_Body.contains("resume_from"))
    return NotRun{.m_Status = 400, .m_Reason = "resume_from: not for callers"};
  const boost::json::string &Name = Model->get_string();
  m_Pool = findEnginePool(m_Routes->m_Table, {Name.data(), Name.size()});
  if (!m_Pool)
    return NotRun{.m_Status = 404,
                  .m_Reason = "no pool or model '" + std::string(Name) + "'"};
  m_Body["stream"] = true;
  m_Hints.m_PrefixHash = prefixHashOf(m_Body);
  return std::nullopt;
}

asio::awaitable<RequestOutcome> ChatCall::run() {
  if (const auto Refusal = prepare()) {
    co_await m_Answer.send(notRunResponse(*Refusal));
    co_return RequestOutcome::NotRun;
  }
  m_Answer.onDisconnect([this] { callerGone(); });
  PoolAdmission Admitted =
      co_await awaitAdmission(m_Context, m_Routes, *m_Pool, m_Call);
  if (Admitted.m_Refusal) {
    co_await m_Answer.send(std::move(*Admitted.m_Refusal));
    co_return RequestOutcome::NotRun;
  }
  if (!m_Call.m_Terms.m_Idempotent && !m_Call.m_Terms.m_IdempotencyKey.empty())
    co_return co_await runKeyed();
  co_return co_await runUnkeyed();
}

asio::awaitable<RequestOutcome> ChatCall::runKeyed() {
  KeyedCall Keyed(m_Context, m_Call, m_Pool->m_Pool.m_Id, *this);
  KeyedResult Result = co_await Keyed.run();
  if (m_CallerGone)
    co_return RequestOutcome::Unknown;
  if (Result.m_Outcome == RequestOutcome::Answered && !Result.m_Replay)
    co_return co_await finish();
  if (m_Answer.started())
    co_return co_await giveUp(Result.m_Outcome);
  net::HttpResponse Response = Result.m_Replay
                                   ? replayResponse(*Result.m_Replay)
                                   : failureResponse(Result);
  co_await m_Answer.send(std::move(Response));
  co_return Result.m_Outcome;
}

asio::awaitable<AttemptEnd>
ChatCall::sendClaimed(std::shared_ptr<const EntryRoutes> Routes,
                      UpstreamRoute To, Claim Claimed) {
  m_Routes = std::move(Routes);
  m_Pool = &m_Routes->m_Table.m_Pools.at(m_Pool->m_Pool.m_Id);
  m_Claim = std::move(Claimed);
  co_return co_await attempt(To);
}

asio::awaitable<RequestOutcome> ChatCall::runUnkeyed() {
  m_Context.m_RetryBudget.deposit();
  if (m_CallerGone)
    co_return RequestOutcome::NotRun;
  // The routes may have changed while the request was queued.
  if (!refreshRoutes())
    co_return co_await giveUp(RequestOutcome::NotRun);
  // Covers all attempts: a later refusal does not undo an earlier run.
  bool MayHaveRun = false;
  while (true) {
    const UpstreamRoute *To = co_await nextUpstream();
    if (!To)
      break;
    const AttemptEnd End = co_await attempt(*To);
    MayHaveRun = MayHaveRun || End == AttemptEnd::Lost;
    if (End == AttemptEnd::Refused)
      m_Hints.noteRefusal(*To);
    if (m_CallerGone)
      co_return RequestOutcome::Unknown;
    if (End == AttemptEnd::Complete)
      co_return co_await finish();
    if (!mayRetry(m_Context, m_Call, m_Attempts, End))
      break;
    m_Context.m_Counters.m_Retries.fetch_add(1, std::memory_order_relaxed);
    if (!refreshRoutes())
      break;
  }
  co_return co_await giveUp(MayHaveRun ? RequestOutcome::Unknown
                                       : RequestOutcome::NotRun);
}

const UpstreamRoute *ChatCall::pick() const {
  return pickUpstream(*m_Routes, *m_Pool,
                      m_Context.m_Process.m_Settings.m_DataCentre, m_Hints);
}

bool ChatCall::refreshRoutes() {
  const PoolId Id = m_Pool->m_Pool.m_Id;
  const auto Fresh = m_Context.m_Routes.routes();
  const auto Pool = Fresh->m_Table.m_Pools.find(Id);
  if (Pool == Fresh->m_Table.m_Pools.end())
    return false;
  m_Routes = Fresh;
  m_Pool = &Pool->second;
  return true;
}

void ChatCall::discardTokens() {
  m_Hints.m_Weights = {};
  m_Hints.m_Digest = {};
  m_NextIndex = 0;
  m_Content.clear();
}

asio::awaitable<const UpstreamRoute *> ChatCall::nextUpstream() {
  const TimePoint GiveUpAt =
      std::min<TimePoint>(m_Call.m_Deadline, now() + StaleRoutesTimeout);
  const UpstreamRoute *Picked = pick();
  if (!Picked && !m_Answer.started()) {
    discardTokens();
    Picked = pick();
  }
  asio::steady_timer PollTimer(co_await asio::this_coro::executor);
  while (!Picked && !m_Hints.m_Refused.empty() && !m_CallerGone &&
         now() < GiveUpAt) {
    PollTimer.expires_after(StaleRoutesPollInterval);
    co_await PollTimer.async_wait(asio::use_awaitable);
    if (!refreshRoutes())
      break;
    Picked = pick();
  }
  co_return Picked;
}

std::string ChatCall::resumeBody() const {
  boost::json::object Body = m_Body;
  if (m_NextIndex > 0)
    Body["resume_from"] = m_NextIndex;
  return boost::json::serialize(Body);
}

asio::awaitable<AttemptEnd> ChatCall::attempt(const UpstreamRoute &To) {
  ++m_Attempts;
  m_Hints.m_Tried.insert(To.m_Instance);
  m_UpstreamAddress = To.m_Address;
  const auto Counters = m_Routes->m_Counters.at(To.m_Instance);
  const InFlightGuard Counted(Counters);
  const TimePoint SentAt = now();
  net::HttpRequest Request = makeAgentRequest(m_Call, m_Pool->m_Pool.m_Id, To);
  Request.m_Headers.add(header::ContentType, "application/json");
  if (m_Claim)
    addClaim(Request.m_Headers, *m_Claim);
  Request.m_Body = resumeBody();
  const Duration Left = m_Call.m_Deadline - now();
  const auto Limit = attemptTimeout(Left, m_Call.m_Terms.m_Idempotent);
  const net::CallLimits Limits{.m_FirstByte = Limit,
                               .m_ReadTimeout = stallTimeoutAt(To),
                               .m_BodyTimeout = MaxStreamTime};
  auto Opened = co_await m_Context.m_Process.m_Http.open(
      To.m_Address, std::move(Request), Limits, &m_OpenCancel);
  if (!Opened) {
    if (!m_CallerGone)
      Counters->failed(To.m_Instance);
    co_return attemptEndOf(Opened.error());
  }
  net::HttpStream &Stream = **Opened;
  const AttemptEnd ReportedEnd = attemptEndOf(Stream.headers(), m_Call.m_Id);
  if (ReportedEnd == AttemptEnd::Lost)
    Counters->failed(To.m_Instance);
  if (ReportedEnd != AttemptEnd::Complete)
    co_return ReportedEnd;
  Counters->answered(now() - SentAt);
  if (Stream.status() != 200)
    co_return co_await forwardResponse(Stream);
  m_Hints.m_Weights = To.m_Weights;
  m_Hints.m_Digest = To.m_Digest;
  m_Stream = &Stream;
  StreamBinding Bound{.m_RequestId = m_Call.m_Id,
                      .m_Weights = To.m_Weights,
                      .m_Digest = toHex(To.m_Digest),
                      .m_FirstIndex = m_NextIndex};
  const AttemptEnd End = co_await readStream(Stream, std::move(Bound));
  m_Stream = nullptr;
  if (End == AttemptEnd::Lost && !m_CallerGone)
    Counters->failed(To.m_Instance);
  co_return End;
}

std::chrono::milliseconds
ChatCall::stallTimeoutAt(const UpstreamRoute &To) const {
  PickHints Others = m_Hints;
  Others.m_Weights = To.m_Weights;
  Others.m_Digest = To.m_Digest;
  const bool CanMove =
      m_Call.m_Terms.m_Idempotent &&
      pickUpstream(*m_Routes, *m_Pool,
                   m_Context.m_Process.m_Settings.m_DataCentre, Others);
  return stallTimeout(CanMove, m_Context.m_RetryBudget.isLow());
}

asio::awaitable<AttemptEnd> ChatCall::readStream(net::HttpStream &Stream,
                                                 StreamBinding Bound) {
  if (m_NextIndex > 0)
    m_Context.m_Counters.m_Resumed.fetch_add(1, std::memory_order_relaxed);
  TokenStreamChecker Checker(std::move(Bound));
  while (true) {
    auto Piece = co_await Stream.read();
    if (!Piece || m_CallerGone)
      co_return AttemptEnd::Lost;
    if (Piece->empty())
      co_return Checker.finished() ? AttemptEnd::Complete : AttemptEnd::Lost;
    const StreamStep Step = Checker.feed(*Piece);
    m_Context.m_Counters.m_Tokens.fetch_add(Checker.nextIndex() - m_NextIndex,
                                            std::memory_order_relaxed);
    m_NextIndex = Checker.nextIndex();
    const bool Delivered = co_await deliver(Step);
    if (!Delivered)
      m_CallerGone = true;
    const bool IsTooLong = m_Content.size() > MaxContentBytes;
    if (m_CallerGone || Step.m_Fault != StreamFault::None || IsTooLong)
      co_return AttemptEnd::Lost;
  }
}

asio::awaitable<bool> ChatCall::deliver(const StreamStep &Step) {
  if (!m_Streaming) {
    m_Content += Step.m_Content;
    co_return true;
  }
  if (Step.m_Events.empty())
    co_return true;
  const bool Begun = co_await beginStream();
  if (!Begun)
    co_return false;
  co_return co_await m_Answer.write(Step.m_Events);
}

asio::awaitable<bool> ChatCall::beginStream() {
  if (m_Answer.started())
    co_return true;
  net::HttpHeaders Headers;
  Headers.add(header::ContentType, "text/event-stream");
  Headers.add(header::Outcome, std::string(toText(RequestOutcome::Answered)));
  Headers.add(header::RequestId, m_Call.m_Id);
  Headers.add(header::Weights, m_Hints.m_Weights.m_Text);
  co_return co_await m_Answer.begin(200, std::move(Headers));
}

asio::awaitable<AttemptEnd> ChatCall::forwardResponse(net::HttpStream &Stream) {
  net::HttpResponse Response;
  Response.m_Status = Stream.status();
  while (true) {
    auto Piece = co_await Stream.read();
    if (!Piece)
      co_return AttemptEnd::Lost;
    if (Piece->empty())
      break;
    Response.m_Body += *Piece;
    if (Response.m_Body.size() > MaxForwardedBytes)
      co_return AttemptEnd::Lost;
  }
  Response.m_Headers.add(header::ContentType, std::string(Stream.headers().find(
                                                  header::ContentType)));
  m_ForwardedResponse = std::move(Response);
  co_return AttemptEnd::Complete;
}

asio::awaitable<RequestOutcome> ChatCall::finish() {
  if (m_Streaming && !m_ForwardedResponse) {
    bool IsConnected = co_await beginStream();
    if (IsConnected)
      IsConnected = co_await m_Answer.write(StreamEnd);
    if (IsConnected)
      co_await m_Answer.end();
    co_return RequestOutcome::Answered;
  }
  net::HttpResponse Response;
  if (m_ForwardedResponse) {
    Response = std::move(*m_ForwardedResponse);
  } else {
    const boost::json::value Choice{
        {"index", 0},
        {"message", {{"role", "assistant"}, {"content", m_Content}}},
        {"finish_reason", "stop"}};
    const boost::json::object Body{
        {"id", m_Call.m_Id},
        {"object", "chat.completion"},
        {"model", m_Body.at("model")},
        {"choices", boost::json::array{Choice}},
        {"usage", {{"completion_tokens", m_NextIndex}}},
        {"weights", m_Hints.m_Weights.m_Text},
        {"digest", toHex(m_Hints.m_Digest)}};
    Response = net::jsonResponse(200, boost::json::serialize(Body));
  }
  Response.m_Headers.add(header::Outcome,
                         std::string(toText(RequestOutcome::Answered)));
  Response.m_Headers.add(header::RequestId, m_Call.m_Id);
  co_await m_Answer.send(std::move(Response));
  co_return RequestOutcome::Answered;
}

asio::awaitable<RequestOutcome> ChatCall::giveUp(RequestOutcome Outcome) {
  const Duration RetryAfter = jittered(NoUpstreamRetryAfter);
  if (m_Answer.started()) {
    const boost::json::object Event{
        {"id", m_Call.m_Id},
        {"error",
         {{"message", "the stream broke and cannot be resumed"},
          {"type", toText(Outcome)}}},
        {"outcome", toText(Outcome)},
        {"retry_after_ms", milliseconds(RetryAfter).count()}};
    const std::string Text =
        "event: error\ndata: " + boost::json::serialize(Event) + "\n\n";
    co_await m_Answer.write(Text);
    co_await m_Answer.end();
    co_return Outcome;
  }
  net::HttpResponse Response =
      Outcome == RequestOutcome::Unknown
          ? unknownResponse("no upstream gave a whole answer", RetryAfter)
          : notRunResponse({.m_Reason = "no upstream is ready to take it",
                            .m_RetryAfter = RetryAfter});
  co_await m_Answer.send(std::move(Response));
  co_return Outcome;
}

void ChatCall::callerGone() {
  m_CallerGone = true;
  if (m_Stream) {
    m_Stream->cancel();
    return;
  }
  m_OpenCancel.cancel();
  if (m_UpstreamAddress.empty())
    return;
  Process &In = m_Context.m_Process;
  asio::co_spawn(In.m_Threads.nextWorker(),
                 cancelRequest(In, m_UpstreamAddress, m_Call.m_Id),
                 asio::detached);
}

} // namespace deckpitch::daemon
