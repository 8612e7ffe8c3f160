// Tells an agent or engine that nobody waits for a request any more.
#pragma once

#include "daemon/module.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace deckpitch::daemon {

/// Asks the process at that address to cancel the request; best effort.
boost::asio::awaitable<void> cancelRequest(Process &In, std::string Address,
                                           std::string RequestId);

} // namespace deckpitch::daemon
