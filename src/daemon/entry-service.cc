#include "daemon/entry-service.h"

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds NoUpstreamRetryAfter{500};
constexpr std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;

} // namespace

ServiceCall::ServiceCall(EntryContext &In, CallerRequest Call,
                         net::HttpResponder &Answer)
    : m_Context(In), m_Call(std::move(Call)), m_Answer(Answer) {
  findPool();
}

void ServiceCall::findPool() {
  m_Routes = m_Context.m_Routes.routes();
  m_Pool = findServicePool(m_Routes->m_Table, m_Call.m_Http.path());
}

asio::awaitable<RequestOutcome> ServiceCall::answerNoSuchPath() {
  auto Response = notRunResponse({.m_Status = 404, .m_Reason = "no such path"});
  co_return co_await answer(RequestOutcome::NotRun, std::move(Response));
}

asio::awaitable<RequestOutcome> ServiceCall::run() {
  if (!m_Pool)
    co_return co_await answerNoSuchPath();
  PoolAdmission Admitted =
      co_await awaitAdmission(m_Context, m_Routes, *m_Pool, m_Call);
  if (Admitted.m_Refusal)
    co_return co_await answer(RequestOutcome::NotRun,
                              std::move(*Admitted.m_Refusal));
  // The routes may have changed while the request was queued.
  findPool();
  if (!m_Pool)
    co_return co_await answerNoSuchPath();
  if (!m_Call.m_Terms.m_Idempotent && !m_Call.m_Terms.m_IdempotencyKey.empty())
    co_return co_await runKeyed();
  co_return co_await runUnkeyed();
}

asio::awaitable<RequestOutcome> ServiceCall::runKeyed() {
  KeyedCall Keyed(m_Context, m_Call, m_Pool->m_Pool.m_Id, *this);
  KeyedResult Result = co_await Keyed.run();
  net::HttpResponse Response = Result.m_Replay
                                   ? replayResponse(*Result.m_Replay)
                                   : std::move(m_Response);
  if (Result.m_Outcome != RequestOutcome::Answered)
    Response = failureResponse(Result);
  co_return co_await answer(Result.m_Outcome, std::move(Response));
}

asio::awaitable<AttemptEnd>
ServiceCall::sendClaimed(std::shared_ptr<const EntryRoutes> Routes,
                         UpstreamRoute To, Claim Claimed) {
  m_Routes = std::move(Routes);
  m_Pool = &m_Routes->m_Table.m_Pools.at(m_Pool->m_Pool.m_Id);
  m_Claim = std::move(Claimed);
  co_return co_await attempt(To);
}

asio::awaitable<RequestOutcome> ServiceCall::runUnkeyed() {
  m_Context.m_RetryBudget.deposit();
  // Covers all attempts: a later refusal does not undo an earlier run.
  bool MayHaveRun = false;
  while (true) {
    const UpstreamRoute *To =
        pickUpstream(*m_Routes, *m_Pool,
                     m_Context.m_Process.m_Settings.m_DataCentre, m_Hints);
    if (!To)
      break;
    const AttemptEnd End = co_await attempt(*To);
    MayHaveRun = MayHaveRun || End == AttemptEnd::Lost;
    if (End == AttemptEnd::Complete)
      co_return co_await answer(RequestOutcome::Answered,
                                std::move(m_Response));
    if (!mayRetry(m_Context, m_Call, m_Attempts, End))
      break;
    m_Context.m_Counters.m_Retries.fetch_add(1, std::memory_order_relaxed);
  }
  const Duration RetryAfter = jittered(NoUpstreamRetryAfter);
  net::HttpResponse Response =
      MayHaveRun
          ? unknownResponse("no whole answer came", RetryAfter)
          : notRunResponse({.m_Reason = "no upstream is ready to take it",
                            .m_RetryAfter = RetryAfter});
  const auto Outcome =
      MayHaveRun ? RequestOutcome::Unknown : RequestOutcome::NotRun;
  co_return co_await answer(Outcome, std::move(Response));
}

asio::awaitable<AttemptEnd> ServiceCall::attempt(const UpstreamRoute &To) {
  ++m_Attempts;
  m_Hints.m_Tried.insert(To.m_Instance);
  const auto Counters = m_Routes->m_Counters.at(To.m_Instance);
  const InFlightGuard Counted(Counters);
  const TimePoint SentAt = now();
  net::HttpRequest Request = makeAgentRequest(m_Call, m_Pool->m_Pool.m_Id, To);
  Request.m_Headers.add(
      header::ContentType,
      std::string(m_Call.m_Http.m_Headers.find(header::ContentType)));
  if (!m_Call.m_Terms.m_IdempotencyKey.empty())
    Request.m_Headers.add(header::IdempotencyKey,
                          m_Call.m_Terms.m_IdempotencyKey);
  if (m_Claim)
    addClaim(Request.m_Headers, *m_Claim);
  Request.m_Body = m_Call.m_Http.m_Body;
  const auto Limit =
      attemptTimeout(m_Call.m_Deadline - now(), m_Call.m_Terms.m_Idempotent);
  const net::CallLimits Limits{.m_FirstByte = Limit,
                               .m_ReadTimeout = Limit,
                               .m_BodyTimeout = Limit,
                               .m_BodyBytes = MaxAnswerBytes,
                               .m_RetriesGet = false};
  auto Got = co_await m_Context.m_Process.m_Http.call(
      To.m_Address, std::move(Request), Limits);
  if (!Got) {
    Counters->failed(To.m_Instance);
    co_return attemptEndOf(Got.error());
  }
  const AttemptEnd End = attemptEndOf(Got->m_Headers, m_Call.m_Id);
  if (End == AttemptEnd::Lost)
    Counters->failed(To.m_Instance);
  if (End == AttemptEnd::Complete) {
    Counters->answered(now() - SentAt);
    m_Response.m_Status = Got->m_Status;
    m_Response.m_Body = std::move(Got->m_Body);
    m_Response.m_Headers.add(
        header::ContentType,
        std::string(Got->m_Headers.find(header::ContentType)));
    m_Response.m_Headers.add(header::Outcome,
                             std::string(toText(RequestOutcome::Answered)));
  }
  co_return End;
}

asio::awaitable<RequestOutcome>
ServiceCall::answer(RequestOutcome Outcome, net::HttpResponse Response) {
  Response.m_Headers.add(header::RequestId, m_Call.m_Id);
  co_await m_Answer.send(std::move(Response));
  co_return Outcome;
}

} // namespace deckpitch::daemon
