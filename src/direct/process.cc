// What every process of a fleet does besides its role: signals, reload of
// settings, logs, metrics, state dump.
#include "direct/adapter.h"
#include "direct/role.h"
#include "net/adapters.h"
#include "net/log.h"
#include "net/metrics.h"
#include "net/platform.h"
#include "net/signals.h"
#include "net/start-retry.h"
#include "net/start-time.h"
#include "net/text-file.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <csignal>
#include <future>
#include <optional>
#include <utility>

namespace deckpitch::direct {

namespace asio = boost::asio;

namespace {

/// How long a log line may be buffered.
constexpr std::chrono::milliseconds FlushInterval{100};
constexpr int ExitCannotStart = 1;

/// Operators only read: their requests have no body.
constexpr net::HttpLimits OperatorLimits{.m_BodyBytes = std::size_t{64} * 1024};

class Runner {
public:
  Runner(DirectSettings Settings, std::string Path)
      : m_Context{m_Threads, std::move(Settings), newIncarnation()},
        m_Path(std::move(Path)),
        m_Signals(m_Threads.control(), SIGINT, SIGTERM, SIGHUP),
        m_Flush(m_Threads.control()), m_Reread(m_Threads.control()) {
    net::deliverReloadSignal();
  }

  int run() {
    m_Role = m_Context.m_Settings.m_Role == Role::Entry ? makeEntry(m_Context)
                                                        : makeAgent(m_Context);
    waitForSignal();
    scheduleFlush();
    asio::post(m_Threads.control(), [this] { startAll(); });
    m_Threads.start();
    const int ExitCode = m_Done.get_future().get();
    asio::post(m_Threads.control(), [this] {
      m_RolePorts.stop();
      m_OperatorPort.stop();
      m_Role->stop();
      m_Stopped.set_value();
    });
    m_Stopped.get_future().wait();
    m_Threads.stop();
    net::log(Event::ProcessStopped);
    net::flushLog();
    return ExitCode;
  }

private:
  static std::uint64_t newIncarnation() {
    const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch)
            .count());
  }

  void startAll() {
    m_RolePorts.run([this] { return m_Role->start(); },
                    [this](const std::optional<Error> &Failed) {
                      if (Failed)
                        return endStart(*Failed);
                      m_IsStarted = true;
                      logStart();
                    });
    const std::string &Operator = m_Context.m_Settings.m_Listen.m_Operator;
    if (Operator.empty())
      return;
    // Only operators use it: the role does not wait for it.
    m_OperatorPort.run(
        [this, Operator]() -> Result<void> {
          BOOST_LEAF_CHECK(m_Operator.listen(Operator));
          return {};
        },
        [this](const std::optional<Error> &Failed) {
          if (Failed)
            endStart(*Failed);
        });
  }

  void logStart() {
    const DirectListen &Listen = m_Context.m_Settings.m_Listen;
    net::log(Event::ProcessStarted,
             {{"role",
               m_Context.m_Settings.m_Role == Role::Entry ? "entry" : "agent"},
              {"version", DECKPITCH_VERSION},
              {"callers", Listen.m_Callers},
              {"ready", Listen.m_Ready},
              {"directory", Listen.m_Directory},
              {"link", Listen.m_Link},
              {"bulk", Listen.m_Bulk},
              {"incarnation", m_Context.m_Incarnation},
              {"sinceStartMs", net::sinceStartMs()}});
  }

  /// Ends the process for what no further attempt mends.
  void endStart(const Error &Why) {
    net::log(Event::ListenFailed, {{"error", Why.m_Message}});
    if (!std::exchange(m_IsLeaving, true))
      m_Done.set_value(ExitCannotStart);
  }

  void waitForSignal() {
    m_Signals.async_wait(
        [this](const boost::system::error_code &Ec, int Number) {
          if (Ec)
            return;
          if (Number == SIGHUP) {
            m_Reread.cancel();
            readSettings();
          } else {
            beginDrain();
          }
          waitForSignal();
        });
  }

  void readSettings(int Read = 1) {
    const auto Text = net::readTextFile(m_Path);
    const auto Parsed = outcomeOf([&]() -> Result<DirectSettings> {
      if (!Text)
        return fail(ErrorCode::Unavailable, "cannot be read");
      return parseDirectSettings(*Text);
    });
    if (!Parsed)
      return readSettingsAgain(Read, Parsed.error().m_Message);
    net::log(Event::SettingsRead, {{"path", m_Path}});
    m_Role->apply(*Parsed);
  }

  void readSettingsAgain(int Read, const std::string &Error) {
    if (Read == 1)
      net::log(Event::SettingsIncomplete, {{"path", m_Path}, {"error", Error}});
    if (Read >= net::SettingsReads)
      return net::log(Event::SettingsRefused,
                      {{"path", m_Path}, {"error", Error}});
    m_Reread.expires_after(net::SettingsReadInterval);
    m_Reread.async_wait([this, Read](const boost::system::error_code &Ec) {
      if (!Ec)
        readSettings(Read + 1);
    });
  }

  void beginDrain() {
    if (std::exchange(m_IsLeaving, true))
      return;
    net::log(Event::ProcessDraining, {{"source", "signal"}});
    if (!m_IsStarted)
      return m_Done.set_value(0);
    m_Role->drain([this] { m_Done.set_value(0); });
  }

  void scheduleFlush() {
    m_Flush.expires_after(FlushInterval);
    m_Flush.async_wait([this](const boost::system::error_code &Ec) {
      if (Ec)
        return;
      net::flushLog();
      scheduleFlush();
    });
  }

  asio::awaitable<void> answerOperator(net::HttpRequest Request,
                                       net::HttpResponder &Answer) {
    if (Request.path() == "/v1/metrics") {
      co_await sendIfRoom(Answer, metricsResponse());
    } else if (Request.path() == "/v1/dump") {
      boost::json::object Dump = m_Role->dump();
      Dump["clients"] = m_Context.clients()->dump();
      co_await sendIfRoom(Answer,
                          net::jsonResponse(200, boost::json::serialize(Dump)));
    } else {
      co_await Answer.send(
          net::jsonResponse(404, R"({"error":"no such path"})"));
    }
  }

  net::HttpResponse metricsResponse() {
    net::updateProcessUsage();
    m_Context.clients()->updateMetrics();
    net::HttpResponse Out;
    Out.m_Headers.add("Content-Type", std::string(net::MetricsContentType));
    Out.m_Body = net::metrics().text();
    return Out;
  }

  static asio::awaitable<void> sendIfRoom(net::HttpResponder &Answer,
                                          net::HttpResponse Response) {
    if (!Answer.reserve(Response.m_Body.size()))
      Response = net::noRoomResponse();
    co_await Answer.send(std::move(Response));
  }

  /// No worker threads: a single loop avoids the cost of hand-over between
  /// threads on small instances.
  net::IoThreads m_Threads{0};
  DirectContext m_Context;
  std::string m_Path;
  asio::signal_set m_Signals;
  asio::steady_timer m_Flush;
  asio::steady_timer m_Reread; ///< of the settings
  std::unique_ptr<DirectRole> m_Role;
  net::HttpServer m_Operator{
      m_Threads,
      [this](net::HttpRequest Request, net::HttpResponder &Answer) {
        return answerOperator(std::move(Request), Answer);
      },
      OperatorLimits,
      {m_Context.clients(), Listener::Operator, nullptr}};
  net::StartRetry m_RolePorts{m_Threads.control(), "role"};
  net::StartRetry m_OperatorPort{m_Threads.control(), "operator"};
  std::promise<int> m_Done; ///< the exit code
  std::promise<void> m_Stopped;
  bool m_IsStarted = false; ///< the role
  bool m_IsLeaving = false;
};

} // namespace

int runDirect(DirectSettings Settings, const std::string &SettingsPath) {
  if (!fleetAdapter()) {
    net::log(Event::ListenFailed,
             {{"error", "no platform adapter is built in"}});
    net::flushLog();
    return ExitCannotStart;
  }
  Runner Process(std::move(Settings), SettingsPath);
  return Process.run();
}

} // namespace deckpitch::direct
