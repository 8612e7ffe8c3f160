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
#include <thread>
#include <utility>
#include <variant>

ABSL_FLAG(std::string, settings, "",
          "file with the settings: JSON with comments");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(bool, verbose, false, "log debug events too");

namespace {

constexpr int ExitUsage = 2;

using AnySettings =
    std::variant<deckpitch::DirectSettings, deckpitch::Settings>;

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

deckpitch::Outcome<AnySettings> parseAny(const std::string &Text) {
  if (deckpitch::areDirectSettings(Text)) {
    auto Direct = deckpitch::outcomeOf(
        [&] { return deckpitch::parseDirectSettings(Text); });
    if (!Direct)
      return Direct.error();
    return AnySettings(std::move(*Direct));
  }
  auto Parsed =
      deckpitch::outcomeOf([&] { return deckpitch::parseSettings(Text); });
  if (!Parsed)
    return Parsed.error();
  const deckpitch::Problems Found = checkAdapters(*Parsed);
  if (!Found.m_List.empty())
    return deckpitch::Error{deckpitch::ErrorCode::InvalidInput,
                            deckpitch::formatProblems(Found)};
  return AnySettings(std::move(*Parsed));
}

deckpitch::Outcome<AnySettings> readSettings(const std::string &Path) {
  const std::optional<std::string> Text = deckpitch::net::readTextFile(Path);
  if (!Text)
    return deckpitch::Error{deckpitch::ErrorCode::Unavailable,
                            "cannot be read"};
  return parseAny(*Text);
}

/// Reads the file until it is valid: it may be absent or incomplete while the
/// platform writes it. Prints each error; returns nothing after the last read.
std::optional<AnySettings> awaitSettings(const std::string &Path, int Reads) {
  std::string Printed;
  for (int Read = 1;; ++Read) {
    auto Found = readSettings(Path);
    if (Found)
      return std::move(*Found);
    const std::string &Error = Found.error().m_Message;
    if (Error != Printed)
      printErrors(Path, Error);
    Printed = Error;
    if (Read >= Reads)
      return std::nullopt;
    std::this_thread::sleep_for(deckpitch::net::SettingsReadInterval);
  }
}

/// Blocks of this size and more are returned to the system when they are freed.
/// Otherwise the C library raises the threshold after the first large block,
/// and freed memory still counts towards the process's limit.
constexpr int ReturnedBlockBytes = 128 * 1024;

struct StartProcess {
  const std::string &m_Path;
  deckpitch::Severity m_MinSeverity;

  /// Entries send requests straight to the instances.
  int operator()(const deckpitch::DirectSettings &Value) const {
    deckpitch::net::setUpJsonLog(Value.m_Instance.m_Text, m_MinSeverity);
    return deckpitch::direct::runDirect(Value, m_Path);
  }
  int operator()(const deckpitch::Settings &Value) const {
    deckpitch::net::setUpLog(Value.m_Instance.m_Text, m_MinSeverity);
    return deckpitch::daemon::runProcess(Value);
  }
};

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
      "  2 invalid flags, or settings that stayed invalid for 5 s");
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
  const bool IsCheck = absl::GetFlag(FLAGS_check);
  const std::optional<AnySettings> Value =
      awaitSettings(Path, IsCheck ? 1 : deckpitch::net::SettingsReads);
  if (!Value)
    return ExitUsage;
  if (IsCheck) {
    std::cout << Path << ": good\n";
    return 0;
  }
  return std::visit(StartProcess{Path, MinSeverity}, *Value);
}
