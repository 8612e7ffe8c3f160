// deckpitchctl: the operators' tool.
#include "ctl/commands.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, file, "", "apply: file with the objects");
ABSL_FLAG(std::string, f, "", "short for --file");
ABSL_FLAG(std::string, entry, "",
          "operator addresses of entries (dump, drain: of any process), "
          "ip:port, tried in this order when separated by commas");
ABSL_FLAG(std::string, operator_name, "",
          "who makes the change (default: the user's name)");
ABSL_FLAG(std::string, output, "human", "human or json");
ABSL_FLAG(std::int64_t, revision, -1,
          "apply: write only over this revision (0: only create); "
          "watch: start after it");

namespace {

using deckpitch::ctl::ExitCode;
using deckpitch::ctl::Options;
using deckpitch::ctl::OutputForm;

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> Out;
  std::istringstream Parts(Text);
  for (std::string Part; std::getline(Parts, Part, ',');)
    if (!Part.empty())
      Out.push_back(Part);
  return Out;
}

Options readOptions(const std::vector<char *> &Positional) {
  Options Out;
  Out.m_Positional.assign(Positional.begin() + 1, Positional.end());
  Out.m_Entries = splitAtCommas(absl::GetFlag(FLAGS_entry));
  Out.m_File = absl::GetFlag(FLAGS_file);
  if (Out.m_File.empty())
    Out.m_File = absl::GetFlag(FLAGS_f);
  Out.m_Operator = absl::GetFlag(FLAGS_operator_name);
  const char *User = std::getenv("USER");
  if (Out.m_Operator.empty() && User)
    Out.m_Operator = User;
  const std::int64_t Revision = absl::GetFlag(FLAGS_revision);
  if (Revision >= 0)
    Out.m_Revision = static_cast<std::uint64_t>(Revision);
  if (absl::GetFlag(FLAGS_output) == "json")
    Out.m_Output = OutputForm::Json;
  return Out;
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(
      "operators' tool of deckpitch\n"
      "  apply --file=FILE [--revision=R]\n  get KIND [NAME]\n  status\n"
      "  watch [--revision=R]\n  dump\n  drain\n  check-settings FILE\n"
      "example: deckpitchctl --entry=10.0.0.1:7701 apply --file=pools.json\n"
      "exit codes: 0 success, 1 refused, 2 invalid command line, 3 no answer,\n"
      "  4 another write came first");
  absl::FlagsUsageConfig Usage;
  Usage.version_string = [] {
    return std::string("deckpitchctl " DECKPITCH_VERSION "\n");
  };
  // Abseil's default shows only the flags of a file named after the program.
  Usage.contains_help_flags = [](absl::string_view File) {
    return File.find("src/ctl/") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(Usage);
  const std::vector<char *> Positional = absl::ParseCommandLine(Argc, Argv);
  const std::string Output = absl::GetFlag(FLAGS_output);
  if (Output != "human" && Output != "json") {
    std::cerr << "--output: found " << Output << ", expected human or json\n";
    return static_cast<int>(ExitCode::Usage);
  }
  const ExitCode Code =
      deckpitch::ctl::runCommand(readOptions(Positional), std::cout, std::cerr);
  return static_cast<int>(Code);
}
