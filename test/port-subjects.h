// Helpers shared by the contract tests of the ports.
#pragma once

#include "harness.h"
#include "net/adapters.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace deckpitch::test {

namespace asio = boost::asio;

/// Runs a stand-in process and creates the HTTP adapter for it through the
/// registry.
template <typename Port> class HttpSubject {
public:
  explicit HttpSubject(const std::string &Kind)
      : m_Process("deckpitch-standins", {"--kind=" + Kind, "--engines=1",
                                         "--slots=1", "--strict_fencing=true"}),
        m_Address(m_Process.announcement().at("address").as_string().c_str()),
        m_Port(net::Adapters<Port>::make(m_Http, "http://" + m_Address)) {}

  Port &port() { return *m_Port; }
  void setOutage(bool On) { injectFaults(On ? R"({"outage":true})" : "{}"); }
  void injectFaults(const std::string &Faults) {
    EXPECT_TRUE(setFaults(m_Address, Faults));
  }
  void sendCommand(const std::string &Method, const std::string &Target,
                   const std::string &Body) {
    EXPECT_EQ(statusOf(call(m_Address, Method, Target, Body)), 200U);
  }

private:
  Child m_Process;
  std::string m_Address;
  net::HttpClient m_Http;
  std::unique_ptr<Port> m_Port;
};

/// An event loop that runs coroutines of a port one at a time.
class Loop {
public:
  asio::io_context &io() { return m_Io; }

  template <typename T> T await(asio::awaitable<T> Work) {
    std::optional<T> Out;
    auto Run = [&]() -> asio::awaitable<void> {
      Out.emplace(co_await std::move(Work));
    };
    asio::co_spawn(m_Io, Run, asio::detached);
    runUntil([&] { return Out.has_value(); });
    return std::move(*Out);
  }

  template <typename Condition> void runUntil(Condition Holds) {
    m_Io.restart();
    while (!Holds())
      m_Io.run_one();
  }

private:
  asio::io_context m_Io;
};

template <typename T> ErrorCode codeOf(const Outcome<T> &Got) {
  EXPECT_TRUE(Got.has_error());
  return Got.has_error() ? Got.error().m_Code : ErrorCode::Unsupported;
}

} // namespace deckpitch::test
