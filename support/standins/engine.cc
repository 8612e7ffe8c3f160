// Model engine stand-in. The tokens of an answer are a pure function of the
// prompt and the digest of the active weights.
#include "standins/engine-cache.h"
#include "standins/engine-queue.h"
#include "standins/engine-weights.h"
#include "standins/executions.h"
#include "standins/standin.h"
#include "standins/token.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <deque>
#include <map>

namespace deckpitch::standins {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds HangPoll{20};
constexpr std::size_t MaxKvEntries = 256;
constexpr std::size_t MaxLoggedOrders = 1'000;
constexpr std::uint32_t MaxTokens = 100'000;
constexpr std::size_t MaxBodyBytes = std::size_t{64} * 1024 * 1024;

struct EngineFaults {
  milliseconds m_DelayFirstToken{0};
  milliseconds m_DelayToken{0};
  bool m_AcceptAndHang = false;
  std::uint64_t m_BreakAfterTokens = 0; ///< 0: never
  bool m_StrictFencing = false;
  milliseconds m_LoadLag{0}; ///< delay of reported load and cache events
  bool m_LoseOrderAnswers = false;
};

struct CompletionRequest {
  std::string m_Model;
  std::string m_Prompt;
  std::uint32_t m_Tokens = DefaultMaxTokens;
  std::uint32_t m_ResumeFrom = 0;
  bool m_Stream = false;
};

struct LoadSample {
  SteadyClock::time_point m_SampledAt;
  json::object m_Load;
};

std::uint32_t numberOf(const json::object &Object, std::string_view Key,
                       std::uint32_t Default) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found)
    return Default;
  boost::system::error_code Ec;
  const auto Number = Found->to_number<std::uint32_t>(Ec);
  return Ec ? Default : std::min(Number, MaxTokens);
}

CompletionRequest parseCompletion(const json::object &Body) {
  CompletionRequest Out;
  if (const json::value *Model = Body.if_contains("model"))
    Out.m_Model = Model->is_string() ? Model->get_string().c_str() : "";
  Out.m_Prompt = promptOf(Body);
  Out.m_Tokens = numberOf(Body, "max_tokens", DefaultMaxTokens);
  Out.m_ResumeFrom = numberOf(Body, "resume_from", 0);
  const json::value *Stream = Body.if_contains("stream");
  Out.m_Stream = Stream && Stream->is_bool() && Stream->get_bool();
  return Out;
}

std::uint64_t parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

net::HttpLimits engineLimits() {
  net::HttpLimits Limits;
  Limits.m_BodyBytes = MaxBodyBytes;
  return Limits;
}

class Engine final : public StandIn {
public:
  explicit Engine(EngineOptions Options)
      : StandIn(engineLimits()), m_Options(Options),
        m_Weights(
            Options.m_Slots, Options.m_StagingBytes,
            [this](const std::string &Wanted) { return isRunning(Wanted); }),
        m_Queue(Options.m_Concurrency) {
    m_Faults.m_StrictFencing = Options.m_StrictFencing;
  }

  std::string_view kind() const override { return "engine"; }

protected:
  asio::awaitable<void> serve(net::HttpRequest Request,
                              net::HttpResponder &Answer) override {
    const std::string Path(Request.path());
    if (Path == "/v1/chat/completions" && Request.m_Method == "POST") {
      co_await handleCompletion(std::move(Request), Answer);
      co_return;
    }
    if (Path == "/v1/engine/orders" && Request.m_Method == "POST") {
      net::HttpResponse Response = order(Request);
      recordOrder(Request, Response);
      if (m_Faults.m_LoseOrderAnswers)
        co_return Answer.abort();
      co_await Answer.send(std::move(Response));
      co_return;
    }
    co_await Answer.send(answer(std::move(Request)));
  }

  asio::awaitable<bool> control(const net::HttpRequest &Request,
                                net::HttpResponder &Answer) override {
    if (Request.path() == "/_standin/orders") {
      const json::array Orders(m_OrderLog.begin(), m_OrderLog.end());
      co_await Answer.send(net::jsonResponse(200, json::serialize(Orders)));
      co_return true;
    }
    if (Request.path() != "/_standin/executions")
      co_return false;
    co_await Answer.send(
        net::jsonResponse(200, json::serialize(m_Executions.list())));
    co_return true;
  }

  void setFaults(FaultReader &Faults) override {
    m_Faults = {};
    m_Faults.m_StrictFencing = m_Options.m_StrictFencing;
    Faults.read("delayFirstTokenMs", m_Faults.m_DelayFirstToken);
    Faults.read("delayTokenMs", m_Faults.m_DelayToken);
    Faults.read("acceptAndHang", m_Faults.m_AcceptAndHang);
    Faults.read("breakAfterTokens", m_Faults.m_BreakAfterTokens);
    Faults.read("strictFencing", m_Faults.m_StrictFencing);
    Faults.read("loadLagMs", m_Faults.m_LoadLag);
    Faults.read("loseOrderAnswers", m_Faults.m_LoseOrderAnswers);
  }

  json::object counters() const override {
    return {{"requests", m_Requests},      {"completed", m_Completed},
            {"stopped", m_Stopped},        {"broken", m_Broken},
            {"tokens", m_Tokens},          {"orders", m_Orders},
            {"staleOrders", m_StaleOrders}};
  }

private:
  net::HttpResponse answer(net::HttpRequest Request) {
    const std::string Path(Request.path());
    const bool IsGet = Request.m_Method == "GET";
    if (Path.starts_with("/v1/engine/staging/"))
      return m_Weights.staging(std::move(Request));
    if (Path == "/v1/engine/status" && IsGet)
      return status();
    if (Path == "/v1/engine/cache-events" && IsGet)
      return jsonObjectResponse(
          200, m_Cache.eventsSince(parseNumber(Request.query("since")),
                                   SteadyClock::now() - m_Faults.m_LoadLag));
    if (Path.starts_with("/v1/requests/") && Request.m_Method == "DELETE")
      return cancel(pathAfter(Path, "/v1/requests/"));
    if (Path.starts_with("/v1/kv/"))
      return kv(pathAfter(Path, "/v1/kv/"), std::move(Request));
    return errorResponse(404, "no such path");
  }

  net::HttpResponse status() {
    json::object Out{{"role", m_Role}, {"fence", m_Fence}};
    m_Weights.describe(Out);
    const auto Now = SteadyClock::now();
    if (m_LoadSample.m_Load.empty() ||
        Now - m_LoadSample.m_SampledAt >= m_Faults.m_LoadLag)
      m_LoadSample = {Now,
                      {{"running", m_Queue.running()},
                       {"waiting", m_Queue.waiting()},
                       {"limit", m_Queue.limit()},
                       {"cacheUsed", m_Cache.occupancy()}}};
    Out["load"] = m_LoadSample.m_Load;
    return jsonObjectResponse(200, Out);
  }

  /// Logs an order and the status of its response for /_standin/orders.
  void recordOrder(const net::HttpRequest &Request,
                   const net::HttpResponse &Response) {
    m_OrderLog.push_back(json::object{{"order", parseBody(Request.m_Body)},
                                      {"status", Response.m_Status}});
    if (m_OrderLog.size() > MaxLoggedOrders)
      m_OrderLog.pop_front();
  }

  net::HttpResponse order(const net::HttpRequest &Request) {
    const json::value Value = parseBody(Request.m_Body);
    const json::object *Order = objectOrNull(Value);
    if (!Order)
      return errorResponse(400, "expected a JSON object");
    ++m_Orders;
    boost::system::error_code Ec;
    const json::value *Given = Order->if_contains("fence");
    const auto Fence = Given ? Given->to_number<std::uint64_t>(Ec) : 0;
    if (Ec)
      return errorResponse(400, "fence is not a number");
    if (m_Faults.m_StrictFencing && Fence < m_Fence) {
      ++m_StaleOrders;
      return errorResponse(409, "stale fence");
    }
    m_Fence = Fence;
    const json::value *Name = Order->if_contains("order");
    const json::value *Role = Order->if_contains("role");
    if (!Name)
      return errorResponse(400, "expected an order");
    if (*Name == "load")
      return m_Weights.load(*Order);
    if (*Name == "activate")
      return m_Weights.activate(*Order);
    if (*Name == "unload")
      return m_Weights.unload(*Order);
    if (*Name != "role" || !Role || !Role->is_string())
      return errorResponse(400, "no such order");
    m_Role = Role->get_string().c_str();
    return jsonObjectResponse(200, {{"role", m_Role}});
  }

  net::HttpResponse cancel(const std::string &Id) {
    const auto [First, Last] = m_RequestsById.equal_range(Id);
    for (auto Each = First; Each != Last; ++Each)
      Each->second->stop();
    net::HttpResponse Response;
    Response.m_Status = 204;
    return Response;
  }

  net::HttpResponse kv(const std::string &Id, net::HttpRequest Request) {
    if (Request.m_Method == "PUT") {
      if (m_Kv.size() >= MaxKvEntries)
        m_Kv.erase(m_Kv.begin());
      m_Kv.insert_or_assign(Id, std::move(Request.m_Body));
      net::HttpResponse Response;
      Response.m_Status = 204;
      return Response;
    }
    const auto Found = m_Kv.find(Id);
    if (Found == m_Kv.end())
      return errorResponse(404, "no such request");
    net::HttpResponse Response;
    Response.m_Body = Found->second;
    return Response;
  }

  bool isRunning(const std::string &Weights) const {
    for (const auto &[Id, Each] : m_RequestsById)
      if (Each->m_Weights == Weights)
        return true;
    return false;
  }

  asio::awaitable<void> handleCompletion(net::HttpRequest Request,
                                         net::HttpResponder &Answer) {
    ++m_Requests;
    const json::value Value = parseBody(Request.m_Body);
    const json::object *Body = objectOrNull(Value);
    if (!Body) {
      co_await Answer.send(errorResponse(400, "expected a JSON object"));
      co_return;
    }
    if (m_Queue.waiting() >= m_Options.m_QueueLimit) {
      co_await Answer.send(errorResponse(429, "the queue is full"));
      co_return;
    }
    auto Self =
        std::make_shared<EngineRequest>(co_await asio::this_coro::executor);
    Self->m_Id = std::string(Request.m_Headers.find("X-Request-Id"));
    Self->m_Priority = static_cast<std::uint32_t>(
        parseNumber(Request.m_Headers.find("X-Priority")));
    std::weak_ptr<EngineRequest> Weak = Self;
    Answer.onDisconnect([Weak] {
      if (const auto Locked = Weak.lock())
        Locked->stop();
    });
    while (m_Faults.m_AcceptAndHang && !Self->m_Stopped)
      co_await sleepFor(HangPoll);
    const auto Registration = m_RequestsById.emplace(Self->m_Id, Self);
    const bool Admitted = co_await m_Queue.acquireSlot(Self);
    if (Admitted) {
      co_await run(Self, Request, parseCompletion(*Body), Answer);
      m_Queue.releaseSlot();
    } else {
      ++m_Stopped;
      Answer.abort();
    }
    m_RequestsById.erase(Registration);
  }

  /// Binds the request to the active weights and answers it.
  asio::awaitable<void> run(EngineRequestPtr Self,
                            const net::HttpRequest &Request,
                            CompletionRequest Wanted,
                            net::HttpResponder &Answer) {
    const std::string_view Expected = Request.m_Headers.find("X-Weights");
    if (m_Weights.active().empty()) {
      co_await Answer.send(errorResponse(503, "no weights are active"));
      co_return;
    }
    if (!Expected.empty() && Expected != m_Weights.active()) {
      co_await Answer.send(weightsMismatchResponse());
      co_return;
    }
    Self->m_Weights = m_Weights.active();
    Self->m_Digest = m_Weights.activeDigest();
    m_Executions.record(Request);
    m_Cache.use(prefixHash(Wanted.m_Prompt));
    if (Wanted.m_Stream)
      co_await stream(Self, Wanted, Answer);
    else
      co_await sendCompletion(Self, Wanted, Answer);
  }

  /// Waits for the configured delay of a token. Returns false if the request
  /// was stopped.
  asio::awaitable<bool> awaitToken(EngineRequestPtr Self, bool IsFirst) {
    const milliseconds Delay =
        IsFirst ? m_Faults.m_DelayFirstToken : m_Faults.m_DelayToken;
    if (Delay.count() > 0 && !Self->m_Stopped) {
      Self->m_Timer.expires_after(Delay);
      co_await Self->m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return !Self->m_Stopped;
  }

  void storeKvState(const EngineRequest &Self, std::uint32_t Next) {
    if (Self.m_Id.empty())
      return;
    if (m_Kv.size() >= MaxKvEntries)
      m_Kv.erase(m_Kv.begin());
    m_Kv.insert_or_assign(
        Self.m_Id, json::serialize(json::object{{"id", Self.m_Id},
                                                {"weights", Self.m_Weights},
                                                {"digest", Self.m_Digest},
                                                {"next", Next}}));
  }

  asio::awaitable<void> stream(EngineRequestPtr Self,
                               const CompletionRequest &Wanted,
                               net::HttpResponder &Answer) {
    net::HttpHeaders Headers;
    Headers.add("Content-Type", "text/event-stream");
    Headers.add("X-Weights", Self->m_Weights);
    std::uint32_t Sent = 0;
    for (std::uint32_t I = Wanted.m_ResumeFrom; I < Wanted.m_Tokens; ++I) {
      const bool Continues = co_await awaitToken(Self, Sent == 0);
      const bool BreakInjected = m_Faults.m_BreakAfterTokens != 0 &&
                                 Sent >= m_Faults.m_BreakAfterTokens;
      if (!Continues || BreakInjected) {
        ++(Continues ? m_Broken : m_Stopped);
        co_return Answer.abort();
      }
      if (Sent == 0 && !co_await Answer.begin(200, Headers))
        co_return;
      if (!co_await Answer.write(event(*Self, Wanted, I)))
        co_return;
      storeKvState(*Self, I + 1);
      ++m_Tokens;
      ++Sent;
    }
    if (Sent == 0 && !co_await Answer.begin(200, Headers))
      co_return;
    if (!co_await Answer.write("data: [DONE]\n\n"))
      co_return;
    if (co_await Answer.end())
      ++m_Completed;
  }

  static std::string event(const EngineRequest &Self,
                           const CompletionRequest &Wanted,
                           std::uint32_t Index) {
    const std::string Token = tokenAt(Wanted.m_Prompt, Self.m_Digest, Index);
    const bool IsLast = Index + 1 == Wanted.m_Tokens;
    const json::object Choice{
        {"index", 0},
        {"delta", json::object{{"content", Token}}},
        {"finish_reason", IsLast ? json::value("stop") : json::value()}};
    const json::object Event{
        {"id", Self.m_Id},         {"object", "chat.completion.chunk"},
        {"model", Wanted.m_Model}, {"index", Index},
        {"token", Token},          {"weights", Self.m_Weights},
        {"digest", Self.m_Digest}, {"choices", json::array{Choice}}};
    return "data: " + json::serialize(Event) + "\n\n";
  }

  net::HttpResponse weightsMismatchResponse() const {
    return jsonObjectResponse(409, {{"error", "other weights are active"},
                                    {"weights", m_Weights.active()}});
  }

  static net::HttpResponse completionResponse(const EngineRequest &Self,
                                              const CompletionRequest &Wanted,
                                              std::string Text) {
    const json::object Choice{
        {"index", 0},
        {"message",
         json::object{{"role", "assistant"}, {"content", std::move(Text)}}},
        {"finish_reason", "stop"}};
    const json::object Usage{
        {"completion_tokens", Wanted.m_Tokens - Wanted.m_ResumeFrom}};
    return jsonObjectResponse(200, {{"id", Self.m_Id},
                                    {"object", "chat.completion"},
                                    {"model", Wanted.m_Model},
                                    {"weights", Self.m_Weights},
                                    {"digest", Self.m_Digest},
                                    {"choices", json::array{Choice}},
                                    {"usage", Usage}});
  }

  asio::awaitable<void> sendCompletion(EngineRequestPtr Self,
                                       const CompletionRequest &Wanted,
                                       net::HttpResponder &Answer) {
    std::string Text;
    for (std::uint32_t I = Wanted.m_ResumeFrom; I < Wanted.m_Tokens; ++I) {
      const bool Continues =
          co_await awaitToken(Self, I == Wanted.m_ResumeFrom);
      if (!Continues) {
        ++m_Stopped;
        co_return Answer.abort();
      }
      Text += tokenAt(Wanted.m_Prompt, Self->m_Digest, I);
      ++m_Tokens;
    }
    const bool Sent = co_await Answer.send(
        completionResponse(*Self, Wanted, std::move(Text)));
    m_Completed += Sent ? 1 : 0;
  }

  EngineOptions m_Options;
  EngineFaults m_Faults;
  EngineWeights m_Weights;
  EngineQueue m_Queue;
  Executions m_Executions;
  PrefixCache m_Cache;
  LoadSample m_LoadSample;
  std::string m_Role = "mixed";
  std::uint64_t m_Fence = 0;
  std::multimap<std::string, EngineRequestPtr> m_RequestsById;
  std::map<std::string, std::string> m_Kv;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Stopped = 0;
  std::uint64_t m_Broken = 0;
  std::uint64_t m_Tokens = 0;
  std::uint64_t m_Orders = 0;
  std::uint64_t m_StaleOrders = 0;
  std::deque<json::value> m_OrderLog;
};

} // namespace

std::unique_ptr<StandIn> makeEngine(EngineOptions Options) {
  return std::make_unique<Engine>(Options);
}

} // namespace deckpitch::standins
