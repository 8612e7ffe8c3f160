// One attempt at a request: sending it to an instance, and passing on what
// comes of it.
#include "direct/entry-call.h"
#include "net/log.h"
#include "net/metrics.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

/// A connection within a region takes some milliseconds; an instance that does
/// not take it by then is gone or buried.
constexpr milliseconds ConnectLimit{250};
/// A kept connection that rested longer may just be closing, and what is sent
/// on it then counts as sent.
constexpr milliseconds MostIdle{4'000};
/// Requests that run at most once take fresher connections: for them a closed
/// one cannot be made good.
constexpr milliseconds MostIdleOnce{1'000};
/// An idempotent call of a plain service that takes this many objectives is
/// better repeated elsewhere.
constexpr int PlainObjectives = 3;
constexpr unsigned StatusServerError = 500;

} // namespace

asio::awaitable<EntryRequests::Ended>
EntryRequests::attempt(Call &Of, const InstanceChoice &Chosen) {
  const bool IsBegun = Of.m_NextOpened.m_Body != nullptr;
  Of.m_Instance = Chosen.m_Instance;
  Of.m_IsAnswering = false;
  Of.m_IsPeerEnd = false;
  Of.m_Notice = {};
  Of.m_Sent = IsBegun ? Of.m_NextOpened.m_Sent : now();
  const std::uint64_t ListAgeMs = msOf(m_ListBelief().m_Age);
  Of.m_Heard = now();
  // What was kept while the stream was being handed over is the caller's,
  // unless the next instance has begun after what the caller has.
  if (!IsBegun && Of.m_Answer.started())
    co_await passReady(Of);
  Of.m_Events.clear();
  Of.m_SeeksSince.reset();
  if (Of.m_EventCount == 0)
    Of.m_Version = m_Instances.versionAt(Chosen.m_Instance, Of.m_Query.m_Model);
  if (IsBegun)
    noteBegun(Of);
  else
    m_Instances.started(Chosen.m_Instance, now());
  m_AtInstance[Chosen.m_Instance].insert(&Of);
  Ended How = co_await exchange(Of, Chosen);
  Of.m_Abort = nullptr;
  co_await endHandover(Of, How);
  if (Of.m_IsGone && How != Ended::Delivered)
    How = Ended::Gone;
  const auto At = m_AtInstance.find(Chosen.m_Instance);
  At->second.erase(&Of);
  if (At->second.empty())
    m_AtInstance.erase(At);
  if (Of.m_IsPeerEnd)
    noteLost(Of, Chosen.m_Instance, Of.m_Sent);
  if (How == Ended::Delivered || How == Ended::Failed)
    m_Harmful.answered(Of.m_Fingerprint);
  using End = InstanceTable::End;
  const bool IsBad = How == Ended::Unreachable || How == Ended::Lost ||
                     How == Ended::Broken || How == Ended::Failed;
  noteEnd(Chosen.m_Instance,
          How == Ended::Delivered ? End::Good
          : IsBad                 ? End::Failed
                                  : End::Neutral,
          Of.m_IsAnswering);
  net::log(How == Ended::Delivered ? Event::RequestAnswered
           : How == Ended::Gone    ? Event::RequestAbandoned
                                   : Event::AttemptEnded,
           {{"request", Of.m_Terms.m_AttemptId},
            {"outcome", wordOf(How)},
            {"status", std::uint64_t{Of.m_Status}},
            {"instance", Chosen.m_Instance.m_Text},
            {"fingerprint", textOf(Of.m_Fingerprint)},
            {"closedThere", std::uint64_t{Of.m_IsPeerEnd}},
            {"saysLeaving", std::uint64_t{Of.m_Notice.m_IsLeaving}},
            {"restMs", msOf(Of.m_Notice.m_Rest)},
            {"load", static_cast<std::uint64_t>(Chosen.m_Load)},
            {"limit", static_cast<std::uint64_t>(Chosen.m_Limit)},
            {"reportAgeMs", msOf(Chosen.m_ReportAge)},
            {"listAgeMs", ListAgeMs},
            {"sends", std::uint64_t{Of.m_Sends}},
            {"events", Of.m_EventCount},
            {"firstMs", msOf(Of.m_FirstByte)},
            {"leftMs", msOf(Of.m_Deadline - now())},
            {"afterMs", msOf(now() - Of.m_Start)}});
  if (How == Ended::Delivered)
    answers("answered").add();
  if (How == Ended::Gone)
    answers("abandoned").add();
  co_return How;
}

/// Whether another instance could take the request. Where none can, a slow call
/// that is ended is answered 502, though its only instance may be almost done.
bool EntryRequests::hasOther(const Call &Of, const InstanceChoice &Than) {
  ChoiceQuery Query = Of.m_Query;
  Query.m_Tried.insert(Than.m_Instance);
  const InstanceChoice Other = m_Instances.choose(Query, now());
  return Other.m_Outcome == ChoiceOutcome::Chosen;
}

/// An instance knows best what becomes of it, and its answers come also where
/// neither the store nor its agent can be heard.
void EntryRequests::heed(const InstanceNotice &Notice, const InstanceId &From,
                         const Call &In) {
  if (Notice.m_IsLeaving && m_Instances.leaving(From))
    net::log(Event::InstanceLeaving, {{"instance", From.m_Text},
                                      {"source", "answer"},
                                      {"request", In.m_Terms.m_AttemptId}});
  const bool Rests = Notice.m_Rest > Duration::zero();
  if (Rests && m_Instances.rest(From, now() + Notice.m_Rest, now()))
    net::log(Event::InstanceResting, {{"instance", From.m_Text},
                                      {"restMs", msOf(Notice.m_Rest)},
                                      {"request", In.m_Terms.m_AttemptId}});
}

/// Sends the request and reads the head of the answer.
asio::awaitable<EntryRequests::Opened>
EntryRequests::send(Call &Of, const InstanceChoice &Chosen,
                    net::CallCancel &Cancel) {
  const milliseconds Left = Of.timeLeft();
  const bool IsOnce = Of.m_Route->m_Kind == RouteKind::NonIdempotent;
  net::CallLimits Limits;
  Limits.m_Connect = std::min(ConnectLimit, Left);
  Limits.m_FirstByte = Left;
  // A silent stream is moved where another instance can take it; else it may
  // still be answered.
  const bool MayRepeat =
      !Of.isStream() && !IsOnce && Of.m_Runs + 1 < Of.m_Route->m_Attempts;
  if (MayRepeat && hasOther(Of, Chosen))
    Limits.m_FirstByte =
        std::min(Left, PlainObjectives * Of.m_Route->m_Objective);
  Limits.m_BetweenBytes = Limits.m_FirstByte;
  Limits.m_MostIdle = IsOnce ? MostIdleOnce : MostIdle;
  Limits.m_RepeatsGet = false;

  UpstreamTerms Terms;
  Terms.m_TimeLeft = Left;
  Terms.m_Instance = Chosen.m_Instance;
  if (Of.m_Organisation)
    Terms.m_Organisation = Of.m_Organisation->m_Organisation;
  if (Of.m_EventCount > 0)
    Terms.m_LastEventId = Of.m_LastEventId;
  Opened Out;
  Out.m_Sent = now();
  // From here on it may run: whether the stream may move is asked meanwhile.
  // Counted from the answer's head only, it ran at one more instance than its
  // route allows.
  ++Of.m_Sends;
  ++Of.m_Runs;
  auto Answer = co_await m_Http.open(Chosen.m_Address,
                                     m_Adapter.toUpstream(Of.m_Request, Terms),
                                     Limits, &Cancel);
  if (!Answer && Answer.error().m_Code == ErrorCode::Unavailable) {
    --Of.m_Sends;
    --Of.m_Runs;
    Out.m_How = Ended::Unreachable;
    co_return Out;
  }
  if (!Answer) {
    Out.m_IsPeerEnd = Answer.error().m_IsPeerEnd;
    co_return Out;
  }
  net::HttpStream &Body = **Answer;
  Cancel.onCancel([&Body] { Body.cancel(); });
  m_Instances.heard(Chosen.m_Instance, now());
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
    heed(Out.m_Notice, Chosen.m_Instance, Of);
  }
  if (Meaning == AnswerMeaning::WrongInstance ||
      Meaning == AnswerMeaning::NotRun) {
    --Of.m_Runs;
    if (Meaning == AnswerMeaning::WrongInstance)
      m_Instances.replaced(Chosen.m_Instance);
    // The connection stays good once its short answer is read.
    co_await Body.read();
    Cancel.onCancel(nullptr);
    Out.m_How = Ended::NotRun;
    co_return Out;
  }
  Cancel.onCancel(nullptr);
  Out.m_Body = std::move(*Answer);
  co_return Out;
}

asio::awaitable<EntryRequests::Ended>
EntryRequests::exchange(Call &Of, const InstanceChoice &Chosen) {
  if (Of.m_IsGone)
    co_return Ended::Gone;
  Opened Begun = std::exchange(Of.m_NextOpened, {});
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
    const Ended How = co_await passEvents(Of, Body);
    Of.m_Abort = nullptr;
    co_return How;
  }
  // A stream that went on elsewhere and met a failure has no answer to hold.
  if (Of.m_Answer.started())
    co_return Ended::Broken;
  co_return co_await readWhole(Of, Body);
}

/// Reads all of an answer before any of it is passed on, so that one that
/// breaks off can still be tried elsewhere.
asio::awaitable<EntryRequests::Ended>
EntryRequests::readWhole(Call &Of, net::HttpStream &Body) {
  Of.m_Body.clear();
  while (true) {
    Body.setBetweenBytes(std::max(Of.timeLeft(), milliseconds(1)));
    auto Piece = co_await Body.read();
    if (!Piece) {
      Of.m_IsPeerEnd = Piece.error().m_IsPeerEnd;
      co_return Ended::Lost;
    }
    if (Piece->empty())
      break;
    m_Instances.heard(Of.m_Instance, now());
    Of.m_Body += *Piece;
  }
  Of.m_FirstByte = now() - Of.m_Start;
  if (Of.m_Status >= StatusServerError)
    co_return Ended::Failed;
  net::HttpResponse Whole{Of.m_Status, Of.m_Headers, std::move(Of.m_Body)};
  const bool Sent = co_await Of.m_Answer.send(std::move(Whole));
  co_return Sent ? Ended::Delivered : Ended::Gone;
}

void EntryRequests::noteLost(const Call &Of, const InstanceId &At,
                             TimePoint Sent) {
  if (m_Instances.lost(At, Sent, now()))
    m_Harmful.lost(Of.m_Fingerprint, At, Sent, Of.m_Terms.m_AttemptId);
}

void EntryRequests::noteEnd(const InstanceId &At, InstanceTable::End How,
                            bool WasAnswering) {
  if (const auto For = m_Instances.ended(At, How, WasAnswering, now()))
    net::log(Event::InstanceEjected,
             {{"instance", At.m_Text}, {"forMs", msOf(*For)}});
}

void EntryRequests::noteBegun(Call &Of) {
  Of.m_IsAnswering = true;
  m_Instances.answering(Of.m_Instance);
  m_Instances.firstToken(Of.m_Query, now() - Of.m_Sent);
}

/// Whole events that came and that the caller does not have.
std::string EntryRequests::takeReady(Call &Of) {
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

/// False where the caller has left.
asio::awaitable<bool> EntryRequests::passReady(Call &Of) {
  const std::string Ready = takeReady(Of);
  if (Ready.empty())
    co_return true;
  co_return co_await Of.m_Answer.write(Ready);
}

asio::awaitable<EntryRequests::Ended>
EntryRequests::passEvents(Call &Of, net::HttpStream &Body) {
  while (true) {
    const milliseconds Left = Of.timeLeft();
    if (Left <= milliseconds::zero())
      co_return Ended::Broken;
    Body.setBetweenBytes(Left);
    auto Piece = co_await Body.read();
    const bool IsEnd = Piece && Piece->empty();
    if (Piece && Of.m_Handover)
      co_await limitHandover(Of, IsEnd);
    // All of it is here, whatever the other instance has begun.
    if (IsEnd)
      Of.m_IsMoving = false;
    if (!Piece)
      Of.m_IsPeerEnd = Piece.error().m_IsPeerEnd && !Of.m_IsMoving;
    if (!Piece || Of.m_IsMoving)
      co_return Of.m_Answer.started() ? Ended::Broken : Ended::Lost;
    m_Instances.heard(Of.m_Instance, now());
    Of.m_Heard = now();
    if (!Of.m_IsAnswering)
      noteBegun(Of);
    if (!IsEnd)
      Of.m_Events.add(*Piece);
    // The other instance begins after what the caller has by now.
    if (Of.m_Handover)
      continue;
    std::string Ready = takeReady(Of);
    if (IsEnd) {
      Ready += Of.m_Events.part();
      Of.m_Events.clear();
    }
    if (!Ready.empty() || IsEnd) {
      if (!Of.m_Answer.started()) {
        Of.m_FirstByte = now() - Of.m_Start;
        if (!co_await Of.m_Answer.begin(Of.m_Status, Of.m_Headers))
          co_return Ended::Gone;
      }
      if (!co_await Of.m_Answer.write(Ready))
        co_return Ended::Gone;
    }
    if (IsEnd)
      co_return co_await Of.m_Answer.end() ? Ended::Delivered : Ended::Gone;
  }
}

} // namespace deckpitch::direct
