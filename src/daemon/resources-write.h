// A conditional write whose outcome is known, even when its answer was lost.
#pragma once

#include "net/platform.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>

namespace deckpitch::daemon {

/// What became of a write.
struct WriteOutcome {
  enum class Kind {
    Done,     ///< took effect: m_Revision
    Conflict, ///< did not; m_Current is what stands there now, if anything
    NotDone,  ///< did not, and may be tried again
    Unknown,  ///< may have taken effect: the platform cannot be asked
  };
  Kind m_Kind = Kind::Unknown;
  Revision m_Revision;
  std::optional<net::PlatformObject> m_Current;
  std::string m_Reason;
};

/// Creates (no revision), replaces or deletes (no JSON) one object. A write
/// without an answer is resolved by reading the object back and comparing its
/// value, which therefore must name the write. Only when the read shows the
/// object as it was is the same conditional write sent again; its precondition
/// lets at most one of the two take effect.
struct WriteRequest {
  std::string m_Kind;
  std::string m_Name;
  std::optional<Revision> m_Expected; ///< none: the object must not exist
  std::optional<std::string> m_Json;  ///< none: deletes
};

boost::asio::awaitable<WriteOutcome> writeResolved(net::Platform &At,
                                                   WriteRequest Request);

} // namespace deckpitch::daemon
