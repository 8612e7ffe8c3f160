// A wait that does not block the thread.
#pragma once

#include "deckpitch/time.h"

#include <boost/asio/awaitable.hpp>

namespace deckpitch::daemon {

/// Suspends the calling coroutine for the given time on its own executor.
boost::asio::awaitable<void> sleepFor(Duration Length);

} // namespace deckpitch::daemon
