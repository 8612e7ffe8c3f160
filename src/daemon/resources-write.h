// Conditional writes to the platform whose outcome is determined even if the
// response is lost.
#pragma once

#include "net/platform.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace deckpitch::daemon {

/// The outcome of a write.
struct WriteOutcome {
  enum class Kind {
    Done,     ///< took effect at m_Revision
    Conflict, ///< had no effect; m_Current is the current object, if any
    NotDone,  ///< had no effect and may be retried
    Unknown,  ///< may have taken effect; reading the object back failed
  };
  Kind m_Kind = Kind::Unknown;
  Revision m_Revision;
  std::optional<net::PlatformObject> m_Current;
  std::string m_Reason;
};

/// A write of one object: create (no revision), replace, or delete (no JSON).
struct WriteRequest {
  std::string m_Kind;
  std::string m_Name;
  std::optional<Revision> m_Expected; ///< none: the object must not exist
  std::optional<std::string> m_Json;  ///< none: deletes
};

/// Writes one object. If the response is lost, reads the object back and
/// compares its value, which therefore must contain a unique identifier of the
/// write. The same conditional write is repeated only if the object is
/// unchanged; the precondition lets at most one of the two take effect.
boost::asio::awaitable<WriteOutcome> writeWithReadBack(net::Platform &At,
                                                       WriteRequest Request);

} // namespace deckpitch::daemon
