#include "direct/entry-call.h"

#include "daemon/clock.h"
#include "daemon/pause.h"
#include "net/log.h"
#include "net/metrics.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using daemon::pauseFor;
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
/// Less is not worth sending: the answer could not be back.
constexpr milliseconds LeastTimeLeft{15};
/// Instances that could not be reached before a request is refused.
constexpr std::uint32_t MostUnreachable = 3;
/// Requests by which a report may be behind: so many ends of requests may have
/// come since, and are not left unused.
constexpr double AskedBeyond = 2;
/// Agents that are asked for a place before a request is refused.
constexpr unsigned MostAsked = 3;
/// Between two looks for a place for the rest of a stream: about as long as an
/// engine reads a prompt.
constexpr milliseconds SeekPause{60};
/// For how long one is looked for. Callers leave a stream that says nothing for
/// two seconds, and the first token takes some tenths of one.
constexpr milliseconds SeekLimit{1'200};
constexpr milliseconds DefaultPatience{30'000};
/// Time that a caller's first try cannot have used up.
constexpr milliseconds ReturningUsed{25};
/// Places left to callers who come back: a second refusal ends their request.
constexpr double FirstTryReserve = 1;
/// Until the declaration is read after a start.
constexpr Duration RetryAfterStart = milliseconds(500);
/// Another entry is known to have what this one lacks, or may have: callers are
/// to ask elsewhere, and this one may have it by then.
constexpr Duration RetryAfterOutdated = milliseconds(50);
/// Instances refused the request just now.
constexpr Duration LeastRetryAfterNotRun = milliseconds(60);
/// Share of the retries that entries may use together which they do use: the
/// rest covers entries that just started with a full budget.
constexpr double UsedShareOfRetries = 0.7;
/// Entries assumed when fewer are known, as after a start.
constexpr std::size_t LeastEntries = 4;

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusServerError = 500;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

/// For log lines and answers.
const char *reasonOf(ChoiceOutcome Value) {
  switch (Value) {
  case ChoiceOutcome::Chosen:
    return "chosen";
  case ChoiceOutcome::NoInstance:
    return "no instance";
  case ChoiceOutcome::NoWeights:
    return "no weights";
  case ChoiceOutcome::Full:
    return "full";
  case ChoiceOutcome::Resting:
    return "all rest";
  case ChoiceOutcome::ListOutdated:
    return "list of instances is outdated";
  }
  return "";
}

InstanceChoice outdatedChoice() {
  InstanceChoice Out;
  Out.m_Outcome = ChoiceOutcome::ListOutdated;
  Out.m_RetryAfter = RetryAfterOutdated;
  return Out;
}

net::Counter &answers(const char *Outcome) {
  return net::metrics().counter("deckpitch_requests_total",
                                {{"outcome", Outcome}});
}

} // namespace

EntryRequests::EntryRequests(asio::io_context &Io, net::HttpClient &Http,
                             const FleetAdapter &Adapter,
                             InstanceTable &Instances, HarmfulWatch &Harmful,
                             RetryShare Retries, AskPlace Ask)
    : m_Io(Io), m_Http(Http), m_Adapter(Adapter), m_Instances(Instances),
      m_Harmful(Harmful), m_Retries(Retries), m_Ask(std::move(Ask)) {}

void EntryRequests::setDeclaration(const FleetDeclaration &Declaration) {
  m_Routes = std::make_shared<const RouteIndex>(Declaration);
}

RetryBudget &EntryRequests::budgetOf(const ServiceId &Service) {
  auto &Budget = m_Budgets[Service];
  if (!Budget) {
    const double Slack = UsedShareOfRetries * m_Retries.m_Slack /
                         static_cast<double>(std::max(m_Entries, LeastEntries));
    Budget = std::make_unique<RetryBudget>(
        UsedShareOfRetries * m_Retries.m_Share,
        std::max(1U, static_cast<std::uint32_t>(Slack)));
  }
  return *Budget;
}

/// Places of an engine that the request leaves to others.
double EntryRequests::reserveFor(const Call &Of) {
  if (Of.m_Query.m_Model.empty())
    return 0;
  RouteLoad &Load = m_RouteLoads[Of.m_Route->m_Name];
  Load.m_Sizes.arrived(Of.size());
  const milliseconds Patience = Of.m_Terms.m_Patience.value_or(DefaultPatience);
  Load.m_LongestPatience = std::max(Load.m_LongestPatience, Patience);
  // One that has used up some of its time has been refused before.
  const bool IsReturning = Patience + ReturningUsed < Load.m_LongestPatience;
  const double Reserve =
      Load.m_Sizes.reserve(Of.size()) + (IsReturning ? 0 : FirstTryReserve);
  return Reserve;
}

asio::awaitable<void> EntryRequests::handle(net::HttpRequest Request,
                                            net::HttpResponder &Answer) {
  Call Of{std::move(Request), Answer, m_Routes};
  Of.m_Start = now();
  Of.m_Terms = m_Adapter.readTerms(Of.m_Request);
  Answer.onGone([&Of] {
    Of.m_IsGone = true;
    if (Of.m_Handover)
      Of.m_Handover->m_Cancel.cancel();
    Of.abort();
  });
  Of.m_Number = ++m_LastCall;
  m_Calls.emplace(Of.m_Number, &Of);
  ++m_Open;
  co_await serve(Of);
  --m_Open;
  m_Calls.erase(Of.m_Number);
}

asio::awaitable<void> EntryRequests::serve(Call &Of) {
  const RouteIndex &Routes = *Of.m_Routes;
  if (Routes.declaration().m_Version == 0)
    co_return co_await refuse(Of, StatusUnavailable, "starting",
                              RetryAfterStart);
  const StoreBelief Belief = m_Belief();
  if (Belief.m_IsUnsure)
    co_return co_await refuse(Of, StatusUnavailable,
                              "stood still, declaration may be old",
                              RetryAfterOutdated);
  if (Belief.m_IsOutdated)
    co_return co_await refuse(Of, StatusUnavailable, "declaration is replaced",
                              RetryAfterStart);
  Of.m_Route =
      Routes.find(Of.m_Request.m_Headers.find("Host"), Of.m_Request.path());
  if (!Of.m_Route)
    co_return co_await deny(Of, StatusNotFound, "no such route");
  Of.m_Organisation = Routes.organisationOf(Of.m_Terms.m_Key);
  const bool NeedsKey = Routes.hasOrganisations() && !Of.m_Route->m_IsOpen;
  if (NeedsKey && !Of.m_Organisation)
    co_return co_await deny(Of, StatusUnauthorized, "unknown key");
  Of.m_Fingerprint = fingerprintOf(
      {Of.m_Organisation ? Of.m_Organisation->m_Organisation.m_Text : "",
       Of.m_Request.m_Headers.find("Host"), Of.m_Request.m_Method,
       Of.m_Request.m_Target, Of.m_Request.m_Body});
  if (const auto RefusedFor = m_Harmful.refusedFor(Of.m_Fingerprint))
    co_return co_await refuse(Of, StatusUnavailable, "crashes its instances",
                              *RefusedFor);
  const ServiceId *Service = chooseService(*Of.m_Route, m_Random());
  if (!Service)
    co_return co_await refuse(Of, StatusUnavailable, "route without service",
                              RetryAfterStart);
  Of.m_Query.m_Service = *Service;
  Of.m_Query.m_Model = Of.m_Terms.m_Model;
  Of.m_Query.m_Objective = Of.m_Route->m_Objective;
  Of.m_Query.m_AskedBeyond = AskedBeyond;
  Of.m_Query.m_Size = {Of.m_Terms.m_PromptTokens, Of.m_Terms.m_LikelyTokens};
  const milliseconds Patience = Of.m_Terms.m_Patience.value_or(DefaultPatience);
  Of.m_Deadline = Of.m_Start + std::min(Patience, Of.m_Route->m_Timeout);
  Of.m_LastEventId = Of.m_Terms.m_LastEventId;
  budgetOf(*Service).deposit();
  Of.m_Query.m_Reserve = reserveFor(Of);
  co_await tryInstances(Of);
}

/// A route or key that is not known here may have been declared meanwhile: only
/// who knows what is in force says for good that there is none. Entries that
/// could not read the store for 3 s, behind a link that was full, answered 404
/// to callers of routes that were in force.
asio::awaitable<void> EntryRequests::deny(Call &Of, unsigned Status,
                                          std::string Reason) {
  if (m_Belief().m_MayBeOld)
    co_return co_await refuse(Of, StatusUnavailable,
                              Reason + ", declaration may be old",
                              RetryAfterStart);
  co_await refuse(Of, Status, std::move(Reason), {});
}

/// Chooses by what is known here, and has the choice confirmed by the agent
/// beside the instance, which knows what all entries send. One whose agent
/// does not answer is passed over while others do: its link is full, and what
/// was sent there unasked came after 400 to 800 ms.
asio::awaitable<InstanceChoice> EntryRequests::choosePlace(ChoiceQuery Query) {
  if (m_ListBelief().m_IsOutdated)
    co_return outdatedChoice();
  std::optional<InstanceChoice> Unanswered;
  std::optional<InstanceChoice> Refused;
  for (unsigned Asked = 0; Asked < MostAsked; ++Asked) {
    InstanceChoice Chosen = m_Instances.choose(Query, now());
    if (Chosen.m_Outcome != ChoiceOutcome::Chosen) {
      // Those that were asked are not looked at again.
      if (!Refused)
        Refused = std::move(Chosen);
      break;
    }
    const auto Place = m_Instances.placeQuery(Chosen.m_Instance, Query, now());
    if (!Place)
      co_return Chosen;
    const auto Reply = co_await m_Ask(Chosen.m_Address, *Place);
    // This process may have stood still meanwhile.
    if (m_ListBelief().m_IsOutdated)
      co_return outdatedChoice();
    if (Reply)
      m_Instances.report(Chosen.m_Address, Reply->m_Report, now());
    if (Reply && Reply->m_IsGranted)
      co_return Chosen;
    Query.m_Full.insert(Chosen.m_Instance);
    if (!Reply) {
      m_Instances.unanswered(Chosen.m_Instance, now());
      if (!Unanswered && Chosen.m_Load < Chosen.m_Limit - AskedBeyond)
        Unanswered = std::move(Chosen);
      continue;
    }
    Chosen.m_Outcome = ChoiceOutcome::Full;
    Refused = std::move(Chosen);
  }
  if (Unanswered)
    co_return *std::move(Unanswered);
  if (Refused)
    co_return *std::move(Refused);
  // No agent answered, and all are believed full.
  Query.m_Full.clear();
  Query.m_AskedBeyond = 0;
  co_return m_Instances.choose(Query, now());
}

/// A stream of which the caller has a part goes on with the same weights where
/// anybody still serves them.
asio::awaitable<InstanceChoice> EntryRequests::choosePlaceFor(Call &Of) {
  if (Of.m_EventCount > 0 && Of.m_Version != 0) {
    InstanceChoice Same = co_await choosePlace(queryForRest(Of));
    if (Same.m_Outcome == ChoiceOutcome::Chosen)
      co_return Same;
  }
  co_return co_await choosePlace(Of.m_Query);
}

asio::awaitable<void> EntryRequests::tryInstances(Call &Of) {
  Ended How = Ended::NotRun;
  while (true) {
    const bool IsBegun = Of.m_NextOpened.m_Body != nullptr;
    if (!IsBegun && Of.timeLeft() < LeastTimeLeft)
      break;
    const bool IsMoving = std::exchange(Of.m_IsMoving, false);
    InstanceChoice Chosen = Of.m_Next;
    if (!IsMoving)
      Chosen = co_await choosePlaceFor(Of);
    if (Chosen.m_Outcome != ChoiceOutcome::Chosen) {
      Of.m_RetryAfter = Chosen.m_RetryAfter;
      Of.m_GivenUpFor = reasonOf(Chosen.m_Outcome);
      if (maySeekFurther(Of)) {
        co_await pauseFor(SeekPause);
        continue;
      }
      if (Of.m_Sends == 0 && Of.m_Unreachable == 0) {
        const char *Reason = reasonOf(Chosen.m_Outcome);
        net::log(Event::AttemptEnded,
                 {{"request", Of.m_Terms.m_AttemptId},
                  {"outcome", Reason},
                  {"instance", Chosen.m_Instance.m_Text},
                  {"load", static_cast<std::uint64_t>(Chosen.m_Load)},
                  {"limit", static_cast<std::uint64_t>(Chosen.m_Limit)},
                  {"reportAgeMs", msOf(Chosen.m_ReportAge)}});
        co_return co_await refuse(Of, StatusUnavailable, Reason,
                                  Chosen.m_RetryAfter);
      }
      break;
    }
    if (Of.m_Sends == 0 && Of.m_Unreachable == 0 && !Of.m_Query.m_Model.empty())
      m_RouteLoads[Of.m_Route->m_Name].m_Sizes.admitted(Of.size());
    How = co_await attempt(Of, Chosen);
    if (How == Ended::Delivered || How == Ended::Gone)
      co_return;
    Of.m_Query.m_Tried.insert(Chosen.m_Instance);
    Of.m_GivenUpFor = wordOf(How);
    if (!Of.m_IsMoving && !mayGoOn(Of, How))
      break;
  }
  co_await giveUp(Of, How);
}

/// Whether a place is looked for again after none was found. Streams of an
/// instance that dies look for one in the same moment, and agents grant few
/// prompts at once: 14 streams were broken off in one moment (3 in 10 of 20
/// instances died). Who has no part yet is better served by a refusal.
bool EntryRequests::maySeekFurther(Call &Of) const {
  if (Of.m_IsGone || !Of.m_Answer.started())
    return false;
  const TimePoint Now = now();
  if (!Of.m_SeeksSince)
    Of.m_SeeksSince = Now;
  return Now - *Of.m_SeeksSince < SeekLimit;
}

/// Whether a further attempt is allowed after one that ended so.
bool EntryRequests::mayGoOn(Call &Of, Ended How) {
  if (How == Ended::Unreachable)
    return ++Of.m_Unreachable < MostUnreachable;
  const bool MayRun = How == Ended::NotRun || Of.isRepeatable();
  if (!MayRun || !Of.hasAttemptsLeft() || m_Harmful.isRefused(Of.m_Fingerprint))
    return false;
  return budgetOf(Of.m_Query.m_Service).withdraw();
}

/// The final answer where no instance gave a whole one.
asio::awaitable<void> EntryRequests::giveUp(Call &Of, Ended How) {
  if (Of.m_IsGone) {
    answers("abandoned").add();
    co_return;
  }
  if (Of.m_Answer.started()) {
    co_await passReady(Of);
    answers("broken").add();
    net::log(Event::StreamBroken, {{"request", Of.m_Terms.m_AttemptId},
                                   {"reason", Of.m_GivenUpFor},
                                   {"events", Of.m_EventCount},
                                   {"sends", std::uint64_t{Of.m_Sends}},
                                   {"afterMs", msOf(now() - Of.m_Start)}});
    Of.m_Answer.abort();
    co_return;
  }
  if (How == Ended::Failed) {
    // The instance's own failure, unchanged.
    net::HttpResponse Held{Of.m_Status, std::move(Of.m_Headers),
                           std::move(Of.m_Body)};
    answers("failed").add();
    net::log(Event::RequestFailed, {{"request", Of.m_Terms.m_AttemptId},
                                    {"status", std::uint64_t{Of.m_Status}},
                                    {"instance", Of.m_Instance.m_Text},
                                    {"afterMs", msOf(now() - Of.m_Start)}});
    co_await Of.m_Answer.send(std::move(Held));
    co_return;
  }
  if (Of.m_Runs == 0)
    co_return co_await refuse(Of, StatusUnavailable, "not run",
                              retryAfterNotRun(Of));
  const bool IsLate = Of.timeLeft() < LeastTimeLeft;
  co_await refuse(Of, IsLate ? StatusGatewayTimeout : StatusBadGateway,
                  "unknown whether it ran", {});
}

/// When an instance may take a request that none has run, those that were tried
/// among them.
Duration EntryRequests::retryAfterNotRun(const Call &Of) {
  ChoiceQuery Query = Of.m_Query;
  Query.m_Tried.clear();
  const InstanceChoice Next = m_Instances.choose(Query, now());
  if (Next.m_Outcome == ChoiceOutcome::Resting)
    return Next.m_RetryAfter;
  return std::max(Of.m_RetryAfter, LeastRetryAfterNotRun);
}

asio::awaitable<void> EntryRequests::refuse(Call &Of, unsigned Status,
                                            std::string Reason,
                                            Duration RetryAfter) {
  answers(Status == StatusUnavailable ? "refused" : "failed").add();
  net::log(Status == StatusUnavailable ? Event::RequestRefused
                                       : Event::RequestFailed,
           {{"request", Of.m_Terms.m_AttemptId},
            {"status", std::uint64_t{Status}},
            {"reason", Reason},
            {"route", Of.m_Route ? Of.m_Route->m_Name : ""},
            {"declaration", Of.m_Routes->declaration().m_Version},
            {"declarationAgeMs", msOf(m_Belief().m_Age)},
            {"listAgeMs", msOf(m_ListBelief().m_Age)},
            {"sends", std::uint64_t{Of.m_Sends}},
            {"retryAfterMs", msOf(RetryAfter)},
            {"leftMs", msOf(Of.m_Deadline - now())},
            {"afterMs", msOf(now() - Of.m_Start)}});
  net::HttpResponse Told =
      m_Adapter.ownAnswer(Status, Reason, Of.m_Terms.m_AttemptId, RetryAfter);
  co_await Of.m_Answer.send(std::move(Told));
}

const char *EntryRequests::wordOf(Ended How) {
  static constexpr std::array Words{"delivered", "gone",   "unreachable",
                                    "not run",   "failed", "lost",
                                    "broken"};
  return Words[static_cast<std::size_t>(How)];
}

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
    m_Harmful.lost(Of.m_Fingerprint, Chosen.m_Instance, Of.m_Terms.m_AttemptId);
  if (How == Ended::Delivered || How == Ended::Failed)
    m_Harmful.answered(Of.m_Fingerprint);
  using End = InstanceTable::End;
  const bool IsBad = How == Ended::Unreachable || How == Ended::Lost ||
                     How == Ended::Broken || How == Ended::Failed;
  m_Instances.ended(Chosen.m_Instance,
                    How == Ended::Delivered ? End::Good
                    : IsBad                 ? End::Failed
                                            : End::Neutral,
                    Of.m_IsAnswering, now());
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
