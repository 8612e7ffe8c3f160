// Human-readable and JSON output of the operators' tool.
#pragma once

#include "ctl/operator-client.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace deckpitch::ctl {

/// Formats JSON with line breaks and an indentation of two spaces.
std::string prettyJson(const boost::json::value &Value);

/// Formats the result as "pools/chat: updated, revision 7", followed by the
/// differences if it is a conflict.
std::string describe(const Resource &Wanted, const ApplyReport &Report);

/// Returns the same as one JSON object.
boost::json::value toJson(const Resource &Wanted, const ApplyReport &Report);

/// Formats the body of GET /v1/status, a line for each pool, data centre and
/// member.
std::string describeStatus(const boost::json::value &Status);

/// Formats an event of GET /v1/watch as one line; empty for a bookmark.
std::string describeEvent(const boost::json::value &Event);

/// Formats the body of GET /v1/resources/{kind}, a line for each item.
std::string describeList(const boost::json::value &List);

std::string_view nameOf(ApplyResult Result);

} // namespace deckpitch::ctl
