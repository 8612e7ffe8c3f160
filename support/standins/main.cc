// deckpitch-standins: small stand-ins for the outside systems, for tests.
#include "standins/standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, kind, "all",
          "platform, origin, store, engine, service or all");
ABSL_FLAG(std::string, listen, "127.0.0.1:0",
          "address; with several stand-ins, port 0");
ABSL_FLAG(std::uint32_t, engines, 4, "number of engines, kinds engine and all");
ABSL_FLAG(std::uint32_t, services, 1,
          "number of plain services, kinds service and all");
ABSL_FLAG(std::uint32_t, slots, 2, "weights that an engine holds at once");
ABSL_FLAG(std::uint32_t, concurrency, 8, "requests that an engine runs");
ABSL_FLAG(std::uint32_t, queue, 1024, "requests that may wait in an engine");
ABSL_FLAG(std::uint64_t, staging_bytes, 0,
          "room for staged chunks in an engine; 0: unlimited");
ABSL_FLAG(bool, strict_fencing, false, "engines refuse stale fencing numbers");
ABSL_FLAG(std::uint64_t, store_requests_per_second, 20,
          "rate of the weight store; 0: unlimited");
ABSL_FLAG(std::uint64_t, history, 10'000,
          "writes that the platform's watches can continue from");

namespace {

using namespace deckpitch;
using namespace deckpitch::standins;
using StandInList = std::vector<std::unique_ptr<StandIn>>;

constexpr int ExitUsage = 2;

EngineOptions engineOptions() {
  EngineOptions Options;
  Options.m_Slots = absl::GetFlag(FLAGS_slots);
  Options.m_Concurrency = absl::GetFlag(FLAGS_concurrency);
  Options.m_QueueLimit = absl::GetFlag(FLAGS_queue);
  Options.m_StagingBytes = absl::GetFlag(FLAGS_staging_bytes);
  Options.m_StrictFencing = absl::GetFlag(FLAGS_strict_fencing);
  return Options;
}

StandInList makeAll(const std::string &Kind) {
  const bool All = Kind == "all";
  StandInList Made;
  if (All || Kind == "platform")
    Made.push_back(makePlatform(absl::GetFlag(FLAGS_history)));
  if (All || Kind == "origin")
    Made.push_back(makeOrigin({}));
  if (All || Kind == "store")
    Made.push_back(
        makeOrigin({true, absl::GetFlag(FLAGS_store_requests_per_second)}));
  if (All || Kind == "engine")
    for (std::uint32_t I = 0; I < absl::GetFlag(FLAGS_engines); ++I)
      Made.push_back(makeEngine(engineOptions()));
  if (All || Kind == "service")
    for (std::uint32_t I = 0; I < absl::GetFlag(FLAGS_services); ++I)
      Made.push_back(makeService());
  return Made;
}

bool startAll(StandInList &Made) {
  for (auto &Each : Made) {
    const auto Bound =
        outcomeOf([&] { return Each->start(absl::GetFlag(FLAGS_listen)); });
    if (!Bound) {
      std::cerr << Bound.error().m_Message << "\n";
      return false;
    }
    std::cout << boost::json::serialize(boost::json::object{
                     {"kind", Each->kind()}, {"address", *Bound}})
              << std::endl;
  }
  return true;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage("runs stand-ins until it is told to stop");
  absl::ParseCommandLine(Argc, Argv);
  boost::asio::io_context Io;
  boost::asio::signal_set Signals(Io, SIGINT, SIGTERM);
  Signals.async_wait([](const boost::system::error_code &, int) {});
  StandInList Made = makeAll(absl::GetFlag(FLAGS_kind));
  if (Made.empty()) {
    std::cerr << "--kind is unknown, or nothing is to be started\n";
    return ExitUsage;
  }
  const bool Started = startAll(Made);
  if (Started)
    Io.run();
  for (auto &Each : Made)
    Each->stop();
  return Started ? 0 : 1;
}
