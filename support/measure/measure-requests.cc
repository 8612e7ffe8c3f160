// Measures the request path over real processes on this machine.
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
constexpr std::uint32_t Concurrency = 16; ///< of each engine
constexpr int ShortAnswer = 16;           ///< tokens
constexpr int LongAnswer = 160;
constexpr int UrgentEvery = 10;

/// How callers spread their requests over the addresses.
enum class Spread { Fixed, Random, RoundRobin, LeastOutstanding };

/// One closed loop of callers.
struct Load {
  std::vector<std::string> m_Addresses;
  int m_Callers = 1;
  milliseconds m_Deadline{2'000};
  milliseconds m_Span{6'000};
  int m_Tokens = ShortAnswer;
  Spread m_Spread = Spread::Fixed;
};

struct Seen {
  std::vector<double> m_FirstTokenMs;
  std::vector<double> m_RefusedMs;
  std::uint64_t m_Good = 0; ///< whole and in time
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

double millisecondsSince(SteadyClock::time_point Begin) {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - Begin)
      .count();
}

net::HttpRequest chatRequest(int Caller, int Turn, const Load &Wanted,
                             bool Urgent) {
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/v1/chat/completions";
  Request.m_Headers.add("X-Request-Id",
                        std::to_string(Caller) + "-" + std::to_string(Turn));
  Request.m_Headers.add("X-Deadline-Ms",
                        std::to_string(Wanted.m_Deadline.count()));
  Request.m_Headers.add("X-Priority", Urgent ? "urgent" : "normal");
  Request.m_Headers.add("X-Organisation", "org-" + std::to_string(Caller % 10));
  const json::object Message{{"role", "user"},
                             {"content", std::to_string(Caller)}};
  Request.m_Body =
      json::serialize(json::object{{"model", "chat"},
                                   {"stream", true},
                                   {"max_tokens", Wanted.m_Tokens},
                                   {"messages", json::array{Message}}});
  return Request;
}

class Run {
public:
  explicit Run(Load Wanted)
      : m_Load(std::move(Wanted)), m_Outstanding(m_Load.m_Addresses.size()) {}

  Seen run() {
    m_End = SteadyClock::now() + m_Load.m_Span;
    for (int I = 0; I < m_Load.m_Callers; ++I)
      asio::co_spawn(m_Io, caller(I), asio::detached);
    m_Io.run();
    return std::move(m_Seen);
  }

private:
  std::size_t choose(int Caller) {
    const std::size_t Count = m_Load.m_Addresses.size();
    if (m_Load.m_Spread == Spread::Random)
      return m_Random() % Count;
    if (m_Load.m_Spread == Spread::RoundRobin)
      return m_Turn++ % Count;
    if (m_Load.m_Spread == Spread::LeastOutstanding)
      return static_cast<std::size_t>(std::ranges::min_element(m_Outstanding) -
                                      m_Outstanding.begin());
    return static_cast<std::size_t>(Caller) % Count;
  }

  asio::awaitable<void> caller(int Caller) {
    for (int Turn = 0; SteadyClock::now() < m_End; ++Turn) {
      const std::size_t To = choose(Caller);
      ++m_Outstanding[To];
      const double Pause = co_await one(m_Load.m_Addresses[To], Caller, Turn);
      --m_Outstanding[To];
      if (Pause <= 0)
        continue;
      asio::steady_timer Timer(m_Io, milliseconds(static_cast<int>(Pause)));
      co_await Timer.async_wait(asio::use_awaitable);
    }
  }

  /// Gives the pause that the answer asks for, in milliseconds.
  asio::awaitable<double> one(std::string Address, int Caller, int Turn) {
    const bool Urgent = (Caller + Turn) % UrgentEvery == 0;
    auto Request = chatRequest(Caller, Turn, m_Load, Urgent);
    m_Seen.m_Urgent += Urgent;
    const auto Begin = SteadyClock::now();
    auto Opened = co_await m_Client.open(Address, std::move(Request));
    if (!Opened) {
      ++m_Seen.m_Other;
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
        m_Seen.m_FirstTokenMs.push_back(millisecondsSince(Begin));
      Body += *Piece;
    }
    const double Took = millisecondsSince(Begin);
    if (Stream.headers().find("X-Outcome") == "not-run") {
      ++m_Seen.m_Refused;
      m_Seen.m_RefusedMs.push_back(Took);
      co_return std::stod(std::string(Stream.headers().find("Retry-After-Ms")));
    }
    const bool Whole = Body.ends_with("data: [DONE]\n\n");
    const bool InTime = Took <= static_cast<double>(m_Load.m_Deadline.count());
    m_Seen.m_Good += Whole && InTime;
    m_Seen.m_Late += Whole && !InTime;
    m_Seen.m_Other += !Whole;
    m_Seen.m_UrgentGood += Urgent && Whole && InTime;
    co_return 0;
  }

  Load m_Load;
  std::vector<int> m_Outstanding; ///< by address
  std::minstd_rand m_Random{1};
  std::size_t m_Turn = 0;
  asio::io_context m_Io;
  net::HttpClient m_Client;
  SteadyClock::time_point m_End;
  Seen m_Seen;
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

void report(const char *Name, const Seen &Got, milliseconds Span) {
  const double Seconds = static_cast<double>(Span.count()) / 1000;
  std::printf("%-22s good/s %8.1f  late %5lu  refused %6lu  other %4lu  "
              "first token ms p50 %7.2f p95 %7.2f  refused ms p95 %6.2f  "
              "urgent in time %lu of %lu\n",
              Name, static_cast<double>(Got.m_Good) / Seconds, Got.m_Late,
              Got.m_Refused, Got.m_Other, quantile(Got.m_FirstTokenMs, 0.5),
              quantile(Got.m_FirstTokenMs, 0.95),
              quantile(Got.m_RefusedMs, 0.95), Got.m_UrgentGood, Got.m_Urgent);
}

/// Runs the load; gives the entry's processor time in us for each request.
double measure(const char *Name, Cluster &Under, Load Wanted) {
  const pid_t Entry = Under.entry(0).m_Process->pid();
  const double Before = processorSeconds(Entry);
  const milliseconds Span = Wanted.m_Span;
  const Seen Got = Run(std::move(Wanted)).run();
  report(Name, Got, Span);
  const double Used = processorSeconds(Entry) - Before;
  const double Requests = static_cast<double>(Got.m_Good + Got.m_Late);
  return Requests > 0 ? Used / Requests * 1e6 : 0;
}

/// The difference between short and long answers is the cost of their tokens.
void reportCost(double Short, double Long) {
  constexpr double MoreTokens = LongAnswer - ShortAnswer;
  const double Token = (Long - Short) / MoreTokens;
  std::printf("entry's processor time: %.0f us a request of %d tokens, %.0f of "
              "%d; %.1f us a token, %.0f a request besides\n",
              Short, ShortAnswer, Long, LongAnswer, Token,
              Short - Token * ShortAnswer);
}

/// Callers that choose an engine themselves, against the entry's choice. One
/// engine is three times slower than the others.
void compareChoices(Cluster &Under, Load Direct, Load Through) {
  setFaults(Under.engine(0).m_Address,
            R"({"delayFirstTokenMs":60,"delayTokenMs":15})");
  Direct.m_Callers = Through.m_Callers = Engines * Concurrency * 3 / 4;
  Direct.m_Spread = Spread::Random;
  measure("random, direct", Under, Direct);
  Direct.m_Spread = Spread::RoundRobin;
  measure("round robin, direct", Under, Direct);
  Direct.m_Spread = Spread::LeastOutstanding;
  measure("least out, direct", Under, Direct);
  measure("the entry's choice", Under, std::move(Through));
}

bool ready(Cluster &Under) {
  const auto Dump = jsonOf(call(Under.entry(0).m_Operator, "GET", "/v1/dump"));
  if (!Dump.is_object())
    return false;
  const auto &Pools = Dump.at("modules").at("requests").at("pools").as_object();
  const auto *Pool = Pools.if_contains("chat");
  return Pool && Pool->as_object().size() == Engines;
}

} // namespace

int main() {
  Cluster Under(
      {.m_Entries = 1, .m_Engines = Engines, .m_Concurrency = Concurrency});
  if (!Under.start()) {
    std::cerr << Under.failure() << "\n";
    return 1;
  }
  Under.addWeights("m@1", 1 << 18, 1 << 16);
  if (!Under.declarePool("chat", "m", "1") ||
      !eventually([&] { return ready(Under); })) {
    std::cerr << "the pool did not become ready\n" << Under.logs();
    return 1;
  }
  Load Direct;
  for (std::size_t I = 0; I < Engines; ++I) {
    setFaults(Under.engine(I).m_Address,
              R"({"delayFirstTokenMs":20,"delayTokenMs":5})");
    Direct.m_Addresses.push_back(Under.engine(I).m_Address);
  }
  constexpr int Capacity = Engines * Concurrency;
  Load Through = Direct;
  Through.m_Addresses = {Under.entry(0).m_Requests};
  Direct.m_Callers = Through.m_Callers = Capacity / 2;
  measure("half load, direct", Under, Direct);
  const double Short = measure("half load, entry", Under, Through);
  Load Long = Through;
  Long.m_Tokens = LongAnswer;
  reportCost(Short, measure("the same, long answers", Under, Long));
  Through.m_Callers = Capacity;
  measure("capacity, entry", Under, Through);
  Through.m_Callers = 2 * Capacity;
  measure("2 x capacity, entry", Under, Through);
  compareChoices(Under, Direct, Through);
  return 0;
}
