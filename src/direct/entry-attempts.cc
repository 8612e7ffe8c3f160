// One attempt at a request: sends it to an instance and forwards the answer.
#include "direct/entry-call.h"
#include "direct/rate-limit-log.h"
#include "net/endless-answers.h"
#include "net/log.h"
#include "net/metrics.h"

#include <boost/algorithm/string/predicate.hpp>
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
/// A rejection's body, if any, arrives with its head. The request does not wait
/// for more of it before it is sent elsewhere.
constexpr std::size_t MaxRejectionBytes = std::size_t{16} * 1024;
constexpr milliseconds RejectionTimeout{20};
/// Answers to other requests that are skipped for one request. A correct
/// instance sends none, a known fault is a second copy of one; more of them are
/// taken for a sequence without an end.
constexpr int MaxForeignAnswers = 8;
/// Least time between two log lines about rate limits that are not numbers.
constexpr Duration UnreadableLogInterval = std::chrono::seconds(1);

/// Whether the body consists of events: a stream's route may also be answered
/// with one document. Without a type, a body whose length is known beforehand
/// is a document.
bool isEventStream(const net::HttpStream &Body) {
  const std::string_view Type = Body.headers().find("Content-Type");
  if (Type.empty())
    return Body.headers().find("Content-Length").empty();
  return boost::algorithm::istarts_with(Type, "text/event-stream");
}

/// The parts of a prompt for log lines: hexadecimal, separated by commas.
std::string partsText(const std::vector<PromptPart> &Parts) {
  std::string Out;
  for (const PromptPart &Each : Parts)
    Out += (Out.empty() ? "" : ",") + textOf(Each);
  return Out;
}

/// Name of a framing for log lines.
const char *framingName(net::BodyFraming Value) {
  return Value == net::BodyFraming::UntilClose ? "close" : "delimited";
}

} // namespace

asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::attempt(Call &C, const InstanceChoice &Chosen) {
  const bool IsBegun = C.m_NextAnswer.m_Body != nullptr;
  C.m_Instance = Chosen.m_Instance;
  C.m_IsAnswering = false;
  C.m_IsSound = false;
  C.m_IsPeerEnd = false;
  C.m_ReadError.clear();
  C.m_Head = {};
  C.m_Framing = net::BodyFraming::Delimited;
  C.m_PartialBytes = 0;
  C.m_Notice = {};
  C.m_Sent = IsBegun ? C.m_NextAnswer.m_Sent : now();
  const std::uint64_t ListAgeMs = msOf(m_ListFreshness().m_Age);
  C.m_LastActivity = now();
  // Events buffered during a handover are written to the caller unless the next
  // instance has begun: it continues after the last event that the caller has.
  if (!IsBegun && C.m_Answer.started())
    co_await writeNewEvents(C);
  C.m_Events.clear();
  C.m_SearchStart.reset();
  if (C.m_EventCount == 0)
    C.m_Version = m_Instances.versionAt(Chosen.m_Instance, C.m_Query.m_Model);
  C.m_Stay =
      IsBegun ? std::move(C.m_NextStay) : Stay(m_InProgress, Chosen.m_Instance);
  if (IsBegun)
    recordFirstByte(C);
  C.m_Stay.list(C.m_Number);
  AttemptOutcome How = co_await tryExchange(C, Chosen);
  C.m_Abort = nullptr;
  co_await finishHandover(C, How);
  if (C.m_IsGone && How != AttemptOutcome::Delivered)
    How = AttemptOutcome::Gone;
  C.m_Stay.unlist();
  if (C.m_IsPeerEnd)
    recordLoss(C, Chosen.m_Instance, C.m_Sent);
  if (How == AttemptOutcome::Delivered || How == AttemptOutcome::Failed ||
      How == AttemptOutcome::Unproven)
    m_Harmful.answered(C.m_Fingerprint, C.m_Query.m_Service);
  if (How == AttemptOutcome::Delivered)
    recordSound(C);
  // Only a failure's body may still be forwarded.
  if (How != AttemptOutcome::Failed)
    C.m_Body = {};
  C.m_Held->hold(C.m_Body.size() + C.m_Events.part().size());
  logEjection(Chosen.m_Instance, C.m_Stay.end(endOf(How)));
  logAttempt(C, Chosen, How, ListAgeMs);
  if (How == AttemptOutcome::Delivered)
    answers("answered").add();
  if (How == AttemptOutcome::Gone)
    answers("abandoned").add();
  co_return How;
}

/// What the outcome of an attempt says about its instance.
InstanceTable::End EntryRequests::endOf(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Delivered:
    return InstanceTable::End::Good;
  case AttemptOutcome::Unreachable:
  case AttemptOutcome::Failed:
  case AttemptOutcome::Unproven:
  case AttemptOutcome::Lost:
  case AttemptOutcome::Broken:
    return InstanceTable::End::Failed;
  case AttemptOutcome::Gone:
  case AttemptOutcome::NotRun:
    break;
  }
  return InstanceTable::End::Neutral;
}

/// Logs the end of an attempt. The age of the list of instances is the one at
/// its begin.
void EntryRequests::logAttempt(const Call &C, const InstanceChoice &Chosen,
                               AttemptOutcome Outcome,
                               std::uint64_t ListAgeMs) {
  net::log(Outcome == AttemptOutcome::Delivered ? Event::RequestAnswered
           : Outcome == AttemptOutcome::Gone    ? Event::RequestAbandoned
                                                : Event::AttemptEnded,
           {{"request", C.m_Terms.m_AttemptId},
            {"outcome", outcomeName(Outcome)},
            {"status", std::uint64_t{C.m_Status}},
            {"instance", Chosen.m_Instance.m_Text},
            {"answerStatus", std::uint64_t{C.m_Head.m_Status}},
            {"answerNames", toText(C.m_Head.m_Names)},
            {"saysNotRun", std::uint64_t{C.m_Head.m_SaysNotRun}},
            {"firstThere", std::uint64_t{C.m_Head.m_IsFirstOnConnection}},
            {"fingerprint", textOf(C.m_Fingerprint)},
            {"parts", partsText(C.m_Terms.m_SharedParts)},
            {"closedThere", std::uint64_t{C.m_IsPeerEnd}},
            {"readError", C.m_ReadError},
            {"framing", framingName(C.m_Framing)},
            {"partialBytes", C.m_PartialBytes},
            {"saysLeaving", std::uint64_t{C.m_Notice.m_IsLeaving}},
            {"restMs", msOf(C.m_Notice.m_BackOff)},
            {"rateLimit", rateText(Chosen.m_RateLimit)},
            {"grantedBy", grantorName(Chosen.m_GrantedBy)},
            {"load", static_cast<std::uint64_t>(Chosen.m_Load)},
            {"limit", static_cast<std::uint64_t>(Chosen.m_Limit)},
            {"reportAgeMs", msOf(Chosen.m_ReportAge)},
            {"listAgeMs", ListAgeMs},
            {"sends", std::uint64_t{C.m_Sends.sends()}},
            {"events", C.m_EventCount},
            {"firstMs", msOf(C.m_FirstByte)},
            {"leftMs", msOf(C.m_Deadline - now())},
            {"afterMs", msOf(now() - C.m_Start)}});
}

/// Whether another instance could take the request. If none can, ending a slow
/// call would answer it 502, though its only instance may be almost done.
bool EntryRequests::hasAlternative(const Call &C,
                                   const InstanceChoice &Chosen) {
  ChoiceQuery Query = C.m_Query;
  Query.m_Tried.insert(Chosen.m_Instance);
  const InstanceChoice Other = m_Instances.choose(Query, now());
  return Other.m_Outcome == ChoiceOutcome::Chosen;
}

/// Applies what an instance reports about itself in an answer. Answers arrive
/// even if neither the store nor the instance's agent can be reached.
void EntryRequests::applyNotice(const InstanceNotice &Notice,
                                const InstanceId &From, const Call &C,
                                TimePoint Sent) {
  if (Notice.m_IsLeaving && m_Instances.leaving(From))
    net::log(Event::InstanceLeaving, {{"instance", From.m_Text},
                                      {"source", "answer"},
                                      {"request", C.m_Terms.m_AttemptId}});
  const bool Rests = Notice.m_BackOff > Duration::zero();
  if (Rests && m_Instances.backOff(From, now() + Notice.m_BackOff, now()))
    net::log(Event::InstanceBackingOff, {{"instance", From.m_Text},
                                         {"restMs", msOf(Notice.m_BackOff)},
                                         {"request", C.m_Terms.m_AttemptId}});
  noteRateLimit(Notice, From, C, Sent);
}

/// Records what an answer to a request sent at that time says about the
/// instance's rate limit.
void EntryRequests::noteRateLimit(const InstanceNotice &Notice,
                                  const InstanceId &From, const Call &C,
                                  TimePoint Sent) {
  const TimePoint Now = now();
  if (!Notice.m_UnreadableRateLimit.empty()) {
    if (Now < m_NextUnreadableLog)
      return;
    m_NextUnreadableLog = Now + UnreadableLogInterval;
    net::log(Event::RateLimitUnreadable,
             {{"instance", From.m_Text},
              {"value", Notice.m_UnreadableRateLimit},
              {"request", C.m_Terms.m_AttemptId}});
    return;
  }
  if (m_Instances.rateObserved(From, {Notice.m_RateLimit, Sent, Now}))
    logRateLimit(From, Notice.m_RateLimit, "answer", Now - Sent,
                 C.m_Terms.m_AttemptId);
}

AnswerHead EntryRequests::readHead(const Call &C, const InstanceId &Instance,
                                   const net::HttpStream &Answer) const {
  return m_Adapter.readHead(
      Answer.status(), Answer.headers(),
      {C.m_Terms.m_AttemptId, Instance, Answer.isFirstOnConnection()});
}

/// Skips answers that name other requests: an instance may send one late, or
/// twice, before the answer to this request. Returns the first head that names
/// no other one. Errors: Timeout if it may be another request's.
asio::awaitable<Outcome<AnswerHead>>
EntryRequests::findOwnAnswer(const Call &C, const InstanceId &Instance,
                             net::HttpStream &Answer, TimePoint End) {
  for (int Foreign = 0;; ++Foreign) {
    const AnswerHead Head = readHead(C, Instance, Answer);
    const AnswerMeaning Meaning = meaningOf(Head);
    const bool IsForeign = Meaning == AnswerMeaning::Foreign;
    if (!IsForeign && Meaning != AnswerMeaning::Unnamed)
      co_return Head;
    // A new connection has carried no other request, so that none is late.
    const bool IsSkipped = IsForeign && !Answer.isFirstOnConnection() &&
                           Foreign < MaxForeignAnswers && now() < End;
    net::log(Event::UpstreamAnswerRefused,
             {{"request", C.m_Terms.m_AttemptId},
              {"instance", Instance.m_Text},
              {"status", std::uint64_t{Answer.status()}},
              {"namesAnother", std::uint64_t{IsForeign}},
              {"saysNotRun", std::uint64_t{Head.m_SaysNotRun}},
              {"firstThere", std::uint64_t{Head.m_IsFirstOnConnection}},
              {"skipped", std::uint64_t{IsSkipped}}});
    if (Foreign == MaxForeignAnswers)
      net::countEndlessAnswer();
    if (!IsSkipped)
      co_return Error{ErrorCode::Timeout, "the answer is another request's"};
    const auto Left = std::chrono::duration_cast<milliseconds>(End - now());
    const auto Next = co_await Answer.readNext(std::max(Left, milliseconds(1)));
    if (!Next)
      co_return Next.error();
  }
}

/// Limits of a send that begins now. A send to an address that had the request
/// before needs a new connection: a late copy of the answer to the earlier send
/// would have the same id.
net::CallLimits EntryRequests::limitsFor(const Call &C,
                                         const InstanceChoice &Chosen,
                                         milliseconds Left, bool WasSentThere) {
  const bool IsOnce = C.m_Route->m_Kind == RouteKind::NonIdempotent;
  net::CallLimits Limits;
  Limits.m_ConnectTimeout = std::min(ConnectTimeout, Left);
  Limits.m_FirstByte = Left;
  // Streams have no such limit: a silent one is moved if another instance can
  // take it, and may still be answered otherwise.
  const bool MayRepeat =
      !C.isStream() && !IsOnce && C.m_Sends.runs() + 1 < C.m_Route->m_Attempts;
  if (MayRepeat && hasAlternative(C, Chosen))
    Limits.m_FirstByte =
        std::min(Left, RepeatAfterObjectives * C.m_Route->m_Objective);
  Limits.m_ReadTimeout = Limits.m_FirstByte;
  Limits.m_MaxIdle = IsOnce ? MaxIdleOnce : MaxIdle;
  if (WasSentThere || C.m_Terms.m_AttemptId.empty())
    Limits.m_MaxIdle = milliseconds::zero();
  Limits.m_RetriesGet = false;
  return Limits;
}

UpstreamTerms EntryRequests::termsFor(const Call &C, const InstanceId &Target,
                                      milliseconds TimeLeft) {
  UpstreamTerms Terms;
  Terms.m_TimeLeft = TimeLeft;
  Terms.m_Instance = Target;
  if (C.m_Organisation)
    Terms.m_Organisation = C.m_Organisation->m_Organisation;
  if (C.m_EventCount > 0)
    Terms.m_LastEventId = C.m_LastEventId;
  return Terms;
}

/// Ends a send whose answer is none to forward: a rejection, or a status
/// without a proof that the request did not run.
asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::endWithoutAnswer(Call &C, const InstanceId &Instance,
                                AnswerMeaning Meaning, net::HttpStream &Body) {
  const bool IsUnproven = Meaning == AnswerMeaning::Unproven;
  if (!IsUnproven)
    C.m_Sends.endRejected();
  if (Meaning == AnswerMeaning::WrongInstance)
    m_Instances.replaced(Instance);
  // The connection can be reused once its short answer has been read.
  co_await Body.discardRest(MaxRejectionBytes, RejectionTimeout);
  co_return IsUnproven ? AttemptOutcome::Unproven : AttemptOutcome::NotRun;
}

/// The same as send(), but what that throws counts as the loss of the request.
asio::awaitable<EntryRequests::SendResult>
EntryRequests::trySend(Call &C, const InstanceChoice &Chosen,
                       net::CallCancel &Cancel) {
  SendResult Lost;
  Lost.m_Sent = now();
  try {
    co_return co_await send(C, Chosen, Cancel);
  } catch (const std::exception &Thrown) {
    Lost.m_ReadError = Thrown.what();
  }
  Cancel.onCancel(nullptr); // The answer that it would end is gone.
  co_return Lost;
}

/// The same as exchange(), but what that throws counts as the loss of the
/// request.
asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::tryExchange(Call &C, const InstanceChoice &Chosen) {
  try {
    co_return co_await exchange(C, Chosen);
  } catch (const std::exception &Thrown) {
    C.m_ReadError = Thrown.what();
  }
  co_return C.m_Answer.started() ? AttemptOutcome::Broken
                                 : AttemptOutcome::Lost;
}

/// Sends the request to an instance and reads the head of the answer.
asio::awaitable<EntryRequests::SendResult>
EntryRequests::send(Call &C, const InstanceChoice &Chosen,
                    net::CallCancel &Cancel) {
  const bool WasSentThere = !C.m_SentTo.insert(Chosen.m_Address).second;
  const milliseconds Left = C.timeLeft();
  const net::CallLimits Limits = limitsFor(C, Chosen, Left, WasSentThere);
  const UpstreamTerms Terms = termsFor(C, Chosen.m_Instance, Left);
  SendResult Out;
  Out.m_Sent = now();
  // Counted before the send, as mayMove() reads the counts meanwhile. Counted
  // only at the answer's head, a request ran at one instance more than its
  // route allows.
  C.m_Sends.begin();
  auto Answer = co_await m_Http.open(Chosen.m_Address,
                                     m_Adapter.toUpstream(C.m_Request, Terms),
                                     Limits, &Cancel);
  if (!Answer && Answer.error().m_Code != ErrorCode::Timeout) {
    C.m_Sends.endUnsent();
    // A request that cannot be sent says nothing about the instance.
    const bool IsUnsendable = Answer.error().m_Code == ErrorCode::InvalidInput;
    Out.m_How =
        IsUnsendable ? AttemptOutcome::NotRun : AttemptOutcome::Unreachable;
    Out.m_ReadError = Answer.error().m_Message;
    co_return Out;
  }
  if (!Answer) {
    Out.m_IsPeerEnd = Answer.error().m_IsPeerEnd;
    Out.m_ReadError = Answer.error().m_Message;
    co_return Out;
  }
  net::HttpStream &Body = **Answer;
  Cancel.onCancel([&Body] { Body.cancel(); });
  m_Instances.dataReceived(Chosen.m_Instance, now());
  const auto Own = co_await findOwnAnswer(C, Chosen.m_Instance, Body,
                                          Out.m_Sent + Limits.m_FirstByte);
  if (!Own) {
    Out.m_IsPeerEnd = Own.error().m_IsPeerEnd;
    Out.m_ReadError = Own.error().m_Message;
    Cancel.onCancel(nullptr);
    co_return Out;
  }
  Out.m_Head = *Own;
  const AnswerMeaning Meaning = meaningOf(Out.m_Head);
  if (Meaning != AnswerMeaning::WrongInstance) {
    Out.m_Notice = m_Adapter.noticeOf(Body.status(), Body.headers());
    applyNotice(Out.m_Notice, Chosen.m_Instance, C, Out.m_Sent);
  }
  if (Meaning != AnswerMeaning::Answer) {
    Out.m_How = co_await endWithoutAnswer(C, Chosen.m_Instance, Meaning, Body);
    Cancel.onCancel(nullptr);
    co_return Out;
  }
  Cancel.onCancel(nullptr);
  Out.m_Body = std::move(*Answer);
  co_return Out;
}

asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::exchange(Call &C, const InstanceChoice &Chosen) {
  if (C.m_IsGone)
    co_return AttemptOutcome::Gone;
  SendResult Begun = std::exchange(C.m_NextAnswer, {});
  if (!Begun.m_Body) {
    net::CallCancel Cancel;
    C.m_Abort = [&Cancel] { Cancel.cancel(); };
    Begun = co_await trySend(C, Chosen, Cancel);
    C.m_Abort = nullptr;
  }
  C.m_IsPeerEnd = Begun.m_IsPeerEnd;
  C.m_ReadError = Begun.m_ReadError;
  C.m_Head = Begun.m_Head;
  C.m_Notice = Begun.m_Notice;
  if (!Begun.m_Body)
    co_return Begun.m_How;
  net::HttpStream &Body = *Begun.m_Body;
  C.m_Framing = Body.framing();
  C.m_Abort = [&Body] { Body.cancel(); };
  if (!C.m_Answer.started()) {
    C.m_Status = Body.status();
    C.m_Headers = m_Adapter.toCaller(Body.headers());
  }
  if (C.isStream() && isSuccess(Body.status()) && isEventStream(Body)) {
    const AttemptOutcome How = co_await forwardEvents(C, Body);
    C.m_Abort = nullptr;
    co_return How;
  }
  // The caller already has the head of another answer: an error answer from
  // the instance that the stream moved to cannot be forwarded.
  if (C.m_Answer.started())
    co_return AttemptOutcome::Broken;
  co_return co_await readWhole(C, Body);
}

void EntryRequests::recordLoss(const Call &C, const InstanceId &At,
                               TimePoint Sent) {
  if (!m_Instances.lost(At, Sent, now()))
    return;
  const std::vector<RequestFingerprint> Whole{C.m_Fingerprint};
  m_Harmful.lost(C.m_IsSound ? Whole : C.m_Fingerprints, C.m_Query.m_Service,
                 At, Sent, C.m_Terms.m_AttemptId);
}

/// Records that the parts of the request's prompt are sound. A harmful one
/// crashes its instance when that begins to answer.
void EntryRequests::recordSound(Call &C) {
  if (std::exchange(C.m_IsSound, true))
    return;
  m_Harmful.answeredPrompt(C.m_Query.m_Service, C.m_Terms.m_SharedParts);
}

void EntryRequests::logEjection(const InstanceId &At,
                                std::optional<Duration> For) {
  if (For)
    net::log(Event::InstanceEjected,
             {{"instance", At.m_Text}, {"forMs", msOf(*For)}});
}

void EntryRequests::recordFirstByte(Call &C) {
  C.m_IsAnswering = true;
  C.m_AnswerStart = now();
  C.m_Stay.answerStarted();
  m_Instances.firstToken(C.m_Query, now() - C.m_Sent);
}

} // namespace deckpitch::direct
