// deckpitch-load: sends a bounded load of chat requests and verifies the
// answers.
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
          "known entries, from which the others are discovered, ip:port,...");
ABSL_FLAG(std::string, model, "", "pool or model to which requests are sent");
ABSL_FLAG(std::uint32_t, callers, 4, "number of concurrent callers");
ABSL_FLAG(std::uint32_t, requests, 100,
          "maximum number of requests of all callers");
ABSL_FLAG(std::uint32_t, tokens, 16, "number of tokens per answer");
ABSL_FLAG(std::uint32_t, seconds, 60, "time after which no request starts");
ABSL_FLAG(std::uint32_t, pause_ms, 0, "pause of a caller between its requests");
ABSL_FLAG(std::uint32_t, deadline_ms, 30'000, "deadline of each request");
ABSL_FLAG(std::uint32_t, urgent_percent, 0, "percentage of urgent requests");
ABSL_FLAG(std::vector<std::string>, organisations, {},
          "organisations that send requests, used in rotation");
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
  absl::SetProgramUsageMessage("sends chat requests and verifies the answers; "
                               "--entries=ip:port --model=POOL");
  absl::ParseCommandLine(Argc, Argv);
  const LoadOptions Options = optionsFromFlags();
  if (Options.m_Entries.empty() || Options.m_Model.empty()) {
    std::cerr << "--entries and --model are required; see --help\n";
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
