// deckpitch-load: a bounded load of checked chat requests.
#include "load/load-run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>
#include <thread>

ABSL_FLAG(std::vector<std::string>, entries, {},
          "addresses of entries to ask for addresses, ip:port,...");
ABSL_FLAG(std::string, model, "", "pool or model to ask");
ABSL_FLAG(std::uint32_t, callers, 4, "callers at the same time");
ABSL_FLAG(std::uint32_t, requests, 100, "requests at most");
ABSL_FLAG(std::uint32_t, tokens, 16, "tokens of each answer");
ABSL_FLAG(std::uint32_t, seconds, 60, "starts no request after this time");
ABSL_FLAG(std::uint32_t, pause_ms, 0, "of a caller between its requests");
ABSL_FLAG(std::uint32_t, deadline_ms, 30'000, "of each request");
ABSL_FLAG(std::uint32_t, urgent_percent, 0, "share of urgent requests");
ABSL_FLAG(std::vector<std::string>, organisations, {}, "organisations in turn");
ABSL_FLAG(std::string, output, "lines", "lines or json");

namespace {

using namespace deckpitch::load;

constexpr int ExitUsage = 2;

LoadOptions optionsFromFlags() {
  using std::chrono::milliseconds;
  LoadOptions Out;
  Out.m_Entries = absl::GetFlag(FLAGS_entries);
  Out.m_Model = absl::GetFlag(FLAGS_model);
  Out.m_Callers = absl::GetFlag(FLAGS_callers);
  Out.m_Requests = absl::GetFlag(FLAGS_requests);
  Out.m_Tokens = absl::GetFlag(FLAGS_tokens);
  Out.m_Duration = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  Out.m_Pause = milliseconds(absl::GetFlag(FLAGS_pause_ms));
  Out.m_Deadline = milliseconds(absl::GetFlag(FLAGS_deadline_ms));
  Out.m_UrgentPercent = absl::GetFlag(FLAGS_urgent_percent);
  Out.m_Organisations = absl::GetFlag(FLAGS_organisations);
  return Out;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(
      "sends checked chat requests; --entries=ip:port --model=POOL");
  absl::ParseCommandLine(Argc, Argv);
  const LoadOptions Options = optionsFromFlags();
  if (Options.m_Entries.empty() || Options.m_Model.empty()) {
    std::cerr << "--entries and --model are needed; see --help\n";
    return ExitUsage;
  }
  LoadRun Run(Options);
  boost::asio::io_context Io;
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([&Run](const boost::system::error_code &Ec, int) {
    if (!Ec)
      Run.stop();
  });
  std::thread SignalThread([&Io] { Io.run(); });
  const LoadReport Report = Run.run();
  Io.stop();
  SignalThread.join();
  if (absl::GetFlag(FLAGS_output) == "json")
    std::cout << boost::json::serialize(toJson(Report)) << std::endl;
  else
    std::cout << toLines(Report) << std::flush;
  return Report.count(Verdict::Mixed) == 0 ? 0 : 1;
}
