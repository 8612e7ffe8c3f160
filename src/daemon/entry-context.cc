#include "daemon/entry-context.h"

#include <boost/json.hpp>

#include <algorithm>
#include <random>

namespace deckpitch::daemon {

namespace {

constexpr std::chrono::milliseconds MinAttemptTimeout{50};
/// Divides the time left, so that time remains for another attempt.
constexpr int AttemptTimeoutDivisor = 3;

void addRetryAfter(net::HttpHeaders &Headers, Duration RetryAfter) {
  const auto Wait = std::max<std::int64_t>(1, milliseconds(RetryAfter).count());
  Headers.add(header::RetryAfterMs, std::to_string(Wait));
  Headers.add(header::RetryAfter, std::to_string((Wait + 999) / 1000));
}

net::HttpResponse failureResponse(unsigned Status, RequestOutcome Outcome,
                                  const std::string &Reason,
                                  const std::vector<std::string> &Entries) {
  const std::string OutcomeText(toText(Outcome));
  boost::json::object Body{
      {"error", {{"message", Reason}, {"type", OutcomeText}}},
      {"outcome", OutcomeText}};
  if (!Entries.empty())
    Body["entries"] = boost::json::value_from(Entries);
  auto Response = net::jsonResponse(Status, boost::json::serialize(Body));
  Response.m_Headers.add(header::Outcome, OutcomeText);
  return Response;
}

} // namespace

void EntryCounters::count(RequestOutcome Outcome) {
  if (Outcome == RequestOutcome::Answered)
    m_Answered.fetch_add(1, std::memory_order_relaxed);
  else if (Outcome == RequestOutcome::NotRun)
    m_NotRun.fetch_add(1, std::memory_order_relaxed);
  else
    m_Unknown.fetch_add(1, std::memory_order_relaxed);
}

net::HttpResponse notRunResponse(const NotRun &Why) {
  auto Response = failureResponse(Why.m_Status, RequestOutcome::NotRun,
                                  Why.m_Reason, Why.m_Entries);
  addRetryAfter(Response.m_Headers, Why.m_RetryAfter);
  return Response;
}

net::HttpResponse unknownResponse(std::string Reason, Duration RetryAfter) {
  auto Response = failureResponse(504, RequestOutcome::Unknown, Reason, {});
  addRetryAfter(Response.m_Headers, RetryAfter);
  return Response;
}

boost::asio::awaitable<PoolAdmission>
awaitAdmission(EntryContext &In, std::shared_ptr<const EntryRoutes> Routes,
               const PoolRoute &Pool, const CallerRequest &Call) {
  PoolAdmission Admitted;
  if (Pool.m_Upstreams.empty())
    co_return Admitted;
  const PoolId Id = Pool.m_Pool.m_Id;
  const auto Gate = In.m_Gates.gateFor(Id);
  const AdmissionDecision Decision =
      co_await Gate->enter(*Routes, Pool, Call.m_Terms, Call.m_Deadline);
  if (Decision.m_Admitted)
    Admitted.m_Admission = std::make_unique<Admission>(
        Gate, Call.m_Terms.m_Organisation, In.m_Routes, Id);
  else
    Admitted.m_Refusal =
        notRunResponse({.m_Status = 429,
                        .m_Reason = "the pool is busy",
                        .m_RetryAfter = jittered(Decision.m_RetryAfter)});
  co_return Admitted;
}

net::HttpRequest makeAgentRequest(const CallerRequest &Call, const PoolId &Pool,
                                  const UpstreamRoute &To) {
  net::HttpRequest Out;
  Out.m_Method = Call.m_Http.m_Method;
  Out.m_Target = Call.m_Http.m_Target;
  net::HttpHeaders &Headers = Out.m_Headers;
  const auto Left = milliseconds(Call.m_Deadline - now());
  Headers.add(header::RequestId, Call.m_Id);
  Headers.add(header::Pool, Pool.m_Text);
  Headers.add(header::Incarnation, std::to_string(To.m_Incarnation.m_Value));
  Headers.add(header::DeadlineMs,
              std::to_string(std::max<std::int64_t>(0, Left.count())));
  Headers.add(header::Priority,
              std::to_string(static_cast<int>(Call.m_Terms.m_Priority)));
  if (!To.m_Weights.empty()) {
    Headers.add(header::Weights, To.m_Weights.m_Text);
    Headers.add(header::WeightsDigest, toHex(To.m_Digest));
  }
  return Out;
}

AttemptEnd attemptEndOf(const Error &Fault) {
  const bool NeverSent = Fault.m_Code == ErrorCode::Unavailable;
  return NeverSent ? AttemptEnd::Unreachable : AttemptEnd::Lost;
}

AttemptEnd attemptEndOf(const net::HttpHeaders &Headers,
                        const std::string &RequestId) {
  if (Headers.find(header::RequestId) != RequestId)
    return AttemptEnd::Lost;
  const auto Outcome = parseRequestOutcome(Headers.find(header::Outcome));
  if (Outcome == RequestOutcome::NotRun)
    return AttemptEnd::Refused;
  if (Outcome == RequestOutcome::Unknown)
    return AttemptEnd::Lost;
  return AttemptEnd::Complete;
}

bool mayRetry(EntryContext &In, const CallerRequest &Call,
              std::uint32_t Attempts, AttemptEnd End) {
  const bool Idempotent = Call.m_Terms.m_Idempotent;
  const bool Allowed =
      !needsBudget(End) || (Idempotent && In.m_RetryBudget.withdraw());
  const CallState State{.m_Idempotent = Idempotent,
                        .m_Attempts = Attempts,
                        .m_OtherUpstream = true,
                        .m_BudgetAllows = Allowed,
                        .m_TimeLeft = now() < Call.m_Deadline};
  return afterAttempt(End, State) == NextStep::TryAnother;
}

std::chrono::milliseconds attemptTimeout(Duration TimeLeft, bool MayRetry) {
  const auto Left = milliseconds(TimeLeft);
  const auto Limit = MayRetry ? Left / AttemptTimeoutDivisor : Left;
  return std::clamp(Limit, std::min(MinAttemptTimeout, Left), Left);
}

Duration jittered(Duration Base) {
  thread_local std::minstd_rand Random{std::random_device{}()};
  std::uniform_real_distribution<double> Factor(0.5, 1.5);
  return std::chrono::duration_cast<Duration>(Base * Factor(Random));
}

} // namespace deckpitch::daemon
