// Measures the request path with real processes on the local machine: latency,
// throughput and the entry's processor time.
#include "cluster.h"
#include "net/http.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <random>
#include <unistd.h>

using namespace deckpitch;
using namespace deckpitch::test;

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::uint32_t Engines = 4;
constexpr std::uint32_t Concurrency = 16; ///< per engine
constexpr int ShortAnswer = 16;           ///< tokens
constexpr int LongAnswer = 160;
constexpr int UrgentEvery = 10; ///< one urgent request in so many

/// How callers distribute their requests over the addresses.
enum class AddressChoice { Fixed, Random, RoundRobin, LeastOutstanding };

/// A closed-loop load: each caller sends its next request after the last ended.
struct Load {
  std::vector<std::string> m_Addresses;
  int m_Callers = 1;
  milliseconds m_Deadline{2'000};
  milliseconds m_Duration{6'000};
  int m_Tokens = ShortAnswer;
  AddressChoice m_Choice = AddressChoice::Fixed;
};

struct Results {
  std::vector<double> m_FirstTokenMs;
  std::vector<double> m_RefusedMs;
  std::uint64_t m_Good = 0; ///< complete and in time
  std::uint64_t m_Late = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Other = 0;
  std::uint64_t m_Urgent = 0;
  std::uint64_t m_UrgentGood = 0;
};

double quantile(std::vector<double> Values, double At) {
  if (Values.empty())
    return 0;
  std::ranges::sort(Values);
  const auto Last = static_cast<double>(Values.size() - 1);
  const auto Index = static_cast<std::size_t>(At * Last);
  return Values[Index];
}

double elapsedMs(SteadyClock::time_point Begin) {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - Begin)
      .count();
}

net::HttpRequest chatRequest(int Caller, int Sequence, const Load &Offered,
                             bool IsUrgent) {
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/v1/chat/completions";
  Request.m_Headers.add("X-Request-Id", std::to_string(Caller) + "-" +
                                            std::to_string(Sequence));
  Request.m_Headers.add("X-Deadline-Ms",
                        std::to_string(Offered.m_Deadline.count()));
  Request.m_Headers.add("X-Priority", IsUrgent ? "urgent" : "normal");
  Request.m_Headers.add("X-Organisation", "org-" + std::to_string(Caller % 10));
  const json::object Message{{"role", "user"},
                             {"content", std::to_string(Caller)}};
  Request.m_Body =
      json::serialize(json::object{{"model", "chat"},
                                   {"stream", true},
                                   {"max_tokens", Offered.m_Tokens},
                                   {"messages", json::array{Message}}});
  return Request;
}

class LoadRun {
public:
  explicit LoadRun(Load Offered)
      : m_Load(std::move(Offered)), m_Outstanding(m_Load.m_Addresses.size()) {}

  Results run() {
    m_End = SteadyClock::now() + m_Load.m_Duration;
    for (int I = 0; I < m_Load.m_Callers; ++I)
      asio::co_spawn(m_Io, caller(I), asio::detached);
    m_Io.run();
    return std::move(m_Results);
  }

private:
  std::size_t chooseAddress(int Caller) {
    const std::size_t Count = m_Load.m_Addresses.size();
    if (m_Load.m_Choice == AddressChoice::Random)
      return m_Random() % Count;
    if (m_Load.m_Choice == AddressChoice::RoundRobin)
      return m_NextAddress++ % Count;
    if (m_Load.m_Choice == AddressChoice::LeastOutstanding)
      return static_cast<std::size_t>(std::ranges::min_element(m_Outstanding) -
                                      m_Outstanding.begin());
    return static_cast<std::size_t>(Caller) % Count;
  }

  asio::awaitable<void> caller(int Caller) {
    for (int Sequence = 0; SteadyClock::now() < m_End; ++Sequence) {
      const std::size_t To = chooseAddress(Caller);
      ++m_Outstanding[To];
      const double RetryDelayMs =
          co_await sendRequest(m_Load.m_Addresses[To], Caller, Sequence);
      --m_Outstanding[To];
      if (RetryDelayMs <= 0)
        continue;
      asio::steady_timer Timer(m_Io,
                               milliseconds(static_cast<int>(RetryDelayMs)));
      co_await Timer.async_wait(asio::use_awaitable);
    }
  }

  /// Sends one request. Returns how long the caller waits before its next one,
  /// in milliseconds: as a refusal demands, 10 if none could be sent, otherwise
  /// 0.
  asio::awaitable<double> sendRequest(std::string Address, int Caller,
                                      int Sequence) {
    const bool IsUrgent = (Caller + Sequence) % UrgentEvery == 0;
    auto Request = chatRequest(Caller, Sequence, m_Load, IsUrgent);
    m_Results.m_Urgent += IsUrgent;
    const auto Begin = SteadyClock::now();
    auto Opened = co_await m_Client.open(Address, std::move(Request));
    if (!Opened) {
      ++m_Results.m_Other;
      co_return 10;
    }
    net::HttpStream &Stream = **Opened;
    std::string Body;
    bool First = true;
    while (true) {
      auto Piece = co_await Stream.read();
      if (!Piece || Piece->empty())
        break;
      if (std::exchange(First, false) && Stream.status() == 200)
        m_Results.m_FirstTokenMs.push_back(elapsedMs(Begin));
      Body += *Piece;
    }
    const double ElapsedMs = elapsedMs(Begin);
    if (Stream.headers().find("X-Outcome") == "not-run") {
      ++m_Results.m_Refused;
      m_Results.m_RefusedMs.push_back(ElapsedMs);
      co_return std::stod(std::string(Stream.headers().find("Retry-After-Ms")));
    }
    const bool IsComplete = Body.ends_with("data: [DONE]\n\n");
    const bool IsInTime =
        ElapsedMs <= static_cast<double>(m_Load.m_Deadline.count());
    m_Results.m_Good += IsComplete && IsInTime;
    m_Results.m_Late += IsComplete && !IsInTime;
    m_Results.m_Other += !IsComplete;
    m_Results.m_UrgentGood += IsUrgent && IsComplete && IsInTime;
    co_return 0;
  }

  Load m_Load;
  std::vector<int> m_Outstanding; ///< by address
  std::minstd_rand m_Random{1};
  std::size_t m_NextAddress = 0;
  asio::io_context m_Io;
  net::HttpClient m_Client;
  SteadyClock::time_point m_End;
  Results m_Results;
};

double processorSeconds(pid_t Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/stat");
  std::string Text;
  std::getline(File, Text);
  std::istringstream Fields(Text.substr(Text.rfind(')') + 2));
  std::string Skipped;
  for (int I = 0; I < 11; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void report(const char *Name, const Results &Got, milliseconds MeasuredTime) {
  const double Seconds = static_cast<double>(MeasuredTime.count()) / 1000;
  std::printf("%-22s good/s %8.1f  late %5lu  refused %6lu  other %4lu  "
              "first token ms p50 %7.2f p95 %7.2f  refused ms p95 %6.2f  "
              "urgent in time %lu of %lu\n",
              Name, static_cast<double>(Got.m_Good) / Seconds, Got.m_Late,
              Got.m_Refused, Got.m_Other, quantile(Got.m_FirstTokenMs, 0.5),
              quantile(Got.m_FirstTokenMs, 0.95),
              quantile(Got.m_RefusedMs, 0.95), Got.m_UrgentGood, Got.m_Urgent);
}

/// Runs the load and returns the entry's processor time per complete request in
/// microseconds.
double measure(const char *Name, Cluster &Deployment, Load Offered) {
  const pid_t Entry = Deployment.entry(0).m_Process->pid();
  const double Before = processorSeconds(Entry);
  const milliseconds MeasuredTime = Offered.m_Duration;
  const Results Got = LoadRun(std::move(Offered)).run();
  report(Name, Got, MeasuredTime);
  const double Used = processorSeconds(Entry) - Before;
  const double Requests = static_cast<double>(Got.m_Good + Got.m_Late);
  return Requests > 0 ? Used / Requests * 1e6 : 0;
}

/// Derives the cost of a token from the difference between short and long
/// answers.
void reportCost(double Short, double Long) {
  constexpr double AdditionalTokens = LongAnswer - ShortAnswer;
  const double Token = (Long - Short) / AdditionalTokens;
  std::printf(
      "entry's processor time: %.0f us per request of %d tokens, %.0f of "
      "%d; %.1f us per token, %.0f fixed per request\n",
      Short, ShortAnswer, Long, LongAnswer, Token, Short - Token * ShortAnswer);
}

/// Compares callers that choose an engine themselves with the entry's choice,
/// while one engine is three times slower than the others.
void compareChoices(Cluster &Deployment, Load Direct, Load Through) {
  setFaults(Deployment.engine(0).m_Address,
            R"({"delayFirstTokenMs":60,"delayTokenMs":15})");
  Direct.m_Callers = Through.m_Callers = Engines * Concurrency * 3 / 4;
  Direct.m_Choice = AddressChoice::Random;
  measure("random, direct", Deployment, Direct);
  Direct.m_Choice = AddressChoice::RoundRobin;
  measure("round robin, direct", Deployment, Direct);
  Direct.m_Choice = AddressChoice::LeastOutstanding;
  measure("least out, direct", Deployment, Direct);
  measure("the entry's choice", Deployment, std::move(Through));
}

bool poolIsReady(Cluster &Deployment) {
  const auto Dump =
      jsonOf(call(Deployment.entry(0).m_Operator, "GET", "/v1/dump"));
  if (!Dump.is_object())
    return false;
  const auto &Pools = Dump.at("modules").at("requests").at("pools").as_object();
  const auto *Pool = Pools.if_contains("chat");
  return Pool && Pool->as_object().size() == Engines;
}

} // namespace

int main() {
  Cluster Deployment(
      {.m_Entries = 1, .m_Engines = Engines, .m_Concurrency = Concurrency});
  if (!Deployment.start()) {
    std::cerr << Deployment.failure() << "\n";
    return 1;
  }
  Deployment.addWeights("m@1", 1 << 18, 1 << 16);
  if (!Deployment.declarePool("chat", "m", "1") ||
      !eventually([&] { return poolIsReady(Deployment); })) {
    std::cerr << "the pool did not become ready\n" << Deployment.logs();
    return 1;
  }
  Load Direct;
  for (std::size_t I = 0; I < Engines; ++I) {
    setFaults(Deployment.engine(I).m_Address,
              R"({"delayFirstTokenMs":20,"delayTokenMs":5})");
    Direct.m_Addresses.push_back(Deployment.engine(I).m_Address);
  }
  constexpr int Capacity = Engines * Concurrency;
  Load Through = Direct;
  Through.m_Addresses = {Deployment.entry(0).m_Requests};
  Direct.m_Callers = Through.m_Callers = Capacity / 2;
  measure("half load, direct", Deployment, Direct);
  const double Short = measure("half load, entry", Deployment, Through);
  Load Long = Through;
  Long.m_Tokens = LongAnswer;
  reportCost(Short, measure("the same, long answers", Deployment, Long));
  Through.m_Callers = Capacity;
  measure("capacity, entry", Deployment, Through);
  Through.m_Callers = 2 * Capacity;
  measure("2 x capacity, entry", Deployment, Through);
  compareChoices(Deployment, Direct, Through);
  return 0;
}
