// Cancels a request at an agent or engine whose caller has disconnected.
#pragma once

#include "daemon/module.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace deckpitch::daemon {

/// Asks the process at Address to cancel the request. Errors are ignored.
boost::asio::awaitable<void> cancelRequest(Process &In, std::string Address,
                                           std::string RequestId);

} // namespace deckpitch::daemon
