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

/// Less is not worth sending: the answer could not be back.
constexpr milliseconds LeastTimeLeft{15};
/// Instances that could not be reached before a request is refused.
constexpr std::uint32_t MostUnreachable = 3;
/// Requests by which a report may be behind: so many ends of requests may have
/// come since, and are not left unused.
constexpr double AskedBeyond = 2;
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
/// Instances refused the request just now.
constexpr Duration LeastRetryAfterNotRun = milliseconds(60);
/// Share of the retries that entries may use together which they do use: the
/// rest covers requests that reached no entry, and entries not yet known of.
constexpr double UsedShareOfRetries = 0.7;

constexpr unsigned StatusUnauthorized = 401;
constexpr unsigned StatusNotFound = 404;
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
                             InstanceTable &Instances, HarmfulWatch &Harmful,
                             RetryShare Retries, AskPlace Ask)
    : m_Io(Io), m_Http(Http), m_Adapter(Adapter), m_Instances(Instances),
      m_Harmful(Harmful), m_Retries{UsedShareOfRetries * Retries.m_Share,
                                    UsedShareOfRetries * Retries.m_Slack,
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
  retriesOf(*Service).arrived(now());
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
  return takeRetry(Of);
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

} // namespace deckpitch::direct
