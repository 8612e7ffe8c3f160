// What the operators' tool prints for people.
#pragma once

#include "ctl/operator-client.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace deckpitch::ctl {

/// JSON with line breaks and two spaces of indentation.
std::string prettyJson(const boost::json::value &Value);

/// "pools/chat: updated, revision 7", and the differences of a conflict.
std::string describe(const Resource &Wanted, const ApplyReport &Report);

/// The same as one JSON object.
boost::json::value toJson(const Resource &Wanted, const ApplyReport &Report);

/// The words of GET /v1/status: a line for each pool, data centre and member.
std::string describeStatus(const boost::json::value &Status);

/// One line for one event of GET /v1/watch; empty for a bookmark.
std::string describeEvent(const boost::json::value &Event);

/// One line for each item of GET /v1/resources/{kind}.
std::string describeList(const boost::json::value &List);

std::string_view nameOf(ApplyResult Result);

} // namespace deckpitch::ctl
