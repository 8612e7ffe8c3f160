// Entries, agents and fake upstreams in one process, connected by real sockets.
#pragma once

#include "daemon/call-headers.h"
#include "daemon/module.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <mutex>
#include <string>

namespace deckpitch::test {

namespace asio = boost::asio;

/// Runs the requests module of one role in the test process, as the daemon
/// does.
class ModuleHost {
public:
  explicit ModuleHost(Settings Value, Incarnation HostIncarnation = {1})
      : m_Process(std::move(Value), HostIncarnation, m_Threads) {
    for (const auto &Each : daemon::detail::registeredModules())
      if (Each.m_Role == m_Process.m_Settings.m_Role &&
          Each.m_Name == "requests")
        m_Module = Each.m_Make(m_Process);
    m_Routes = m_Module->requestRoutes();
    m_Server = std::make_unique<net::HttpServer>(
        m_Threads,
        [this](net::HttpRequest Request, net::HttpResponder &Answer) {
          return route(std::move(Request), Answer);
        },
        limitsOf(m_Process.m_Settings.m_Role));
    m_Process.m_Addresses.m_Requests = *m_Server->listen("127.0.0.1:0");
    m_Threads.start();
    onControl([this] { (void)m_Module->start(); });
  }

  ~ModuleHost() {
    onControl([this] { m_Module->stop(); });
    m_Server->stop();
    m_Threads.stop();
  }

  const std::string &address() const {
    return m_Process.m_Addresses.m_Requests;
  }
  daemon::Process &process() { return m_Process; }
  boost::json::object dump() {
    boost::json::object Out;
    onControl([&] { Out = m_Module->dump(); });
    return Out;
  }
  void drain() {
    onControl([this] {
      m_Process.m_Leaving = true;
      m_Module->beginDrain();
    });
  }
  bool drained() {
    bool Value = false;
    onControl([&] { Value = m_Module->drained(); });
    return Value;
  }
  void onControl(const std::function<void()> &Body) {
    std::promise<void> Done;
    asio::post(m_Threads.control(), [&] {
      Body();
      Done.set_value();
    });
    Done.get_future().wait();
  }

private:
  static net::HttpLimits limitsOf(Role Server) {
    net::HttpLimits Limits;
    Limits.m_HalfCloseIsDisconnect = daemon::halfCloseIsDisconnect(Server);
    return Limits;
  }

  asio::awaitable<void> route(net::HttpRequest Request,
                              net::HttpResponder &Answer) {
    const daemon::Route *Best = nullptr;
    for (const daemon::Route &Each : m_Routes) {
      const bool Fits =
          Each.m_Method.empty() || Each.m_Method == Request.m_Method;
      if (Fits && Request.path().starts_with(Each.m_Prefix) &&
          (!Best || Each.m_Prefix.size() > Best->m_Prefix.size()))
        Best = &Each;
    }
    co_await Best->m_Handler(std::move(Request), Answer);
  }

  net::IoThreads m_Threads{2};
  daemon::Process m_Process;
  std::unique_ptr<daemon::Module> m_Module;
  std::vector<daemon::Route> m_Routes;
  std::unique_ptr<net::HttpServer> m_Server;
};

/// Faults of a fake upstream.
struct FakeFaults {
  /// Aborts one stream at this token, then is reset.
  std::atomic<int> m_AbortAfterTokens{-1};
  /// Streams the tokens from this one on with the digest of other weights.
  std::atomic<int> m_MixWeightsAfterTokens{-1};
  std::atomic<int> m_Status{200};
  std::atomic<bool> m_Hang{false};
  std::atomic<bool> m_WrongId{false};
  /// Answers each request with the answer to the request before it.
  std::atomic<bool> m_AnswersPreviousRequest{false};
  /// Plain service: runs the request and aborts the answer.
  std::atomic<bool> m_AbortAfterRun{false};
  /// Plain service: duration of a run.
  std::atomic<int> m_RunMs{0};
  std::atomic<int> m_TokenDelayMs{0};
};

/// A fake engine that streams the tokens "t0 t1 ..."; for paths other than chat
/// completions, a plain service that returns the request's body.
class FakeUpstream {
public:
  static constexpr int DefaultTokens = 8;

  explicit FakeUpstream(std::string Weights = "m@1", int Tokens = DefaultTokens)
      : m_Weights(std::move(Weights)), m_Tokens(Tokens),
        m_Server(m_Threads,
                 [this](net::HttpRequest Request, net::HttpResponder &Answer) {
                   return answer(std::move(Request), Answer);
                 }) {
    m_Address = *m_Server.listen("127.0.0.1:0");
    m_Threads.start();
  }
  ~FakeUpstream() {
    m_Server.stop();
    m_Threads.stop();
  }

  const std::string &address() const { return m_Address; }
  /// Sets the weights; must be called before any request.
  void serve(std::string Weights) { m_Weights = std::move(Weights); }
  const std::string &weights() const { return m_Weights; }
  std::string digest() const {
    return toHex(digestOf(
        std::span(reinterpret_cast<const std::uint8_t *>(m_Weights.data()),
                  m_Weights.size())));
  }
  /// Returns the content of a complete answer to User.
  std::string content(const std::string &User = "") const {
    std::string Text;
    for (int I = 0; I < m_Tokens; ++I)
      Text += token(User, I);
    return Text;
  }

  FakeFaults m_Faults;
  std::atomic<int> m_Runs{0};
  std::atomic<int> m_Cancels{0};
  std::atomic<int> m_TokensWritten{0};

private:
  static std::string token(const std::string &User, int Index) {
    return User + "t" + std::to_string(Index) + " ";
  }

  struct Recipient {
    std::string m_Id;
    std::string m_User;
  };

  /// Returns the recipient of the next answer, as the faults determine it.
  Recipient nextRecipient(const net::HttpRequest &Request,
                          const boost::json::object &Body) {
    Recipient Current{
        std::string(Request.m_Headers.find(daemon::header::RequestId)), ""};
    if (const auto *User = Body.if_contains("user"))
      Current.m_User = User->as_string().c_str();
    if (m_Faults.m_WrongId)
      Current.m_Id = "another";
    std::lock_guard Lock(m_Mutex);
    if (m_Faults.m_AnswersPreviousRequest)
      std::swap(Current, m_PreviousRecipient);
    return Current;
  }

  asio::awaitable<void> answer(net::HttpRequest Request,
                               net::HttpResponder &Answer) {
    if (Request.m_Method == "DELETE") {
      ++m_Cancels;
      net::HttpResponse Done;
      Done.m_Status = 204;
      co_await Answer.send(std::move(Done));
      co_return;
    }
    while (m_Faults.m_Hang)
      co_await pause(5);
    ++m_Runs;
    if (m_Faults.m_Status != 200) {
      co_await Answer.send(net::jsonResponse(m_Faults.m_Status, "{}"));
      co_return;
    }
    if (Request.path() == "/v1/chat/completions")
      co_await stream(Request, Answer);
    else
      co_await serve(Request, Answer);
  }

  asio::awaitable<void> serve(const net::HttpRequest &Request,
                              net::HttpResponder &Answer) {
    if (m_Faults.m_RunMs > 0)
      co_await pause(m_Faults.m_RunMs);
    if (m_Faults.m_AbortAfterRun)
      Answer.abort();
    else
      co_await Answer.send(net::jsonResponse(200, Request.m_Body));
  }

  asio::awaitable<void> pause(int Milliseconds) {
    asio::steady_timer Timer(co_await asio::this_coro::executor,
                             std::chrono::milliseconds(Milliseconds));
    co_await Timer.async_wait(asio::use_awaitable);
  }

  asio::awaitable<void> stream(const net::HttpRequest &Request,
                               net::HttpResponder &Answer) {
    const auto Body = boost::json::parse(Request.m_Body).get_object();
    int Index = 0;
    if (Body.contains("resume_from"))
      Index = Body.at("resume_from").to_number<int>();
    int Tokens = m_Tokens;
    if (Body.contains("max_tokens"))
      Tokens = Body.at("max_tokens").to_number<int>();
    const Recipient For = nextRecipient(Request, Body);
    co_await Answer.begin(200, {});
    for (; Index < Tokens; ++Index) {
      if (m_Faults.m_AbortAfterTokens == Index) {
        m_Faults.m_AbortAfterTokens = -1;
        Answer.abort();
        co_return;
      }
      if (m_Faults.m_TokenDelayMs > 0)
        co_await pause(m_Faults.m_TokenDelayMs);
      const bool Mixed = m_Faults.m_MixWeightsAfterTokens >= 0 &&
                         Index >= m_Faults.m_MixWeightsAfterTokens;
      const boost::json::object Event{
          {"id", For.m_Id},
          {"index", Index},
          {"token", token(For.m_User, Index)},
          {"weights", m_Weights},
          {"digest", Mixed ? std::string(64, '0') : digest()},
          {"choices",
           boost::json::array{
               {{"index", 0},
                {"delta", {{"content", token(For.m_User, Index)}}}}}}};
      const std::string Text =
          "data: " + boost::json::serialize(Event) + "\n\n";
      const bool IsConnected = co_await Answer.write(Text);
      if (!IsConnected)
        co_return;
      ++m_TokensWritten;
    }
    co_await Answer.write("data: [DONE]\n\n");
    co_await Answer.end();
  }

  std::string m_Weights;
  int m_Tokens;
  std::mutex m_Mutex;
  Recipient m_PreviousRecipient; ///< guarded by m_Mutex
  net::IoThreads m_Threads{2};
  net::HttpServer m_Server;
  std::string m_Address;
};

/// Entries in front of agents that serve the engine pool "chat" (model "m") or
/// the service pool "orders" (path "/orders").
class RequestPath {
public:
  explicit RequestPath(
      PoolKind Kind, int Agents = 1, int Entries = 1,
      const std::string &Platform = "",
      std::chrono::milliseconds Lifetime = RequestSettings().m_AddressLifetime,
      std::uint32_t QueueLimit = Pool().m_QueueLimit)
      : m_Kind(Kind), m_QueueLimit(QueueLimit) {
    for (int I = 0; I < Entries; ++I) {
      Settings Value;
      Value.m_Role = Role::Entry;
      Value.m_Instance = {"entry-" + std::to_string(I)};
      Value.m_DataCentre = {"lahore"};
      Value.m_Platform = Platform;
      Value.m_Requests.m_AddressLifetime = Lifetime;
      m_Entries.push_back(std::make_unique<ModuleHost>(Value));
    }
    for (int I = 0; I < Agents; ++I)
      addAgent();
    publish();
  }

  /// Adds an agent of a new fake upstream, or of the server at the address; the
  /// fake upstream then only gives the weights.
  void addAgent(const std::string &UpstreamAddress = "") {
    m_Upstreams.push_back(std::make_unique<FakeUpstream>());
    FakeUpstream &Upstream = *m_Upstreams.back();
    Settings Value;
    Value.m_Role = Role::Agent;
    Value.m_Instance = {"agent-" + std::to_string(m_Agents.size())};
    Value.m_DataCentre = {"lahore"};
    Value.m_Upstream.m_Kind = m_Kind;
    Value.m_Upstream.m_Address =
        UpstreamAddress.empty() ? Upstream.address() : UpstreamAddress;
    const Incarnation HostIncarnation{100 + m_Agents.size()};
    m_Agents.push_back(std::make_unique<ModuleHost>(Value, HostIncarnation));
    auto Serving = std::make_shared<ServingReport>(servingOf(Upstream));
    m_Agents.back()->process().m_Serving.publish(Serving);
  }

  /// Changes the weights of an instance; entries learn of it with publish().
  void switchWeights(std::size_t Agent, const std::string &Weights) {
    FakeUpstream &Upstream = *m_Upstreams.at(Agent);
    Upstream.serve(Weights);
    m_Agents.at(Agent)->process().m_Serving.publish(
        std::make_shared<ServingReport>(servingOf(Upstream)));
  }

  /// Publishes the agents' current state and waits until all entries route to
  /// them.
  void publish() {
    auto Declarations = std::make_shared<DeclarationSet>();
    Pool Declared;
    Declared.m_Id = poolId();
    Declared.m_Kind = m_Kind;
    Declared.m_Model = m_Kind == PoolKind::Engine ? "m" : "";
    Declared.m_Version = "1";
    Declared.m_Path = m_Kind == PoolKind::Service ? "/orders" : "";
    Declared.m_QueueLimit = m_QueueLimit;
    Declarations->m_Pools[Declared.m_Id] = {{1}, Declared};
    auto View = std::make_shared<MembershipView>();
    for (auto &Each : m_Agents) {
      daemon::Process &Agent = Each->process();
      Member Added;
      Added.m_Id = Agent.m_Settings.m_Instance;
      Added.m_Incarnation = Agent.m_Incarnation;
      Added.m_DataCentre = Agent.m_Settings.m_DataCentre;
      Added.m_Addresses.m_Requests = Each->address();
      Added.m_Serving = *Agent.m_Serving.load();
      View->m_Members[Added.m_Id] = Added;
    }
    for (auto &Each : m_Entries) {
      Each->process().m_Declarations.publish(Declarations);
      Each->process().m_Membership.publish(View);
      waitUntil([&] { return routesOf(*Each) == m_Agents.size(); });
    }
  }

  /// Returns how many upstreams the entry has for the pool.
  std::size_t routesOf(ModuleHost &Entry) const {
    const auto Dump = Entry.dump();
    const auto &Pools = Dump.at("pools").as_object();
    const auto *Pool = Pools.if_contains(poolId().m_Text);
    return Pool ? Pool->as_object().size() : 0;
  }

  PoolId poolId() const {
    return {m_Kind == PoolKind::Engine ? "chat" : "orders"};
  }

  ModuleHost &entry(std::size_t I = 0) { return *m_Entries.at(I); }

  Outcome<net::HttpResponse> call(net::HttpRequest Request,
                                  std::size_t Entry = 0) {
    return net::callAndWait(entry(Entry).address(), std::move(Request));
  }

  Outcome<net::HttpResponse> chat(bool Stream, net::HttpHeaders Headers = {}) {
    net::HttpRequest Request;
    Request.m_Method = "POST";
    Request.m_Target = "/v1/chat/completions";
    Request.m_Headers = std::move(Headers);
    Request.m_Body = boost::json::serialize(boost::json::object{
        {"model", "chat"}, {"stream", Stream}, {"messages", {}}});
    return call(std::move(Request));
  }

  static void waitUntil(const std::function<bool()> &Condition) {
    asio::io_context Io;
    asio::steady_timer Timer(Io);
    for (int I = 0; I < 5'000 && !Condition(); ++I) {
      Timer.expires_after(std::chrono::milliseconds(2));
      Timer.wait();
    }
    ASSERT_TRUE(Condition());
  }

  ServingReport servingOf(const FakeUpstream &Upstream) const {
    ServingReport Report;
    Report.m_Pool = poolId();
    Report.m_Ready = true;
    if (m_Kind == PoolKind::Engine) {
      Report.m_Weights = {Upstream.weights()};
      Report.m_Digest =
          *outcomeOf([&] { return parseDigest(Upstream.digest()); });
    }
    return Report;
  }

  PoolKind m_Kind;
  std::uint32_t m_QueueLimit;
  std::vector<std::unique_ptr<FakeUpstream>> m_Upstreams;
  std::vector<std::unique_ptr<ModuleHost>> m_Agents;
  std::vector<std::unique_ptr<ModuleHost>> m_Entries;
};

inline std::string outcomeHeader(const net::HttpResponse &Response) {
  return std::string(Response.m_Headers.find(daemon::header::Outcome));
}

/// Returns the bytes of a chat request, for a raw connection.
inline std::string rawChatRequest(const std::string &User, int Tokens,
                                  bool Stream) {
  const std::string Body = boost::json::serialize(
      boost::json::object{{"model", "chat"},
                          {"stream", Stream},
                          {"user", User},
                          {"max_tokens", Tokens},
                          {"messages", boost::json::array{}}});
  return "POST /v1/chat/completions HTTP/1.1\r\nX-Deadline-Ms: 60000\r\n"
         "Content-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Returns the body of a raw chunked answer, or empty if it is incomplete.
inline std::string bodyOfChunks(const std::string &Answer) {
  std::size_t At = Answer.find("\r\n\r\n");
  if (At == std::string::npos || !Answer.ends_with("\r\n0\r\n\r\n"))
    return {};
  std::string Body;
  At += 4;
  while (true) {
    const std::size_t LineEnd = Answer.find("\r\n", At);
    const std::size_t Size =
        std::stoul(Answer.substr(At, LineEnd - At), {}, 16);
    if (Size == 0)
      return Body;
    Body += Answer.substr(LineEnd + 2, Size);
    At = LineEnd + 2 + Size + 2;
  }
}

/// Returns the concatenated tokens of a stream, or empty if its end is missing.
inline std::string contentOfStream(const std::string &Body) {
  if (!Body.ends_with("data: [DONE]\n\n"))
    return {};
  std::string Content;
  std::size_t Begin = 0;
  while (true) {
    const std::size_t End = Body.find("\n\n", Begin);
    const std::string Data = Body.substr(Begin + 6, End - Begin - 6);
    if (Data == "[DONE]")
      return Content;
    Content += std::string(boost::json::parse(Data).at("token").as_string());
    Begin = End + 2;
  }
}

} // namespace deckpitch::test
