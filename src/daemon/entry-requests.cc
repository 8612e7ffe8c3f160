#include "daemon/entry-chat.h"
#include "daemon/entry-context.h"
#include "daemon/entry-service.h"

#include <boost/json.hpp>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

/// Retry-After of a leaving entry; short, since callers go to another entry.
constexpr std::chrono::milliseconds LeavingRetryAfter{1};

/// Counts one request as open during its lifetime.
class OpenRequest {
public:
  explicit OpenRequest(EntryCounters &Counted) : m_Counted(Counted) {
    m_Counted.m_Requests.fetch_add(1, std::memory_order_relaxed);
    m_Counted.m_Open.fetch_add(1);
  }
  ~OpenRequest() { m_Counted.m_Open.fetch_sub(1); }
  OpenRequest(const OpenRequest &) = delete;
  OpenRequest &operator=(const OpenRequest &) = delete;

private:
  EntryCounters &m_Counted;
};

/// Serves the HTTP interface of an entry to callers.
class EntryRequests final : public Module {
public:
  explicit EntryRequests(Process &In) : m_Process(In), m_Context(In) {}

  std::vector<Route> requestRoutes() override;
  Result<void> start() override;
  void beginDrain() override { m_LeavingSince = now(); }
  bool drained() const override;
  void stop() override;
  boost::json::object dump() const override;

private:
  asio::awaitable<void> addresses(net::HttpResponder &Answer);
  asio::awaitable<void> serve(net::HttpRequest Request,
                              net::HttpResponder &Answer, bool IsChat);
  /// Reads the request into Call, or returns why it is refused.
  std::optional<NotRun> readCall(net::HttpRequest Request, bool IsChat,
                                 CallerRequest &Call);
  std::vector<std::string> availableEntries();
  std::string newRequestId();

  Process &m_Process;
  EntryContext m_Context;
  TimePoint m_LeavingSince;
};

std::vector<Route> EntryRequests::requestRoutes() {
  auto Addresses = [this](net::HttpRequest, net::HttpResponder &Answer) {
    return addresses(Answer);
  };
  auto Chat = [this](net::HttpRequest Request, net::HttpResponder &Answer) {
    return serve(std::move(Request), Answer, true);
  };
  auto Service = [this](net::HttpRequest Request, net::HttpResponder &Answer) {
    return serve(std::move(Request), Answer, false);
  };
  return {{"GET", "/v1/addresses", Addresses},
          {"POST", "/v1/chat/completions", Chat},
          {"", "/", Service}};
}

Result<void> EntryRequests::start() {
  m_Context.m_Routes.start();
  m_Context.m_Claims.start();
  return {};
}

void EntryRequests::stop() {
  m_Context.m_Claims.stop();
  m_Context.m_Routes.stop();
}

/// Keeps the entry running until the address lists that name it have expired,
/// so that callers who use one are redirected rather than refused a
/// connection.
bool EntryRequests::drained() const {
  const auto Lifetime = m_Process.m_Settings.m_Requests.m_AddressLifetime;
  return m_Context.m_Counters.m_Open.load() == 0 &&
         now() - m_LeavingSince >= Lifetime;
}

asio::awaitable<void> EntryRequests::addresses(net::HttpResponder &Answer) {
  const auto Lifetime = m_Process.m_Settings.m_Requests.m_AddressLifetime;
  const boost::json::object Body{
      {"entries", boost::json::value_from(availableEntries())},
      {"validMs", Lifetime.count()}};
  co_await Answer.send(net::jsonResponse(200, boost::json::serialize(Body)));
}

/// Returns all entries that callers may use, in a different order for each
/// call to spread the load; includes this entry unless it is leaving.
std::vector<std::string> EntryRequests::availableEntries() {
  const auto Routes = m_Context.m_Routes.routes();
  const InstanceId &Self = m_Process.m_Settings.m_Instance;
  std::vector<EntryRoute> Entries;
  for (const EntryRoute &Each : Routes->m_Table.m_Entries)
    if (Each.m_Instance != Self)
      Entries.push_back(Each);
  if (!m_Process.m_Leaving.load())
    Entries.push_back({Self, m_Process.m_Settings.m_DataCentre,
                       m_Process.m_Addresses.m_Requests});
  return orderEntries(Entries, m_Context.m_NextRequest.fetch_add(1) +
                                   m_Process.m_Incarnation.m_Value);
}

std::string EntryRequests::newRequestId() {
  return m_Process.m_Settings.m_Instance.m_Text + "-" +
         std::to_string(m_Process.m_Incarnation.m_Value) + "-" +
         std::to_string(m_Context.m_NextRequest.fetch_add(1));
}

asio::awaitable<void> EntryRequests::serve(net::HttpRequest Request,
                                           net::HttpResponder &Answer,
                                           bool IsChat) {
  const OpenRequest Open(m_Context.m_Counters);
  CallerRequest Call;
  RequestOutcome Outcome = RequestOutcome::NotRun;
  if (const auto Refusal = readCall(std::move(Request), IsChat, Call)) {
    co_await Answer.send(notRunResponse(*Refusal));
  } else if (IsChat) {
    ChatCall Chat(m_Context, std::move(Call), Answer);
    Outcome = co_await Chat.run();
  } else {
    ServiceCall Service(m_Context, std::move(Call), Answer);
    Outcome = co_await Service.run();
  }
  m_Context.m_Counters.count(Outcome);
}

std::optional<NotRun> EntryRequests::readCall(net::HttpRequest Request,
                                              bool IsChat,
                                              CallerRequest &Call) {
  if (m_Process.m_Leaving.load())
    return NotRun{.m_Reason = "this entry is leaving",
                  .m_RetryAfter = LeavingRetryAfter,
                  .m_Entries = availableEntries()};
  const net::HttpHeaders &Headers = Request.m_Headers;
  const CallHeaders Given{
      Headers.find(header::Organisation), Headers.find(header::DeadlineMs),
      Headers.find(header::Priority), Headers.find(header::IdempotencyKey),
      Headers.find(header::Idempotent)};
  const CallDefaults Defaults{
      .m_Deadline = m_Process.m_Settings.m_Requests.m_DefaultDeadline,
      .m_Idempotent = IsChat || isIdempotentMethod(Request.m_Method)};
  const auto Terms = outcomeOf([&] { return parseCallTerms(Given, Defaults); });
  if (!Terms)
    return NotRun{.m_Status = 400, .m_Reason = Terms.error().m_Message};
  Call.m_Id = newRequestId();
  Call.m_Terms = *Terms;
  Call.m_Deadline = now() + Terms->m_TimeLeft;
  Call.m_Http = std::move(Request);
  return std::nullopt;
}

boost::json::object EntryRequests::dump() const {
  const EntryCounters &Counters = m_Context.m_Counters;
  const auto Routes = m_Context.m_Routes.routes();
  boost::json::object Pools;
  for (const auto &[Name, Pool] : Routes->m_Table.m_Pools) {
    boost::json::object Upstreams;
    for (const UpstreamRoute &Each : Pool.m_Upstreams)
      Upstreams[Each.m_Instance.m_Text] = {
          {"weights", Each.m_Weights.m_Text},
          {"inFlight",
           Routes->m_Counters.at(Each.m_Instance)->m_InFlight.load()}};
    Pools[Name.m_Text] = std::move(Upstreams);
  }
  return {{"requests", Counters.m_Requests.load()},
          {"open", Counters.m_Open.load()},
          {"answered", Counters.m_Answered.load()},
          {"notRun", Counters.m_NotRun.load()},
          {"unknown", Counters.m_Unknown.load()},
          {"retries", Counters.m_Retries.load()},
          {"resumed", Counters.m_Resumed.load()},
          {"tokens", Counters.m_Tokens.load()},
          {"claims", m_Context.m_Claims.dump()},
          {"pools", std::move(Pools)}};
}

const Registration<EntryRequests> Registered("requests", Role::Entry);

} // namespace

} // namespace deckpitch::daemon
