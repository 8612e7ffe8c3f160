// Stand-in for a plain service that counts executions by key.
#include "standins/executions.h"
#include "standins/standin.h"

#include <boost/json.hpp>

namespace deckpitch::standins {

namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds HangPoll{20};

struct ServiceFaults {
  std::chrono::milliseconds m_Delay{0};
  std::uint64_t m_AbortsBefore = 0; ///< calls aborted before execution
  std::uint64_t m_AbortsAfter = 0;  ///< calls aborted after execution
  bool m_AcceptAndHang = false;
};

/// Decrements a positive count; returns false if it is zero.
bool consumeOne(std::uint64_t &Count) {
  if (Count == 0)
    return false;
  --Count;
  return true;
}

class Service final : public StandIn {
public:
  std::string_view kind() const override { return "service"; }

protected:
  asio::awaitable<void> serve(net::HttpRequest Request,
                              net::HttpResponder &Answer) override {
    if (Request.path() == "/v1/health") {
      co_await Answer.send(net::jsonResponse(200, R"({"state":"ready"})"));
      co_return;
    }
    ++m_Calls;
    DisconnectFlag Client(Answer);
    while (m_Faults.m_AcceptAndHang && !Client.disconnected())
      co_await sleepFor(HangPoll);
    if (consumeOne(m_Faults.m_AbortsBefore))
      co_return Answer.abort();
    co_await sleepFor(m_Faults.m_Delay);
    const std::uint64_t Execution = m_Executions.record(Request);
    if (consumeOne(m_Faults.m_AbortsAfter))
      co_return Answer.abort();
    co_await Answer.send(echo(Request, Execution));
  }

  asio::awaitable<bool> control(const net::HttpRequest &Request,
                                net::HttpResponder &Answer) override {
    if (Request.path() != "/_standin/executions")
      co_return false;
    co_await Answer.send(
        net::jsonResponse(200, json::serialize(m_Executions.list())));
    co_return true;
  }

  void setFaults(FaultReader &Faults) override {
    m_Faults = {};
    Faults.read("delayMs", m_Faults.m_Delay);
    Faults.readCount("dieBefore", m_Faults.m_AbortsBefore);
    Faults.readCount("dieAfter", m_Faults.m_AbortsAfter);
    Faults.read("acceptAndHang", m_Faults.m_AcceptAndHang);
  }

  json::object counters() const override {
    return {{"calls", m_Calls}, {"executions", m_Executions.total()}};
  }

private:
  static net::HttpResponse echo(const net::HttpRequest &Request,
                                std::uint64_t Execution) {
    return jsonObjectResponse(200, {{"method", Request.m_Method},
                                    {"target", Request.m_Target},
                                    {"key", Executions::callKey(Request)},
                                    {"execution", Execution},
                                    {"body", Request.m_Body}});
  }

  ServiceFaults m_Faults;
  Executions m_Executions;
  std::uint64_t m_Calls = 0;
};

} // namespace

std::unique_ptr<StandIn> makeService() { return std::make_unique<Service>(); }

} // namespace deckpitch::standins
