// Speaks the operators' interface (docs/INTERFACES.md).
#pragma once

#include "ctl/resource.h"
#include "net/http.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::ctl {

/// Makes one call; Unavailable: not done, Timeout: may have been done.
using Caller = std::function<Outcome<net::HttpResponse>(net::HttpRequest)>;

/// Calls the first of the entries that can be reached, in the operator's name.
Caller callEntries(std::vector<std::string> Entries, std::string Operator);

enum class ApplyResult {
  Created,
  Updated,
  Unchanged,
  Conflict,    ///< another write came first: nothing was changed
  Refused,     ///< the object has faults: nothing was changed
  Unavailable, ///< nothing was changed
  Unknown,     ///< no answer, and reading back failed as well
};

struct ApplyReport {
  ApplyResult m_Result = ApplyResult::Unknown;
  std::uint64_t m_Revision = 0; ///< in force; 0: not known
  std::string m_Message;        ///< what an error says
  std::vector<Difference> m_Differences;

  friend bool operator==(const ApplyReport &, const ApplyReport &) = default;
};

/// Writes the object if nobody changed it since it was read, or since the
/// expected revision (0: it must not exist). A lost answer is resolved by
/// reading back; the conditional write is repeated only while the revision
/// has not moved.
ApplyReport applyResource(const Caller &Call, const Resource &Wanted,
                          std::optional<std::uint64_t> Expected);

/// Reads one object. Errors: NotFound, Unavailable, Timeout, CorruptData.
Outcome<Resource> readResource(const Caller &Call, const std::string &Kind,
                               const std::string &Name);

/// Turns an answer that is not 2xx into an error with the sender's text.
Error errorOf(const net::HttpResponse &Answer);

} // namespace deckpitch::ctl
