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
  Success = 0,
  Refused = 1,     ///< the object, file or request is invalid
  Usage = 2,       ///< the command line is invalid
  Unavailable = 3, ///< no answer, or the entry cannot do it now
  Conflict = 4,    ///< another write came first; the output lists differences
};

enum class OutputForm { Human, Json };

/// The parsed command line.
struct Options {
  std::vector<std::string> m_Positional; ///< the subcommand and its arguments
  std::vector<std::string> m_Entries;
  std::string m_Operator; ///< stored with each change as its author
  std::string m_File;
  std::optional<std::uint64_t> m_Revision;
  OutputForm m_Output = OutputForm::Human;
};

/// Runs one subcommand. Writes results to Out and errors to Err.
ExitCode runCommand(const Options &Given, std::ostream &Out, std::ostream &Err);

} // namespace deckpitch::ctl
