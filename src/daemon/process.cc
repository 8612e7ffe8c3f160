#include "daemon/clock.h"
#include "daemon/module.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/signals.h"
#include "net/start-retry.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <iostream>
#include <optional>
#include <utility>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace detail {

std::vector<RegisteredModule> &registeredModules() {
  static std::vector<RegisteredModule> List;
  return List;
}

} // namespace detail

namespace {

constexpr std::chrono::milliseconds DrainPollInterval{20};
constexpr int ExitCannotStart = 1;
constexpr std::size_t MaxOperatorBodyBytes = std::size_t{2} * 1024 * 1024;

struct NamedModule {
  std::string m_Name;
  std::unique_ptr<Module> m_Module;
};

/// Dispatches each request to the route with the longest matching prefix.
/// Answers 405 if only the method does not match, 404 if no prefix does.
class Router {
public:
  explicit Router(std::vector<Route> Routes) : m_Routes(std::move(Routes)) {}

  asio::awaitable<void> operator()(net::HttpRequest Request,
                                   net::HttpResponder &Answer) const {
    const Route *Best = nullptr;
    bool PathKnown = false;
    for (const Route &Each : m_Routes) {
      if (!Request.path().starts_with(Each.m_Prefix))
        continue;
      PathKnown = true;
      const bool Fits =
          Each.m_Method.empty() || Each.m_Method == Request.m_Method;
      if (Fits && (!Best || Each.m_Prefix.size() > Best->m_Prefix.size()))
        Best = &Each;
    }
    if (Best) {
      co_await Best->m_Handler(std::move(Request), Answer);
      co_return;
    }
    if (PathKnown)
      co_await Answer.send(
          net::jsonResponse(405, R"({"error":"method not allowed"})"));
    else
      co_await Answer.send(
          net::jsonResponse(404, R"({"error":"no such path"})"));
  }

private:
  std::vector<Route> m_Routes;
};

/// Owns the process's threads, modules, servers and control bus, and runs it
/// from start-up through the graceful drain to the end.
class Runner {
public:
  explicit Runner(Settings Value)
      : m_Threads(Value.m_Threads),
        m_Process(std::move(Value), newIncarnation(), m_Threads),
        m_Signals(m_Threads.control(), SIGINT, SIGTERM, SIGHUP) {
    net::deliverReloadSignal();
    m_Process.m_StartDrain = [this](std::string Source) {
      asio::post(m_Threads.control(),
                 [this, Source = std::move(Source)] { beginDrain(Source); });
    };
  }

  int run() {
    makeModules();
    makeServers();
    asio::post(m_Threads.control(), [this] { begin(); });
    m_Threads.start();
    const int ExitCode = m_Done.get_future().get();
    m_Bus->stop();
    m_Requests->stop();
    m_Operator->stop();
    m_Threads.stop();
    net::log(Event::ProcessStopped);
    return ExitCode;
  }

private:
  /// Returns the time of day in microseconds. It increases from start to start
  /// unless the instance's clock is set back, so membership does not rely on it
  /// alone.
  static Incarnation newIncarnation() {
    const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return {static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch)
            .count())};
  }

  void makeModules() {
    for (const detail::RegisteredModule &Each : detail::registeredModules())
      if (Each.m_Role == m_Process.m_Settings.m_Role)
        m_Modules.push_back({Each.m_Name, Each.m_Make(m_Process)});
  }

  void begin() {
    waitForSignal();
    m_Ports.run([this] { return listenAll(); },
                [this](const std::optional<Error> &Failed) {
                  if (!Failed)
                    return startModules();
                  net::log(Event::ListenFailed, {{"error", Failed->m_Message}});
                  finish(ExitCannotStart);
                });
  }

  void makeServers() {
    const Settings &Value = m_Process.m_Settings;
    std::vector<Route> Requests;
    std::vector<Route> Operator = builtInRoutes();
    for (NamedModule &Each : m_Modules) {
      for (Route &Added : Each.m_Module->requestRoutes())
        Requests.push_back(std::move(Added));
      for (Route &Added : Each.m_Module->operatorRoutes())
        Operator.push_back(std::move(Added));
    }
    net::HttpLimits RequestLimits;
    RequestLimits.m_BodyBytes = Value.m_Requests.m_MaxBodyBytes;
    RequestLimits.m_HalfCloseIsDisconnect = halfCloseIsDisconnect(Value.m_Role);
    m_Requests = std::make_unique<net::HttpServer>(
        m_Threads, Router(std::move(Requests)), RequestLimits,
        net::HttpAdmission{m_Clients, Listener::Callers, nullptr});
    net::HttpLimits OperatorLimits;
    OperatorLimits.m_BodyBytes = MaxOperatorBodyBytes;
    m_Operator = std::make_unique<net::HttpServer>(
        m_Threads, Router(std::move(Operator)), OperatorLimits,
        net::HttpAdmission{m_Clients, Listener::Operator, nullptr});
    m_Bus = std::make_unique<net::ControlBus>(
        Value.m_Instance, m_Process.m_Incarnation,
        [this](wire::Envelope Message) {
          asio::post(m_Threads.control(), [this, Message = std::move(Message)] {
            deliver(Message);
          });
        });
    m_Process.m_Bus = m_Bus.get();
  }

  /// Opens the ports that are not open yet, that for requests last: nothing is
  /// accepted before the modules can start.
  Result<void> listenAll() {
    const ListenSettings &Listen = m_Process.m_Settings.m_Listen;
    Addresses &Bound = m_Process.m_Addresses;
    for (const NamedModule &Each : m_Modules)
      BOOST_LEAF_CHECK(Each.m_Module->listen());
    BOOST_LEAF_ASSIGN(Bound.m_Control, m_Bus->listen(Listen.m_Control));
    BOOST_LEAF_ASSIGN(Bound.m_Operator, m_Operator->listen(Listen.m_Operator));
    BOOST_LEAF_ASSIGN(Bound.m_Requests, m_Requests->listen(Listen.m_Requests));
    return {};
  }

  void deliver(const wire::Envelope &Message) {
    if (!m_IsStarted)
      return;
    for (NamedModule &Each : m_Modules)
      Each.m_Module->onMessage(Message);
  }

  void waitForSignal() {
    m_Signals.async_wait(
        [this](const boost::system::error_code &Ec, int Number) {
          if (Ec)
            return;
          if (Number == SIGHUP)
            net::log(Event::ReloadIgnored);
          else
            beginDrain("signal");
          waitForSignal();
        });
  }

  void startModules() {
    m_IsStarted = true;
    for (NamedModule &Each : m_Modules) {
      const auto Started = outcomeOf([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Each.m_Module->start());
        return true;
      });
      if (!Started) {
        net::log(Event::ListenFailed, {{"module", Each.m_Name},
                                       {"error", Started.error().m_Message}});
        return finish(ExitCannotStart);
      }
    }
    printAddresses();
  }

  /// Prints the bound addresses as one line of JSON on standard output, for the
  /// program that started this process.
  void printAddresses() {
    const Addresses &Bound = m_Process.m_Addresses;
    std::cout << boost::json::serialize(boost::json::object{
                     {"instance", m_Process.m_Settings.m_Instance.m_Text},
                     {"control", Bound.m_Control},
                     {"requests", Bound.m_Requests},
                     {"bulk", Bound.m_Bulk},
                     {"operator", Bound.m_Operator}})
              << std::endl;
    net::log(Event::ProcessStarted,
             {{"control", Bound.m_Control}, {"requests", Bound.m_Requests}});
  }

  void beginDrain(const std::string &Source) {
    if (m_Process.m_Leaving.exchange(true))
      return;
    net::log(Event::ProcessDraining, {{"source", Source}});
    if (!m_IsStarted)
      return finish(0);
    for (NamedModule &Each : m_Modules)
      Each.m_Module->beginDrain();
    m_DrainDeadline = now() + m_Process.m_Settings.m_DrainLimit;
    pollDrain();
  }

  void pollDrain() {
    bool Drained = true;
    for (const NamedModule &Each : m_Modules)
      Drained = Drained && Each.m_Module->drained();
    if (Drained || now() >= m_DrainDeadline)
      return finish(0);
    m_DrainTimer.expires_after(DrainPollInterval);
    m_DrainTimer.async_wait([this](const boost::system::error_code &Ec) {
      if (!Ec)
        pollDrain();
    });
  }

  void finish(int ExitCode) {
    if (std::exchange(m_Finished, true))
      return;
    m_Ports.stop();
    for (NamedModule &Each : m_Modules)
      Each.m_Module->stop();
    m_Done.set_value(ExitCode);
  }

  std::vector<Route> builtInRoutes() {
    return {{"GET", "/v1/dump",
             [this](net::HttpRequest, net::HttpResponder &Answer) {
               return dump(Answer);
             }},
            {"GET", "/v1/metrics",
             [this](net::HttpRequest, net::HttpResponder &Answer) {
               return metrics(Answer);
             }},
            {"POST", "/v1/drain",
             [this](net::HttpRequest, net::HttpResponder &Answer) {
               return drain(Answer);
             }}};
  }

  asio::awaitable<void> dump(net::HttpResponder &Answer) {
    auto OnControl = [this]() -> asio::awaitable<std::string> {
      co_return dumpText();
    };
    const std::string Text = co_await asio::co_spawn(
        m_Threads.control(), OnControl, asio::use_awaitable);
    co_await Answer.send(net::jsonResponse(200, Text));
  }

  asio::awaitable<void> metrics(net::HttpResponder &Answer) {
    updateMetrics();
    net::HttpResponse Response;
    Response.m_Headers.add("Content-Type",
                           std::string(net::MetricsContentType));
    Response.m_Body = net::metrics().text();
    co_await Answer.send(std::move(Response));
  }

  void updateMetrics() {
    const auto Set = [](const char *Name, std::uint64_t Value) {
      net::metrics().gauge(Name).set(static_cast<std::int64_t>(Value));
    };
    net::updateProcessUsage();
    m_Clients->updateMetrics();
    Set("deckpitch_control_sent_bytes", m_Bus->bytesSent());
    Set("deckpitch_control_received_bytes", m_Bus->bytesReceived());
    Set("deckpitch_control_refused_messages", m_Bus->messagesRefused());
    Set("deckpitch_platform_calls", m_Process.m_Platform.calls());
    Set("deckpitch_open_requests", m_Requests->openRequests());
  }

  asio::awaitable<void> drain(net::HttpResponder &Answer) {
    m_Process.m_StartDrain("operator");
    co_await Answer.send(net::jsonResponse(202, R"({"state":"leaving"})"));
  }

  std::string dumpText() const {
    boost::json::object Modules;
    for (const NamedModule &Each : m_Modules)
      Modules[Each.m_Name] = Each.m_Module->dump();
    boost::json::object Out{
        {"instance", m_Process.m_Settings.m_Instance.m_Text},
        {"incarnation", m_Process.m_Incarnation.m_Value},
        {"dataCentre", m_Process.m_Settings.m_DataCentre.m_Text},
        {"leaving", m_Process.m_Leaving.load()},
        {"controlBytesSent", m_Bus->bytesSent()},
        {"controlBytesReceived", m_Bus->bytesReceived()},
        {"controlMessagesRefused", m_Bus->messagesRefused()},
        {"clients", m_Clients->dump()},
        {"modules", std::move(Modules)}};
    return boost::json::serialize(Out);
  }

  net::IoThreads m_Threads;
  Process m_Process;
  asio::signal_set m_Signals;
  std::vector<NamedModule> m_Modules;
  const std::shared_ptr<net::Clients> m_Clients =
      std::make_shared<net::Clients>(
          clientLimits(m_Process.m_Settings.m_Limits));
  std::unique_ptr<net::HttpServer> m_Requests;
  std::unique_ptr<net::HttpServer> m_Operator;
  std::unique_ptr<net::ControlBus> m_Bus;
  TimePoint m_DrainDeadline;
  asio::steady_timer m_DrainTimer{m_Threads.control()};
  net::StartRetry m_Ports{m_Threads.control(), "all"};
  std::promise<int> m_Done; ///< the exit code
  bool m_IsStarted = false; ///< the modules
  bool m_Finished = false;
};

} // namespace

int runProcess(Settings Value) {
  Runner Process(std::move(Value));
  return Process.run();
}

} // namespace deckpitch::daemon
