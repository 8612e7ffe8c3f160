#include "direct/entry-call.h"

#include "daemon/clock.h"
#include "daemon/sleep.h"
#include "net/log.h"
#include "net/metrics.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using daemon::sleepFor;
using std::chrono::milliseconds;

namespace {

/// With less time left, an answer could not arrive before the deadline.
constexpr milliseconds MinTimeLeft{15};
/// Unreachable instances after which a request is refused.
constexpr std::uint32_t MaxUnreachable = 3;
/// Slots beyond an instance's reported limit for which its agent is still
/// asked: this many requests may have ended since the report.
constexpr double AskedBeyond = 2;
/// Interval between searches for an instance that takes the remainder of a
/// stream: about the time in which an engine processes a prompt.
constexpr milliseconds SearchInterval{60};
/// Total time of these searches. Callers abandon a stream after two seconds
/// without data, and the first token takes some tenths of a second.
constexpr milliseconds SearchTimeout{1'200};
constexpr milliseconds DefaultCallerTimeout{30'000};
/// Bytes that one answer may make this process buffer. The largest answers of
/// plain services are some kilobytes, and one event of a stream has less.
constexpr AnswerBounds AnswerLimits{.m_Allowance = std::size_t{64} * 1024,
                                    .m_Most = std::size_t{8} * 1024 * 1024};
/// A request whose timeout falls short of the route's longest one by more than
/// this is taken for a caller's repeated attempt.
constexpr milliseconds FirstTryTolerance{25};
/// Slots that first attempts leave free for repeated ones: a second refusal
/// ends the caller's request.
constexpr double FirstTryReserve = 1;
/// Retry-After during the stop of this entry: other entries can take the
/// request at once.
constexpr Duration RetryAfterStop = milliseconds(50);
/// Retry-After until the declaration has been read after a start.
constexpr Duration RetryAfterStart = milliseconds(500);
/// Minimum Retry-After when instances have just refused the request.
constexpr Duration MinRetryAfterNotRun = milliseconds(60);
/// Fraction of the fleet's retry budget that the entries use: the rest covers
/// requests that reached no entry, and entries that are not known yet.
constexpr double UsedRetryFraction = 0.7;

/// Status of a refusal, for log lines.
constexpr unsigned StatusUnavailable = 503;

/// Name of an outcome for log lines and answers.
const char *reasonOf(ChoiceOutcome Value) {
  switch (Value) {
  case ChoiceOutcome::Chosen:
    return "chosen";
  case ChoiceOutcome::NoInstance:
    return "no instance";
  case ChoiceOutcome::NotAllowed:
    return "no instance in an allowed region";
  case ChoiceOutcome::Evacuated:
    return "data centre is evacuated";
  case ChoiceOutcome::NoWeights:
    return "no weights";
  case ChoiceOutcome::Full:
    return "full";
  case ChoiceOutcome::BackingOff:
    return "all rest";
  case ChoiceOutcome::RateLimited:
    return "all at their rate limits";
  case ChoiceOutcome::Unconfirmed:
    return "nobody confirms that instances live";
  case ChoiceOutcome::ListOutdated:
    return "list of instances is outdated";
  }
  return "";
}

milliseconds timeoutOf(const CallerTerms &Terms, const ServiceRoute &Route) {
  return std::min(Terms.m_CallerTimeout.value_or(DefaultCallerTimeout),
                  Route.m_Timeout);
}

std::string reasonOf(const HarmRefusal &Refusal) {
  if (!isPromptPart(Refusal.m_Cause))
    return "crashes its instances";
  return "part " + textOf(PromptPart{Refusal.m_Cause.m_Low}) +
         " of its prompt crashes its instances";
}

} // namespace

net::Counter &answers(const char *Outcome) {
  return net::metrics().counter("deckpitch_requests_total",
                                {{"outcome", Outcome}});
}

EntryRequests::EntryRequests(asio::io_context &Io, net::HttpClient &Http,
                             const FleetAdapter &Adapter,
                             InstanceTable &Instances,
                             HarmfulRequestTracker &Harmful, RetryShare Retries,
                             std::size_t AnswerBytes, AskSlot Ask)
    : m_Io(Io), m_Http(Http), m_Adapter(Adapter), m_Instances(Instances),
      m_Harmful(Harmful), m_Retries{UsedRetryFraction * Retries.m_Share,
                                    UsedRetryFraction * Retries.m_Slack,
                                    Retries.m_Window},
      m_Start(now()), m_Ask(std::move(Ask)),
      m_InProgress(std::make_shared<CallsInProgress>(Instances)),
      m_AnswerBytes(AnswerBytes) {}

std::size_t EntryRequests::open() const { return m_InProgress->m_ById.size(); }

void EntryRequests::setEntries(std::size_t Count, TimePoint Now) {
  m_Entries = Count;
  for (auto &[Service, Each] : m_RetryWindows)
    Each.setEntries(Count, Now);
}

RetryWindow &EntryRequests::retriesOf(const ServiceId &Service) {
  const auto [At, IsNew] =
      m_RetryWindows.try_emplace(Service, RetryWindow(m_Retries, m_Start));
  if (IsNew)
    At->second.setEntries(m_Entries, now());
  return At->second;
}

bool EntryRequests::takeRetry(const Call &C) {
  const TimePoint Now = now();
  RetryWindow &Own = retriesOf(C.m_Query.m_Service);
  const RetryUse Before = Own.use(Now);
  const bool IsGranted = Own.tryRetry(Now);
  net::log(Event::RetryDecided,
           {{"request", C.m_Terms.m_AttemptId},
            {"service", C.m_Query.m_Service.m_Text},
            {"granted", std::uint64_t{IsGranted}},
            {"requests", Before.m_Requests},
            {"retries", Before.m_Retries},
            {"allowed", static_cast<std::uint64_t>(Before.m_Allowed)},
            {"entries", std::uint64_t{Before.m_Entries}},
            {"ageMs", msOf(Before.m_Age)}});
  return IsGranted;
}

/// Slots of an engine that the request must leave free for others.
double EntryRequests::reserveFor(const Call &C) {
  if (C.m_Query.m_Model.empty())
    return 0;
  RouteLoad &Load = m_RouteLoads[C.m_Route->m_Name];
  Load.m_Sizes.arrived(C.size());
  const milliseconds CallerTimeout =
      C.m_Terms.m_CallerTimeout.value_or(DefaultCallerTimeout);
  Load.m_LongestTimeout = std::max(Load.m_LongestTimeout, CallerTimeout);
  // A request with less time than others of its route was refused before.
  const bool IsReturning =
      CallerTimeout + FirstTryTolerance < Load.m_LongestTimeout;
  const double Reserve =
      Load.m_Sizes.reserve(C.size()) + (IsReturning ? 0 : FirstTryReserve);
  return Reserve;
}

asio::awaitable<void> EntryRequests::handle(net::HttpRequest Request,
                                            net::HttpResponder &Answer) {
  // Not std::make_shared, which cannot initialise an aggregate with clang 14.
  const std::shared_ptr<Call> C(new Call{std::move(Request), Answer, m_Routes});
  C->m_Held.emplace(m_AnswerBytes, AnswerLimits);
  C->m_Start = now();
  C->m_Terms = m_Adapter.readTerms(C->m_Request);
  C->m_Number = ++m_LastCall;
  const Registration Registered(m_InProgress, C);
  // The responder may outlive the request, if that ends by an exception.
  Answer.onDisconnect([Weak = std::weak_ptr(C)] {
    const auto Left = Weak.lock();
    if (!Left)
      return;
    Left->m_IsGone = true;
    if (Left->m_Handover)
      Left->m_Handover->m_Cancel.cancel();
    Left->abort();
  });
  co_await serve(*C);
}

bool EntryRequests::acceptsBody(const net::HttpRequest &Head) const {
  const RouteIndex &Routes = *m_Routes;
  const ServiceRoute *Route =
      Routes.find(Head.m_Headers.find("Host"), Head.path());
  if (!Route)
    return false;
  const CallerTerms Terms = m_Adapter.readTerms(Head);
  const TimePoint Now = now();
  if (isRefusedByStop({Now + timeoutOf(Terms, *Route), isRepeatable(*Route)},
                      Now))
    return false;
  const bool NeedsKey = Routes.hasOrganisations() && !Route->m_IsOpen;
  return !NeedsKey || Routes.organisationOf(Terms.m_Key);
}

asio::awaitable<void> EntryRequests::serve(Call &C) {
  const RouteIndex &Routes = *C.m_Routes;
  if (Routes.declaration().m_Version == 0)
    co_return co_await refuse(C, "starting", RetryAfterStart);
  const StoreFreshness Freshness = m_DeclarationFreshness();
  if (Freshness.m_IsUnconfirmed)
    co_return co_await refuse(C, "stood still, declaration may be old",
                              RetryAfterOutdated);
  if (Freshness.m_IsOutdated)
    co_return co_await refuse(C, "declaration is replaced", RetryAfterStart);
  C.m_Route =
      Routes.find(C.m_Request.m_Headers.find("Host"), C.m_Request.path());
  if (!C.m_Route)
    co_return co_await rejectUnknown(C, FailureStatus::NotFound,
                                     "no such route");
  C.m_Organisation = Routes.organisationOf(C.m_Terms.m_Key);
  const bool NeedsKey = Routes.hasOrganisations() && !C.m_Route->m_IsOpen;
  if (NeedsKey && !C.m_Organisation)
    co_return co_await rejectUnknown(C, FailureStatus::Unauthorized,
                                     "unknown key");
  C.m_Deadline = C.m_Start + timeoutOf(C.m_Terms, *C.m_Route);
  if (!admitDuringStop(C))
    co_return co_await refuse(C, "this entry stops", RetryAfterStop);
  if (!C.m_Request.m_IsBodyRead)
    co_return co_await refuse(C, "route or key just declared", RetryAfterStart);
  C.m_Fingerprint = fingerprintOf(
      {C.m_Organisation ? C.m_Organisation->m_Organisation.m_Text : "",
       C.m_Request.m_Headers.find("Host"), C.m_Request.m_Method,
       C.m_Request.m_Target, C.m_Request.m_Body});
  C.m_Fingerprints = {C.m_Fingerprint};
  for (const PromptPart &Each : C.m_Terms.m_SharedParts)
    C.m_Fingerprints.push_back(fingerprintOf(Each));
  const auto Refusal = m_Harmful.refusalOf(C.m_Fingerprints);
  if (Refusal && !m_Harmful.beginTrial(C.m_Fingerprints))
    co_return co_await refuse(C, reasonOf(*Refusal), pauseFor(*Refusal, now()));
  const ServiceId *Service = chooseService(*C.m_Route, m_Random());
  if (!Service)
    co_return co_await refuse(C, "route without service", RetryAfterStart);
  C.m_Query.m_Service = *Service;
  C.m_Query.m_Model = C.m_Terms.m_Model;
  C.m_Query.m_Objective = C.m_Route->m_Objective;
  C.m_Query.m_Regions =
      C.m_Organisation
          ? intersectionOf(C.m_Route->m_Regions, C.m_Organisation->m_Regions)
          : C.m_Route->m_Regions;
  C.m_Query.m_AskedBeyond = AskedBeyond;
  C.m_Query.m_AvoidsLimited = !C.isRepeatable();
  C.m_Query.m_Size = {C.m_Terms.m_PromptTokens, C.m_Terms.m_LikelyTokens};
  C.m_LastEventId = C.m_Terms.m_LastEventId;
  retriesOf(*Service).arrived(now());
  C.m_Query.m_Reserve = reserveFor(C);
  co_await tryInstances(C);
}

/// Rejects a request with an unknown route or key. Both may have been declared
/// meanwhile, so the rejection is final only if the cached declaration is
/// current: entries that could not read the store for 3 s, behind a saturated
/// link, answered 404 for routes that existed.
asio::awaitable<void> EntryRequests::rejectUnknown(Call &C,
                                                   FailureStatus Status,
                                                   std::string Reason) {
  if (m_DeclarationFreshness().m_MayBeStale)
    co_return co_await refuse(C, Reason + ", declaration may be old",
                              RetryAfterStart);
  co_await fail(C, Status, std::move(Reason));
}

asio::awaitable<void> EntryRequests::tryInstances(Call &C) {
  AttemptOutcome How = AttemptOutcome::NotRun;
  while (true) {
    const bool IsBegun = C.m_NextAnswer.m_Body != nullptr;
    if (C.m_IsEnded || (!IsBegun && C.timeLeft() < MinTimeLeft))
      break;
    const bool IsMoving = std::exchange(C.m_IsMoving, false);
    InstanceChoice Chosen = C.m_Next;
    if (!IsMoving)
      Chosen = co_await chooseInstanceFor(C);
    if (Chosen.m_Outcome != ChoiceOutcome::Chosen) {
      C.m_RetryAfter = Chosen.m_RetryAfter;
      C.m_LastOutcome = reasonOf(Chosen.m_Outcome);
      if (mayRepeatSearch(C)) {
        co_await sleepFor(SearchInterval);
        continue;
      }
      if (C.m_Sends.sends() == 0 && C.m_Unreachable == 0) {
        const char *Reason = reasonOf(Chosen.m_Outcome);
        net::log(Event::AttemptEnded,
                 {{"request", C.m_Terms.m_AttemptId},
                  {"outcome", Reason},
                  {"instance", Chosen.m_Instance.m_Text},
                  {"load", static_cast<std::uint64_t>(Chosen.m_Load)},
                  {"limit", static_cast<std::uint64_t>(Chosen.m_Limit)},
                  {"reportAgeMs", msOf(Chosen.m_ReportAge)}});
        co_return co_await refuse(C, Reason, Chosen.m_RetryAfter);
      }
      break;
    }
    if (!IsBegun && !maySendDuringStop(C)) {
      C.m_IsEnded = true;
      break;
    }
    if (C.m_Sends.sends() == 0 && C.m_Unreachable == 0 &&
        !C.m_Query.m_Model.empty())
      m_RouteLoads[C.m_Route->m_Name].m_Sizes.admitted(C.size());
    How = co_await attempt(C, Chosen);
    if (How == AttemptOutcome::Delivered || How == AttemptOutcome::Gone)
      co_return;
    C.m_Query.m_Tried.insert(Chosen.m_Instance);
    C.m_LastOutcome = outcomeName(How);
    if (!C.m_IsMoving && !mayRetry(C, How))
      break;
  }
  co_await giveUp(C, How);
}

/// Whether the search for an instance is repeated after none was found. All
/// streams of a failed instance search at once, while agents admit few prompts
/// at a time: when 3 in 10 of 20 instances failed, 14 streams were broken off
/// at once. A caller that has received nothing yet is better served by a
/// refusal.
bool EntryRequests::mayRepeatSearch(Call &C) const {
  if (C.m_IsGone || C.m_IsEnded || !C.m_Answer.started())
    return false;
  const TimePoint Now = now();
  if (!C.m_SearchStart)
    C.m_SearchStart = Now;
  return Now - *C.m_SearchStart < SearchTimeout;
}

/// Whether another attempt is allowed after one with the given outcome.
bool EntryRequests::mayRetry(Call &C, AttemptOutcome Outcome) {
  if (C.m_IsEnded)
    return false;
  if (Outcome == AttemptOutcome::Unreachable)
    return ++C.m_Unreachable < MaxUnreachable;
  const bool MayRun = Outcome == AttemptOutcome::NotRun || C.isRepeatable();
  const bool IsHarmful = m_Harmful.isRefused(C.m_Fingerprints) ||
                         m_Harmful.hasSuspectPart(C.m_Fingerprints);
  if (!MayRun || !C.hasAttemptsLeft() || IsHarmful)
    return false;
  return takeRetry(C);
}

/// Sends the final answer after no instance has given a complete one.
asio::awaitable<void> EntryRequests::giveUp(Call &C, AttemptOutcome Outcome) {
  if (C.m_IsGone) {
    answers("abandoned").add();
    co_return;
  }
  if (C.m_Answer.started()) {
    co_await writeNewEvents(C);
    answers("broken").add();
    net::log(Event::StreamBroken, {{"request", C.m_Terms.m_AttemptId},
                                   {"reason", C.m_LastOutcome},
                                   {"events", C.m_EventCount},
                                   {"sends", std::uint64_t{C.m_Sends.sends()}},
                                   {"afterMs", msOf(now() - C.m_Start)}});
    C.m_Answer.abort();
    co_return;
  }
  if (Outcome == AttemptOutcome::Failed) {
    // The instance's error is forwarded unchanged.
    net::HttpResponse Held{C.m_Status, std::move(C.m_Headers),
                           std::move(C.m_Body)};
    answers("failed").add();
    net::log(Event::RequestFailed, {{"request", C.m_Terms.m_AttemptId},
                                    {"status", std::uint64_t{C.m_Status}},
                                    {"instance", C.m_Instance.m_Text},
                                    {"afterMs", msOf(now() - C.m_Start)}});
    co_await C.m_Answer.send(std::move(Held));
    co_return;
  }
  if (Outcome == AttemptOutcome::Unproven) {
    std::string Reason = "the instance answered " +
                         std::to_string(C.m_Head.m_Status) +
                         " without a proof that it did not run";
    co_return co_await failUnknown(C, std::move(Reason));
  }
  if (C.m_IsEnded)
    co_return co_await refuse(C, "this entry stops", RetryAfterStop);
  co_await refuse(C, "not run", retryAfterNotRun(C));
}

/// Retry-After for a request that no instance has run, with the instances that
/// were tried included.
Duration EntryRequests::retryAfterNotRun(const Call &C) {
  ChoiceQuery Query = C.m_Query;
  Query.m_Tried.clear();
  const InstanceChoice Next = m_Instances.choose(Query, now());
  if (Next.m_Outcome == ChoiceOutcome::BackingOff ||
      Next.m_Outcome == ChoiceOutcome::RateLimited)
    return Next.m_RetryAfter;
  return std::max(C.m_RetryAfter, MinRetryAfterNotRun);
}

/// Tells the caller that its request has not run and will not. Without proof of
/// that by the sends, it answers as failUnknown().
asio::awaitable<void> EntryRequests::refuse(Call &C, std::string Reason,
                                            Duration RetryAfter) {
  const auto Proof = C.m_Sends.proofOfNotRun();
  if (!Proof)
    co_return co_await failUnknown(C, "unknown whether it ran");
  answers("refused").add();
  logOwnAnswer(Event::RequestRefused, C, StatusUnavailable, Reason, RetryAfter);
  net::HttpResponse Response =
      m_Adapter.refusal(*Proof, Reason, C.m_Terms.m_AttemptId, RetryAfter);
  co_await C.m_Answer.send(std::move(Response));
}

/// Answers a request that may have run: 504 once its deadline has passed, else
/// 502.
asio::awaitable<void> EntryRequests::failUnknown(Call &C, std::string Reason) {
  const bool IsLate = C.timeLeft() < MinTimeLeft && !C.m_IsCutShort;
  co_await fail(
      C, IsLate ? FailureStatus::GatewayTimeout : FailureStatus::BadGateway,
      std::move(Reason));
}

/// Sends an answer that does not tell whether the request has run.
asio::awaitable<void> EntryRequests::fail(Call &C, FailureStatus Status,
                                          std::string Reason) {
  answers("failed").add();
  logOwnAnswer(Event::RequestFailed, C, static_cast<unsigned>(Status), Reason,
               {});
  net::HttpResponse Response =
      m_Adapter.failure(Status, Reason, C.m_Terms.m_AttemptId);
  co_await C.m_Answer.send(std::move(Response));
}

void EntryRequests::logOwnAnswer(Event What, const Call &C, unsigned Status,
                                 const std::string &Reason,
                                 Duration RetryAfter) const {
  net::log(What, {{"request", C.m_Terms.m_AttemptId},
                  {"status", std::uint64_t{Status}},
                  {"reason", Reason},
                  {"route", C.m_Route ? C.m_Route->m_Name : ""},
                  {"declaration", C.m_Routes->declaration().m_Version},
                  {"declarationAgeMs", msOf(m_DeclarationFreshness().m_Age)},
                  {"listAgeMs", msOf(m_ListFreshness().m_Age)},
                  {"sends", std::uint64_t{C.m_Sends.sends()}},
                  {"mayHaveRun", std::uint64_t{C.m_Sends.runs()}},
                  {"unreachable", std::uint64_t{C.m_Unreachable}},
                  {"retryAfterMs", msOf(RetryAfter)},
                  {"leftMs", msOf(C.m_Deadline - now())},
                  {"afterMs", msOf(now() - C.m_Start)}});
}

const char *EntryRequests::outcomeName(AttemptOutcome Outcome) {
  static constexpr std::array Words{"delivered", "gone",   "unreachable",
                                    "not run",   "failed", "unproven",
                                    "lost",      "broken"};
  return Words[static_cast<std::size_t>(Outcome)];
}

} // namespace deckpitch::direct
