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
/// A request whose timeout falls short of the route's longest one by more than
/// this is taken for a caller's repeated attempt.
constexpr milliseconds FirstTryTolerance{25};
/// Slots that first attempts leave free for repeated ones: a second refusal
/// ends the caller's request.
constexpr double FirstTryReserve = 1;
/// Retry-After until the declaration has been read after a start.
constexpr Duration RetryAfterStart = milliseconds(500);
/// Minimum Retry-After when instances have just refused the request.
constexpr Duration MinRetryAfterNotRun = milliseconds(60);
/// Fraction of the fleet's retry budget that the entries use: the rest covers
/// requests that reached no entry, and entries that are not known yet.
constexpr double UsedRetryFraction = 0.7;

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusBadGateway = 502;
constexpr unsigned StatusUnavailable = 503;
constexpr unsigned StatusGatewayTimeout = 504;

/// Name of an outcome for log lines and answers.
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

} // namespace

net::Counter &answers(const char *Outcome) {
  return net::metrics().counter("deckpitch_requests_total",
                                {{"outcome", Outcome}});
}

EntryRequests::EntryRequests(asio::io_context &Io, net::HttpClient &Http,
                             const FleetAdapter &Adapter,
                             InstanceTable &Instances,
                             HarmfulRequestTracker &Harmful, RetryShare Retries,
                             AskSlot Ask)
    : m_Io(Io), m_Http(Http), m_Adapter(Adapter), m_Instances(Instances),
      m_Harmful(Harmful), m_Retries{UsedRetryFraction * Retries.m_Share,
                                    UsedRetryFraction * Retries.m_Slack,
                                    Retries.m_Window},
      m_Start(now()), m_Ask(std::move(Ask)) {}

void EntryRequests::setDeclaration(const FleetDeclaration &Declaration) {
  m_Routes = std::make_shared<const RouteIndex>(Declaration);
}

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

bool EntryRequests::takeRetry(const Call &Of) {
  const TimePoint Now = now();
  RetryWindow &Own = retriesOf(Of.m_Query.m_Service);
  const RetryUse Before = Own.use(Now);
  const bool IsGranted = Own.tryRetry(Now);
  net::log(Event::RetryDecided,
           {{"request", Of.m_Terms.m_AttemptId},
            {"service", Of.m_Query.m_Service.m_Text},
            {"granted", std::uint64_t{IsGranted}},
            {"requests", Before.m_Requests},
            {"retries", Before.m_Retries},
            {"allowed", static_cast<std::uint64_t>(Before.m_Allowed)},
            {"entries", std::uint64_t{Before.m_Entries}},
            {"ageMs", msOf(Before.m_Age)}});
  return IsGranted;
}

/// Slots of an engine that the request must leave free for others.
double EntryRequests::reserveFor(const Call &Of) {
  if (Of.m_Query.m_Model.empty())
    return 0;
  RouteLoad &Load = m_RouteLoads[Of.m_Route->m_Name];
  Load.m_Sizes.arrived(Of.size());
  const milliseconds CallerTimeout =
      Of.m_Terms.m_CallerTimeout.value_or(DefaultCallerTimeout);
  Load.m_LongestTimeout = std::max(Load.m_LongestTimeout, CallerTimeout);
  // A request with less time than others of its route was refused before.
  const bool IsReturning =
      CallerTimeout + FirstTryTolerance < Load.m_LongestTimeout;
  const double Reserve =
      Load.m_Sizes.reserve(Of.size()) + (IsReturning ? 0 : FirstTryReserve);
  return Reserve;
}

asio::awaitable<void> EntryRequests::handle(net::HttpRequest Request,
                                            net::HttpResponder &Answer) {
  Call Of{std::move(Request), Answer, m_Routes};
  Of.m_Start = now();
  Of.m_Terms = m_Adapter.readTerms(Of.m_Request);
  Answer.onDisconnect([&Of] {
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
  const StoreFreshness Freshness = m_DeclarationFreshness();
  if (Freshness.m_IsUnconfirmed)
    co_return co_await refuse(Of, StatusUnavailable,
                              "stood still, declaration may be old",
                              RetryAfterOutdated);
  if (Freshness.m_IsOutdated)
    co_return co_await refuse(Of, StatusUnavailable, "declaration is replaced",
                              RetryAfterStart);
  Of.m_Route =
      Routes.find(Of.m_Request.m_Headers.find("Host"), Of.m_Request.path());
  if (!Of.m_Route)
    co_return co_await rejectUnknown(Of, StatusNotFound, "no such route");
  Of.m_Organisation = Routes.organisationOf(Of.m_Terms.m_Key);
  const bool NeedsKey = Routes.hasOrganisations() && !Of.m_Route->m_IsOpen;
  if (NeedsKey && !Of.m_Organisation)
    co_return co_await rejectUnknown(Of, StatusUnauthorized, "unknown key");
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
  Of.m_Query.m_AvoidsLimited = !Of.isRepeatable();
  Of.m_Query.m_Size = {Of.m_Terms.m_PromptTokens, Of.m_Terms.m_LikelyTokens};
  const milliseconds CallerTimeout =
      Of.m_Terms.m_CallerTimeout.value_or(DefaultCallerTimeout);
  Of.m_Deadline = Of.m_Start + std::min(CallerTimeout, Of.m_Route->m_Timeout);
  Of.m_LastEventId = Of.m_Terms.m_LastEventId;
  retriesOf(*Service).arrived(now());
  Of.m_Query.m_Reserve = reserveFor(Of);
  co_await tryInstances(Of);
}

/// Rejects a request with an unknown route or key. Both may have been declared
/// meanwhile, so the rejection is final only if the cached declaration is
/// current: entries that could not read the store for 3 s, behind a saturated
/// link, answered 404 for routes that existed.
asio::awaitable<void> EntryRequests::rejectUnknown(Call &Of, unsigned Status,
                                                   std::string Reason) {
  if (m_DeclarationFreshness().m_MayBeStale)
    co_return co_await refuse(Of, StatusUnavailable,
                              Reason + ", declaration may be old",
                              RetryAfterStart);
  co_await refuse(Of, Status, std::move(Reason), {});
}

asio::awaitable<void> EntryRequests::tryInstances(Call &Of) {
  AttemptOutcome How = AttemptOutcome::NotRun;
  while (true) {
    const bool IsBegun = Of.m_NextAnswer.m_Body != nullptr;
    if (!IsBegun && Of.timeLeft() < MinTimeLeft)
      break;
    const bool IsMoving = std::exchange(Of.m_IsMoving, false);
    InstanceChoice Chosen = Of.m_Next;
    if (!IsMoving)
      Chosen = co_await chooseInstanceFor(Of);
    if (Chosen.m_Outcome != ChoiceOutcome::Chosen) {
      Of.m_RetryAfter = Chosen.m_RetryAfter;
      Of.m_LastOutcome = reasonOf(Chosen.m_Outcome);
      if (mayRepeatSearch(Of)) {
        co_await sleepFor(SearchInterval);
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
    if (How == AttemptOutcome::Delivered || How == AttemptOutcome::Gone)
      co_return;
    Of.m_Query.m_Tried.insert(Chosen.m_Instance);
    Of.m_LastOutcome = outcomeName(How);
    if (!Of.m_IsMoving && !mayRetry(Of, How))
      break;
  }
  co_await giveUp(Of, How);
}

/// Whether the search for an instance is repeated after none was found. All
/// streams of a failed instance search at once, while agents admit few prompts
/// at a time: when 3 in 10 of 20 instances failed, 14 streams were broken off
/// at once. A caller that has received nothing yet is better served by a
/// refusal.
bool EntryRequests::mayRepeatSearch(Call &Of) const {
  if (Of.m_IsGone || !Of.m_Answer.started())
    return false;
  const TimePoint Now = now();
  if (!Of.m_SearchStart)
    Of.m_SearchStart = Now;
  return Now - *Of.m_SearchStart < SearchTimeout;
}

/// Whether another attempt is allowed after one with the given outcome.
bool EntryRequests::mayRetry(Call &Of, AttemptOutcome How) {
  if (How == AttemptOutcome::Unreachable)
    return ++Of.m_Unreachable < MaxUnreachable;
  const bool MayRun = How == AttemptOutcome::NotRun || Of.isRepeatable();
  if (!MayRun || !Of.hasAttemptsLeft() || m_Harmful.isRefused(Of.m_Fingerprint))
    return false;
  return takeRetry(Of);
}

/// Sends the final answer after no instance has given a complete one.
asio::awaitable<void> EntryRequests::giveUp(Call &Of, AttemptOutcome How) {
  if (Of.m_IsGone) {
    answers("abandoned").add();
    co_return;
  }
  if (Of.m_Answer.started()) {
    co_await writeNewEvents(Of);
    answers("broken").add();
    net::log(Event::StreamBroken, {{"request", Of.m_Terms.m_AttemptId},
                                   {"reason", Of.m_LastOutcome},
                                   {"events", Of.m_EventCount},
                                   {"sends", std::uint64_t{Of.m_Sends}},
                                   {"afterMs", msOf(now() - Of.m_Start)}});
    Of.m_Answer.abort();
    co_return;
  }
  if (How == AttemptOutcome::Failed) {
    // The instance's error is forwarded unchanged.
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
  const bool IsLate = Of.timeLeft() < MinTimeLeft;
  co_await refuse(Of, IsLate ? StatusGatewayTimeout : StatusBadGateway,
                  "unknown whether it ran", {});
}

/// Retry-After for a request that no instance has run, with the instances that
/// were tried included.
Duration EntryRequests::retryAfterNotRun(const Call &Of) {
  ChoiceQuery Query = Of.m_Query;
  Query.m_Tried.clear();
  const InstanceChoice Next = m_Instances.choose(Query, now());
  if (Next.m_Outcome == ChoiceOutcome::BackingOff ||
      Next.m_Outcome == ChoiceOutcome::RateLimited)
    return Next.m_RetryAfter;
  return std::max(Of.m_RetryAfter, MinRetryAfterNotRun);
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
            {"declarationAgeMs", msOf(m_DeclarationFreshness().m_Age)},
            {"listAgeMs", msOf(m_ListFreshness().m_Age)},
            {"sends", std::uint64_t{Of.m_Sends}},
            {"retryAfterMs", msOf(RetryAfter)},
            {"leftMs", msOf(Of.m_Deadline - now())},
            {"afterMs", msOf(now() - Of.m_Start)}});
  net::HttpResponse Response =
      m_Adapter.ownAnswer(Status, Reason, Of.m_Terms.m_AttemptId, RetryAfter);
  co_await Of.m_Answer.send(std::move(Response));
}

const char *EntryRequests::outcomeName(AttemptOutcome How) {
  static constexpr std::array Words{"delivered", "gone",   "unreachable",
                                    "not run",   "failed", "lost",
                                    "broken"};
  return Words[static_cast<std::size_t>(How)];
}

} // namespace deckpitch::direct
