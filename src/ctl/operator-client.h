// A client of the operators' interface (docs/INTERFACES.md).
#pragma once

#include "ctl/resource.h"
#include "net/http.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::ctl {

/// Sends one request. Unavailable means that it had no effect, Timeout that it
/// may have had one.
using Caller = std::function<Outcome<net::HttpResponse>(net::HttpRequest)>;

/// Returns a Caller that sends each request to the first reachable entry, with
/// the operator's name attached.
Caller makeEntryCaller(std::vector<std::string> Entries, std::string Operator);

enum class ApplyResult {
  Created,
  Updated,
  Unchanged,
  Conflict,    ///< another write came first; nothing was changed
  Refused,     ///< the object is invalid; nothing was changed
  Unavailable, ///< nothing was changed
  Unknown,     ///< no answer, and reading the object back failed too
};

struct ApplyReport {
  ApplyResult m_Result = ApplyResult::Unknown;
  std::uint64_t m_Revision = 0; ///< the revision in force; 0: unknown
  std::string m_Message;        ///< the error, if any
  std::vector<Difference> m_Differences;

  friend bool operator==(const ApplyReport &, const ApplyReport &) = default;
};

/// Writes the object unless it was changed since it was read, or since the
/// expected revision (0: it must not exist). If the answer is lost, reads the
/// object back; the conditional write is repeated only while the revision is
/// unchanged.
ApplyReport applyResource(const Caller &Call, const Resource &Wanted,
                          std::optional<std::uint64_t> Expected);

/// Reads one object. Errors: NotFound, Unavailable, Timeout, CorruptData.
Outcome<Resource> readResource(const Caller &Call, const std::string &Kind,
                               const std::string &Name);

/// Converts an answer that is not 2xx to an error with the text of its body.
Error errorOf(const net::HttpResponse &Answer);

} // namespace deckpitch::ctl
