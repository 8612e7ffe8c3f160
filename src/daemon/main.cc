// deckpitchd: the daemon. The settings name the role of the process.
#include "daemon/module.h"
#include "deckpitch/direct-settings.h"
#include "deckpitch/json-reader.h"
#include "direct/role.h"
#include "net/adapters.h"
#include "net/engine.h"
#include "net/log.h"
#include "net/origin.h"
#include "net/platform.h"
#include "net/signals.h"
#include "net/text-file.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <malloc.h>

#include <iostream>
#include <optional>
#include <sstream>

ABSL_FLAG(std::string, settings, "",
          "file with the settings: JSON with comments");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(bool, verbose, false, "log debug events too");

namespace {

constexpr int ExitUsage = 2;

template <typename Port>
void checkAdapter(const std::string &Key, const std::string &Address,
                  deckpitch::Problems &Found) {
  using Known = deckpitch::net::Adapters<Port>;
  if (!Known::knows(Address))
    Found.m_List.push_back(
        {Key, '"' + Address + '"',
         "\"scheme://address\", the scheme one of " + Known::schemes()});
}

/// Checks that every address names an adapter of this build. Only the program
/// knows which ones are linked into it, so parsing the settings cannot check
/// it.
deckpitch::Problems checkAdapters(const deckpitch::Settings &Value) {
  deckpitch::Problems Found;
  using namespace deckpitch::net;
  checkAdapter<Platform>("platform", Value.m_Platform, Found);
  checkAdapter<Engine>("upstream.address", Value.m_Upstream.m_Address, Found);
  checkAdapter<Origin>("weights.origin", Value.m_Weights.m_Origin, Found);
  checkAdapter<Origin>("weights.store", Value.m_Weights.m_Store, Found);
  return Found;
}

void printErrors(const std::string &Path, const std::string &Text) {
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);)
    std::cerr << Path << ": " << Line << "\n";
}

std::optional<deckpitch::Settings> readSettings(const std::string &Path) {
  const std::optional<std::string> Text = deckpitch::net::readTextFile(Path);
  if (!Text) {
    std::cerr << Path << ": cannot be read\n";
    return std::nullopt;
  }
  const auto Parsed =
      deckpitch::outcomeOf([&] { return deckpitch::parseSettings(*Text); });
  if (!Parsed) {
    printErrors(Path, Parsed.error().m_Message);
    return std::nullopt;
  }
  const deckpitch::Problems Found = checkAdapters(*Parsed);
  printErrors(Path, deckpitch::formatProblems(Found));
  if (!Found.m_List.empty())
    return std::nullopt;
  return *Parsed;
}

/// Blocks of this size and more are returned to the system when they are freed.
/// Otherwise the C library raises the threshold after the first large block,
/// and freed memory still counts towards the process's limit.
constexpr int ReturnedBlockBytes = 128 * 1024;

/// Runs a process of a direct deployment, in which entries send requests
/// straight to the instances.
int runDirectProcess(const std::string &Path, const std::string &Text,
                     deckpitch::Severity MinSeverity) {
  const auto Parsed = deckpitch::outcomeOf(
      [&] { return deckpitch::parseDirectSettings(Text); });
  if (!Parsed) {
    printErrors(Path, Parsed.error().m_Message);
    return ExitUsage;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << Path << ": good\n";
    return 0;
  }
  deckpitch::net::setUpJsonLog(Parsed->m_Instance.m_Text, MinSeverity);
  return deckpitch::direct::runDirect(*Parsed, Path);
}

} // namespace

int main(int Argc, char **Argv) {
  deckpitch::net::holdReloadSignal();
  deckpitch::net::ignoreBrokenPipes();
  mallopt(M_MMAP_THRESHOLD, ReturnedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, ReturnedBlockBytes);
  absl::SetProgramUsageMessage(
      "runs one process of deckpitch\n"
      "  deckpitchd --settings=FILE            runs until a stop signal\n"
      "  deckpitchd --settings=FILE --check    checks the settings and exits\n"
      "flags: --settings, --check, --verbose, --version, --help\n"
      "exit codes: 0 normal stop or valid settings, 1 could not start,\n"
      "  2 invalid flags or settings");
  absl::FlagsUsageConfig Usage;
  Usage.version_string = [] {
    return std::string("deckpitchd " DECKPITCH_VERSION "\n");
  };
  // Abseil's default shows only the flags of a file named after the program.
  Usage.contains_help_flags = [](absl::string_view File) {
    return File.find("src/daemon/") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(Usage);
  absl::ParseCommandLine(Argc, Argv);
  const std::string Path = absl::GetFlag(FLAGS_settings);
  if (Path.empty()) {
    std::cerr << "--settings=FILE is required\n"
              << absl::ProgramUsageMessage() << "\n";
    return ExitUsage;
  }
  const auto MinSeverity = absl::GetFlag(FLAGS_verbose)
                               ? deckpitch::Severity::Debug
                               : deckpitch::Severity::Info;
  const std::optional<std::string> Text = deckpitch::net::readTextFile(Path);
  if (Text && deckpitch::areDirectSettings(*Text))
    return runDirectProcess(Path, *Text, MinSeverity);
  const std::optional<deckpitch::Settings> Value = readSettings(Path);
  if (!Value)
    return ExitUsage;
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << Path << ": good\n";
    return 0;
  }
  deckpitch::net::setUpLog(Value->m_Instance.m_Text, MinSeverity);
  return deckpitch::daemon::runProcess(*Value);
}
