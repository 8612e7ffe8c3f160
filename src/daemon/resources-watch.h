// Streams changes of declarations, members and pool status to an operator.
#pragma once

#include "daemon/module.h"

#include <boost/asio/awaitable.hpp>

namespace deckpitch::daemon {

/// Answers GET /v1/watch?since=R with one JSON event per line until the client
/// disconnects or the process drains.
boost::asio::awaitable<void> streamChanges(const Process &In,
                                           net::HttpRequest Request,
                                           net::HttpResponder &Answer);

} // namespace deckpitch::daemon
