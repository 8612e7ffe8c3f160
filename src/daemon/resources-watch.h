// Streams declarations and status to an operator as they change.
#pragma once

#include "daemon/module.h"

#include <boost/asio/awaitable.hpp>

namespace deckpitch::daemon {

/// Answers GET /v1/watch?since=R with one JSON event a line until the client
/// goes or the process leaves.
boost::asio::awaitable<void> streamChanges(const Process &In,
                                           net::HttpRequest Request,
                                           net::HttpResponder &Answer);

} // namespace deckpitch::daemon
