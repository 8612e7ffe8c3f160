// A wait that blocks no thread.
#pragma once

#include "deckpitch/time.h"

#include <boost/asio/awaitable.hpp>

namespace deckpitch::daemon {

/// Waits on the loop of the calling coroutine.
boost::asio::awaitable<void> pauseFor(Duration Length);

} // namespace deckpitch::daemon
