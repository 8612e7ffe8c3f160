#include "daemon/entry-keyed.h"

#include <charconv>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

constexpr int MaxRounds = 4;
constexpr std::chrono::milliseconds ClaimTimeout{1'000};
constexpr std::chrono::milliseconds QueryTimeout{500};
constexpr std::chrono::milliseconds KeyedRetryAfter{500};
constexpr std::chrono::seconds MaxTicketAge{5};
/// For the stored answer of an earlier run, which comes with the reply.
constexpr std::chrono::milliseconds StoredAnswerTimeout{10'000};
constexpr std::size_t MaxStoredAnswerBytes = std::size_t{8} * 1024 * 1024;
constexpr net::CallLimits QueryLimits{.m_ConnectTimeout = QueryTimeout,
                                      .m_FirstByte = QueryTimeout,
                                      .m_ReadTimeout = QueryTimeout,
                                      .m_BodyTimeout = StoredAnswerTimeout,
                                      .m_BodyBytes = MaxStoredAnswerBytes};

KeyedResult resultOf(RequestOutcome Outcome, std::string Reason) {
  return {.m_Outcome = Outcome,
          .m_Reason = std::move(Reason),
          .m_RetryAfter = jittered(KeyedRetryAfter)};
}

template <typename Number>
std::optional<Number> parseNumber(std::string_view Text) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Ec] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Ec != std::errc{} || Rest != End)
    return std::nullopt;
  return Value;
}

KeyedResult replayOf(net::HttpResponse Reply) {
  const auto Status =
      parseNumber<unsigned>(Reply.m_Headers.find(header::StoredStatus));
  if (!Status)
    return resultOf(RequestOutcome::Unknown, "it ran; its answer was not kept");
  KeyedResult Result = resultOf(RequestOutcome::Answered, "");
  Result.m_Replay = StoredAnswer{
      *Status, std::string(Reply.m_Headers.find(header::ContentType)),
      std::move(Reply.m_Body)};
  return Result;
}

} // namespace

void addClaim(net::HttpHeaders &Headers, const Claim &Claimed) {
  Headers.add(header::ClaimKey, Claimed.m_Key);
  Headers.add(header::ClaimAttempt, std::to_string(Claimed.m_Attempt));
  Headers.add(header::ClaimTicket, std::to_string(Claimed.m_Ticket));
}

net::HttpResponse replayResponse(const StoredAnswer &Answer) {
  net::HttpResponse Response;
  Response.m_Status = Answer.m_Status;
  Response.m_Body = Answer.m_Body;
  Response.m_Headers.add(header::ContentType, Answer.m_ContentType);
  Response.m_Headers.add(header::Replayed, "true");
  Response.m_Headers.add(header::Outcome,
                         std::string(toText(RequestOutcome::Answered)));
  return Response;
}

net::HttpResponse failureResponse(const KeyedResult &Result) {
  if (Result.m_Outcome == RequestOutcome::Unknown)
    return unknownResponse(Result.m_Reason, Result.m_RetryAfter);
  return notRunResponse(
      {.m_Reason = Result.m_Reason, .m_RetryAfter = Result.m_RetryAfter});
}

KeyedCall::KeyedCall(EntryContext &In, const CallerRequest &Call, PoolId Pool,
                     ClaimedSender &Sender)
    : m_Context(In), m_Call(Call), m_Pool(std::move(Pool)), m_Sender(Sender),
      m_Key(claimKeyOf(Call.m_Terms.m_Organisation, m_Pool,
                       Call.m_Terms.m_IdempotencyKey)) {}

/// Resolves a known claim of the key first: this needs neither the platform nor
/// a ready instance.
asio::awaitable<KeyedResult> KeyedCall::run() {
  std::optional<Claim> Existing = co_await m_Context.m_Claims.find(m_Key);
  if (Existing) {
    std::optional<KeyedResult> Known =
        co_await resolveClaim(std::move(*Existing));
    if (Known)
      co_return std::move(*Known);
  }
  for (int Round = 0; Round < MaxRounds; ++Round) {
    if (now() >= m_Call.m_Deadline)
      break;
    std::optional<KeyedResult> Result = co_await tryRound();
    if (Result)
      co_return std::move(*Result);
  }
  co_return resultOf(RequestOutcome::NotRun, "no instance took it in time");
}

asio::awaitable<std::optional<KeyedResult>> KeyedCall::tryRound() {
  m_Routes = m_Context.m_Routes.routes();
  const auto Pool = m_Routes->m_Table.m_Pools.find(m_Pool);
  const UpstreamRoute *Picked = nullptr;
  if (Pool != m_Routes->m_Table.m_Pools.end())
    Picked = pickUpstream(*m_Routes, Pool->second,
                          m_Context.m_Process.m_Settings.m_DataCentre, m_Hints);
  if (!Picked)
    co_return resultOf(RequestOutcome::NotRun,
                       "no upstream is ready to take it");
  const UpstreamRoute To = *Picked;
  const auto Ticket = co_await ticketOf(To);
  if (!Ticket) {
    m_Hints.m_Tried.insert(To.m_Instance);
    co_return std::nullopt;
  }
  Claim Wanted;
  Wanted.m_Key = m_Key;
  Wanted.m_Instance = To.m_Instance;
  Wanted.m_Incarnation = To.m_Incarnation;
  Wanted.m_Ticket = *Ticket;
  Wanted.m_Attempt = m_Attempt;
  const TimePoint GiveUpAt =
      std::min<TimePoint>(m_Call.m_Deadline, now() + ClaimTimeout);
  const ClaimOutcome Settled =
      co_await m_Context.m_Claims.claim(Wanted, GiveUpAt);
  if (Settled.m_Verdict == ClaimOutcome::Verdict::Refused)
    co_return resultOf(RequestOutcome::NotRun, "the key cannot be claimed now");
  if (Settled.m_Verdict == ClaimOutcome::Verdict::Taken)
    co_return co_await resolveClaim(Settled.m_Claim);
  co_return co_await send(To, Wanted);
}

asio::awaitable<std::optional<KeyedResult>> KeyedCall::send(UpstreamRoute To,
                                                            Claim Claimed) {
  if (now() >= m_Call.m_Deadline)
    co_return resultOf(RequestOutcome::NotRun, "the deadline passed");
  const AttemptEnd End = co_await m_Sender.sendClaimed(m_Routes, To, Claimed);
  if (End == AttemptEnd::Complete)
    co_return resultOf(RequestOutcome::Answered, "");
  if (End == AttemptEnd::Lost) {
    std::optional<KeyedResult> Reply = co_await resolveClaim(Claimed);
    if (Reply)
      co_return Reply;
    co_return resultOf(RequestOutcome::NotRun,
                       "the instance did not run it and never will");
  }
  m_Hints.m_Tried.insert(To.m_Instance);
  m_Attempt = Claimed.m_Attempt + 1;
  co_return std::nullopt;
}

asio::awaitable<std::optional<KeyedResult>>
KeyedCall::resolveClaim(Claim Existing) {
  const auto View = m_Context.m_Process.m_Membership.load();
  const auto Holder = View->m_Members.find(Existing.m_Instance);
  if (Holder == View->m_Members.end() ||
      Holder->second.m_Incarnation != Existing.m_Incarnation)
    co_return resultOf(RequestOutcome::Unknown,
                       "the instance that may have run it is gone");
  net::HttpRequest Query;
  Query.m_Method = "POST";
  Query.m_Target = agentpath::Fence;
  Query.m_Headers.add(header::Incarnation,
                      std::to_string(Existing.m_Incarnation.m_Value));
  addClaim(Query.m_Headers, Existing);
  auto Reply = co_await m_Context.m_Process.m_Http.call(
      Holder->second.m_Addresses.m_Requests, std::move(Query), QueryLimits);
  if (!Reply)
    co_return resultOf(RequestOutcome::Unknown,
                       "the instance that may have run it does not answer");
  const std::string State(Reply->m_Headers.find(header::RunState));
  if (State == "never-ran") {
    m_Attempt = Existing.m_Attempt + 1;
    co_return std::nullopt;
  }
  if (State == "done")
    co_return replayOf(std::move(*Reply));
  if (State == "running")
    co_return resultOf(RequestOutcome::Unknown, "it is running");
  co_return resultOf(RequestOutcome::Unknown, "it may have run");
}

asio::awaitable<std::optional<std::uint64_t>>
KeyedCall::ticketOf(UpstreamRoute To) {
  auto Counters = m_Routes->m_Counters.at(To.m_Instance);
  const auto Cached = Counters->m_Ticket.load();
  if (Cached->m_Ticket != 0 && Cached->m_Incarnation == To.m_Incarnation &&
      now() - Cached->m_At < MaxTicketAge)
    co_return Cached->m_Ticket;
  const TimePoint RequestedAt = now();
  net::HttpRequest Query;
  Query.m_Target = agentpath::Ticket;
  Query.m_Headers.add(header::Incarnation,
                      std::to_string(To.m_Incarnation.m_Value));
  const auto Reply = co_await m_Context.m_Process.m_Http.call(
      To.m_Address, std::move(Query), QueryLimits);
  if (!Reply || Reply->m_Status != 200)
    co_return std::nullopt;
  const auto Ticket =
      parseNumber<std::uint64_t>(Reply->m_Headers.find(header::ClaimTicket));
  if (Ticket)
    Counters->m_Ticket.publish(std::make_shared<const CachedTicket>(
        CachedTicket{To.m_Incarnation, *Ticket, RequestedAt}));
  co_return Ticket;
}

} // namespace deckpitch::daemon
