// The subcommands of the operators' tool.
#pragma once

#include "ctl/operator-client.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::ctl {

/// Exit codes, documented in docs/OPERATORS.md.
enum class ExitCode {
  Good = 0,
  Refused = 1,     ///< the object, file or request has faults
  Usage = 2,       ///< the command line has faults
  Unavailable = 3, ///< no answer, or the answer is that it cannot be done now
  Conflict = 4,    ///< another write came first: read the differences
};

enum class OutputForm { Human, Json };

/// The command line, taken apart.
struct Options {
  std::vector<std::string> m_Words; ///< the subcommand and its arguments
  std::vector<std::string> m_Entries;
  std::string m_Operator; ///< kept with each change
  std::string m_File;
  std::optional<std::uint64_t> m_Revision;
  OutputForm m_Output = OutputForm::Human;
};

/// Runs one subcommand; results go to Out, errors to Err.
ExitCode runCommand(const Options &Given, std::ostream &Out, std::ostream &Err);

} // namespace deckpitch::ctl
