// One attempt at a request: sends it to an instance and forwards the answer.
#include "direct/entry-call.h"
#include "direct/rate-limit-log.h"
#include "net/log.h"
#include "net/metrics.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

/// A connection within a region takes some milliseconds; an instance that has
/// not accepted it by then is down or overloaded.
constexpr milliseconds ConnectTimeout{250};
/// A kept connection that has been idle for longer may be closing at this
/// moment, and a request sent on it then counts as sent.
constexpr milliseconds MaxIdle{4'000};
/// Limit for requests that run at most once: if the connection is closed under
/// one, it cannot be repeated.
constexpr milliseconds MaxIdleOnce{1'000};
/// Multiple of its latency objective after which an idempotent call of a
/// service without streams is repeated at another instance.
constexpr int RepeatAfterObjectives = 3;
constexpr unsigned StatusServerError = 500;
/// Least time between two log lines about rate limits that are not numbers.
constexpr Duration UnreadableLogInterval = std::chrono::seconds(1);

} // namespace

asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::attempt(Call &Of, const InstanceChoice &Chosen) {
  const bool IsBegun = Of.m_NextAnswer.m_Body != nullptr;
  Of.m_Instance = Chosen.m_Instance;
  Of.m_IsAnswering = false;
  Of.m_IsPeerEnd = false;
  Of.m_Notice = {};
  Of.m_Sent = IsBegun ? Of.m_NextAnswer.m_Sent : now();
  const std::uint64_t ListAgeMs = msOf(m_ListFreshness().m_Age);
  Of.m_LastActivity = now();
  // Events buffered during a handover are written to the caller unless the next
  // instance has begun: it continues after the last event that the caller has.
  if (!IsBegun && Of.m_Answer.started())
    co_await writeNewEvents(Of);
  Of.m_Events.clear();
  Of.m_SearchStart.reset();
  if (Of.m_EventCount == 0)
    Of.m_Version = m_Instances.versionAt(Chosen.m_Instance, Of.m_Query.m_Model);
  if (IsBegun)
    recordFirstByte(Of);
  else
    m_Instances.started(Chosen.m_Instance, now());
  m_AtInstance[Chosen.m_Instance].insert(&Of);
  AttemptOutcome How = co_await exchange(Of, Chosen);
  Of.m_Abort = nullptr;
  co_await finishHandover(Of, How);
  if (Of.m_IsGone && How != AttemptOutcome::Delivered)
    How = AttemptOutcome::Gone;
  const auto At = m_AtInstance.find(Chosen.m_Instance);
  At->second.erase(&Of);
  if (At->second.empty())
    m_AtInstance.erase(At);
  if (Of.m_IsPeerEnd)
    recordLoss(Of, Chosen.m_Instance, Of.m_Sent);
  if (How == AttemptOutcome::Delivered || How == AttemptOutcome::Failed)
    m_Harmful.answered(Of.m_Fingerprint);
  using End = InstanceTable::End;
  const bool IsBad =
      How == AttemptOutcome::Unreachable || How == AttemptOutcome::Lost ||
      How == AttemptOutcome::Broken || How == AttemptOutcome::Failed;
  recordEnd(Chosen.m_Instance,
            How == AttemptOutcome::Delivered ? End::Good
            : IsBad                          ? End::Failed
                                             : End::Neutral,
            Of.m_IsAnswering);
  net::log(How == AttemptOutcome::Delivered ? Event::RequestAnswered
           : How == AttemptOutcome::Gone    ? Event::RequestAbandoned
                                            : Event::AttemptEnded,
           {{"request", Of.m_Terms.m_AttemptId},
            {"outcome", outcomeName(How)},
            {"status", std::uint64_t{Of.m_Status}},
            {"instance", Chosen.m_Instance.m_Text},
            {"fingerprint", textOf(Of.m_Fingerprint)},
            {"closedThere", std::uint64_t{Of.m_IsPeerEnd}},
            {"saysLeaving", std::uint64_t{Of.m_Notice.m_IsLeaving}},
            {"restMs", msOf(Of.m_Notice.m_BackOff)},
            {"rateLimit", rateText(Chosen.m_RateLimit)},
            {"grantedBy", grantorName(Chosen.m_GrantedBy)},
            {"load", static_cast<std::uint64_t>(Chosen.m_Load)},
            {"limit", static_cast<std::uint64_t>(Chosen.m_Limit)},
            {"reportAgeMs", msOf(Chosen.m_ReportAge)},
            {"listAgeMs", ListAgeMs},
            {"sends", std::uint64_t{Of.m_Sends}},
            {"events", Of.m_EventCount},
            {"firstMs", msOf(Of.m_FirstByte)},
            {"leftMs", msOf(Of.m_Deadline - now())},
            {"afterMs", msOf(now() - Of.m_Start)}});
  if (How == AttemptOutcome::Delivered)
    answers("answered").add();
  if (How == AttemptOutcome::Gone)
    answers("abandoned").add();
  co_return How;
}

/// Whether another instance could take the request. If none can, ending a slow
/// call would answer it 502, though its only instance may be almost done.
bool EntryRequests::hasAlternative(const Call &Of, const InstanceChoice &Than) {
  ChoiceQuery Query = Of.m_Query;
  Query.m_Tried.insert(Than.m_Instance);
  const InstanceChoice Other = m_Instances.choose(Query, now());
  return Other.m_Outcome == ChoiceOutcome::Chosen;
}

/// Applies what an instance reports about itself in an answer. Answers arrive
/// even if neither the store nor the instance's agent can be reached.
void EntryRequests::applyNotice(const InstanceNotice &Notice,
                                const InstanceId &From, const Call &In,
                                TimePoint Sent) {
  if (Notice.m_IsLeaving && m_Instances.leaving(From))
    net::log(Event::InstanceLeaving, {{"instance", From.m_Text},
                                      {"source", "answer"},
                                      {"request", In.m_Terms.m_AttemptId}});
  const bool Rests = Notice.m_BackOff > Duration::zero();
  if (Rests && m_Instances.backOff(From, now() + Notice.m_BackOff, now()))
    net::log(Event::InstanceBackingOff, {{"instance", From.m_Text},
                                         {"restMs", msOf(Notice.m_BackOff)},
                                         {"request", In.m_Terms.m_AttemptId}});
  noteRateLimit(Notice, From, In, Sent);
}

/// Records what an answer to a request sent at that time says about the
/// instance's rate limit.
void EntryRequests::noteRateLimit(const InstanceNotice &Notice,
                                  const InstanceId &From, const Call &In,
                                  TimePoint Sent) {
  const TimePoint Now = now();
  if (!Notice.m_UnreadableRateLimit.empty()) {
    if (Now < m_NextUnreadableLog)
      return;
    m_NextUnreadableLog = Now + UnreadableLogInterval;
    net::log(Event::RateLimitUnreadable,
             {{"instance", From.m_Text},
              {"value", Notice.m_UnreadableRateLimit},
              {"request", In.m_Terms.m_AttemptId}});
    return;
  }
  if (m_Instances.rateObserved(From, {Notice.m_RateLimit, Sent, Now}))
    logRateLimit(From, Notice.m_RateLimit, "answer", Now - Sent,
                 In.m_Terms.m_AttemptId);
}

/// Sends the request to an instance and reads the head of the answer.
asio::awaitable<EntryRequests::SendResult>
EntryRequests::send(Call &Of, const InstanceChoice &Chosen,
                    net::CallCancel &Cancel) {
  const milliseconds Left = Of.timeLeft();
  const bool IsOnce = Of.m_Route->m_Kind == RouteKind::NonIdempotent;
  net::CallLimits Limits;
  Limits.m_ConnectTimeout = std::min(ConnectTimeout, Left);
  Limits.m_FirstByte = Left;
  // Streams have no such limit: a silent one is moved if another instance can
  // take it, and may still be answered otherwise.
  const bool MayRepeat =
      !Of.isStream() && !IsOnce && Of.m_Runs + 1 < Of.m_Route->m_Attempts;
  if (MayRepeat && hasAlternative(Of, Chosen))
    Limits.m_FirstByte =
        std::min(Left, RepeatAfterObjectives * Of.m_Route->m_Objective);
  Limits.m_ReadTimeout = Limits.m_FirstByte;
  Limits.m_MaxIdle = IsOnce ? MaxIdleOnce : MaxIdle;
  Limits.m_RetriesGet = false;

  UpstreamTerms Terms;
  Terms.m_TimeLeft = Left;
  Terms.m_Instance = Chosen.m_Instance;
  if (Of.m_Organisation)
    Terms.m_Organisation = Of.m_Organisation->m_Organisation;
  if (Of.m_EventCount > 0)
    Terms.m_LastEventId = Of.m_LastEventId;
  SendResult Out;
  Out.m_Sent = now();
  // Counted before the send, as mayMove() reads the counts meanwhile. Counted
  // only at the answer's head, a request ran at one instance more than its
  // route allows.
  ++Of.m_Sends;
  ++Of.m_Runs;
  auto Answer = co_await m_Http.open(Chosen.m_Address,
                                     m_Adapter.toUpstream(Of.m_Request, Terms),
                                     Limits, &Cancel);
  if (!Answer && Answer.error().m_Code == ErrorCode::Unavailable) {
    --Of.m_Sends;
    --Of.m_Runs;
    Out.m_How = AttemptOutcome::Unreachable;
    co_return Out;
  }
  if (!Answer) {
    Out.m_IsPeerEnd = Answer.error().m_IsPeerEnd;
    co_return Out;
  }
  net::HttpStream &Body = **Answer;
  Cancel.onCancel([&Body] { Body.cancel(); });
  m_Instances.dataReceived(Chosen.m_Instance, now());
  const AnswerMeaning Meaning = m_Adapter.meaningOf(
      Body.status(), Body.headers(), Of.m_Terms.m_AttemptId);
  if (Meaning == AnswerMeaning::Foreign) {
    net::log(Event::UpstreamAnswerRefused,
             {{"request", Of.m_Terms.m_AttemptId},
              {"instance", Chosen.m_Instance.m_Text},
              {"status", std::uint64_t{Body.status()}}});
    Cancel.onCancel(nullptr);
    co_return Out;
  }
  if (Meaning != AnswerMeaning::WrongInstance) {
    Out.m_Notice = m_Adapter.noticeOf(Body.status(), Body.headers());
    applyNotice(Out.m_Notice, Chosen.m_Instance, Of, Out.m_Sent);
  }
  if (Meaning == AnswerMeaning::WrongInstance ||
      Meaning == AnswerMeaning::NotRun) {
    --Of.m_Runs;
    if (Meaning == AnswerMeaning::WrongInstance)
      m_Instances.replaced(Chosen.m_Instance);
    // The connection can be reused once its short answer has been read.
    co_await Body.read();
    Cancel.onCancel(nullptr);
    Out.m_How = AttemptOutcome::NotRun;
    co_return Out;
  }
  Cancel.onCancel(nullptr);
  Out.m_Body = std::move(*Answer);
  co_return Out;
}

asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::exchange(Call &Of, const InstanceChoice &Chosen) {
  if (Of.m_IsGone)
    co_return AttemptOutcome::Gone;
  SendResult Begun = std::exchange(Of.m_NextAnswer, {});
  if (!Begun.m_Body) {
    net::CallCancel Cancel;
    Of.m_Abort = [&Cancel] { Cancel.cancel(); };
    Begun = co_await send(Of, Chosen, Cancel);
    Of.m_Abort = nullptr;
  }
  Of.m_IsPeerEnd = Begun.m_IsPeerEnd;
  Of.m_Notice = Begun.m_Notice;
  if (!Begun.m_Body)
    co_return Begun.m_How;
  net::HttpStream &Body = *Begun.m_Body;
  Of.m_Abort = [&Body] { Body.cancel(); };
  if (!Of.m_Answer.started()) {
    Of.m_Status = Body.status();
    Of.m_Headers = m_Adapter.toCaller(Body.headers());
  }
  if (Of.isStream() && isSuccess(Body.status())) {
    const AttemptOutcome How = co_await forwardEvents(Of, Body);
    Of.m_Abort = nullptr;
    co_return How;
  }
  // The caller already has the head of another answer: an error answer from
  // the instance that the stream moved to cannot be forwarded.
  if (Of.m_Answer.started())
    co_return AttemptOutcome::Broken;
  co_return co_await readWhole(Of, Body);
}

/// Reads the whole answer before any of it is forwarded, so that the request
/// can still be retried elsewhere if the answer breaks off.
asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::readWhole(Call &Of, net::HttpStream &Body) {
  Of.m_Body.clear();
  while (true) {
    Body.setReadTimeout(std::max(Of.timeLeft(), milliseconds(1)));
    auto Piece = co_await Body.read();
    if (!Piece) {
      Of.m_IsPeerEnd = Piece.error().m_IsPeerEnd;
      co_return AttemptOutcome::Lost;
    }
    if (Piece->empty())
      break;
    m_Instances.dataReceived(Of.m_Instance, now());
    Of.m_Body += *Piece;
  }
  Of.m_FirstByte = now() - Of.m_Start;
  if (Of.m_Status >= StatusServerError)
    co_return AttemptOutcome::Failed;
  net::HttpResponse Whole{Of.m_Status, Of.m_Headers, std::move(Of.m_Body)};
  const bool Sent = co_await Of.m_Answer.send(std::move(Whole));
  co_return Sent ? AttemptOutcome::Delivered : AttemptOutcome::Gone;
}

void EntryRequests::recordLoss(const Call &Of, const InstanceId &At,
                               TimePoint Sent) {
  if (m_Instances.lost(At, Sent, now()))
    m_Harmful.lost(Of.m_Fingerprint, At, Sent, Of.m_Terms.m_AttemptId);
}

void EntryRequests::recordEnd(const InstanceId &At, InstanceTable::End How,
                              bool WasAnswering) {
  if (const auto For = m_Instances.ended(At, How, WasAnswering, now()))
    net::log(Event::InstanceEjected,
             {{"instance", At.m_Text}, {"forMs", msOf(*For)}});
}

void EntryRequests::recordFirstByte(Call &Of) {
  Of.m_IsAnswering = true;
  m_Instances.answerStarted(Of.m_Instance);
  m_Instances.firstToken(Of.m_Query, now() - Of.m_Sent);
}

/// Returns the complete events received that the caller does not have yet.
std::string EntryRequests::takeNewEvents(Call &Of) {
  std::string Ready;
  while (std::optional<StreamEvent> Next = Of.m_Events.next()) {
    const bool IsRepeated =
        Next->m_Id && Of.m_LastEvent && *Next->m_Id <= *Of.m_LastEvent;
    if (IsRepeated)
      continue;
    if (Next->m_Id) {
      Of.m_LastEvent = Next->m_Id;
      Of.m_LastEventId = std::to_string(*Next->m_Id);
    }
    ++Of.m_EventCount;
    Ready += Next->m_Bytes;
  }
  return Ready;
}

/// Writes these events to the caller; false if it has disconnected.
asio::awaitable<bool> EntryRequests::writeNewEvents(Call &Of) {
  const std::string Ready = takeNewEvents(Of);
  if (Ready.empty())
    co_return true;
  co_return co_await Of.m_Answer.write(Ready);
}

asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::forwardEvents(Call &Of, net::HttpStream &Body) {
  while (true) {
    const milliseconds Left = Of.timeLeft();
    if (Left <= milliseconds::zero())
      co_return AttemptOutcome::Broken;
    Body.setReadTimeout(Left);
    auto Piece = co_await Body.read();
    const bool IsEnd = Piece && Piece->empty();
    if (Piece && Of.m_Handover)
      co_await limitHandover(Of, IsEnd);
    // The answer is complete, whatever the other instance has begun.
    if (IsEnd)
      Of.m_IsMoving = false;
    if (!Piece)
      Of.m_IsPeerEnd = Piece.error().m_IsPeerEnd && !Of.m_IsMoving;
    if (!Piece || Of.m_IsMoving)
      co_return Of.m_Answer.started() ? AttemptOutcome::Broken
                                      : AttemptOutcome::Lost;
    m_Instances.dataReceived(Of.m_Instance, now());
    Of.m_LastActivity = now();
    if (!Of.m_IsAnswering)
      recordFirstByte(Of);
    if (!IsEnd)
      Of.m_Events.add(*Piece);
    // Events are held back: the other instance continues after the last one
    // that the caller has.
    if (Of.m_Handover)
      continue;
    std::string Ready = takeNewEvents(Of);
    if (IsEnd) {
      Ready += Of.m_Events.part();
      Of.m_Events.clear();
    }
    if (!Ready.empty() || IsEnd) {
      if (!Of.m_Answer.started()) {
        Of.m_FirstByte = now() - Of.m_Start;
        if (!co_await Of.m_Answer.begin(Of.m_Status, Of.m_Headers))
          co_return AttemptOutcome::Gone;
      }
      if (!co_await Of.m_Answer.write(Ready))
        co_return AttemptOutcome::Gone;
    }
    if (IsEnd)
      co_return co_await Of.m_Answer.end() ? AttemptOutcome::Delivered
                                           : AttemptOutcome::Gone;
  }
}

} // namespace deckpitch::direct
