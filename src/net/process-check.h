// Tells whether the process that listens at an address still runs.
#pragma once

#include "deckpitch/error.h"
#include "net/http.h"

#include <boost/asio.hpp>

#include <chrono>
#include <string>

namespace deckpitch::net::detail {

/// Checks whether the process that listens at "ip:port" runs, by a connection
/// on which nothing is sent: only a running process closes it in its turn. One
/// that was killed has its listening socket closed by its kernel, though not
/// before its connections. Returns once this is known, after 50 ms at the
/// latest since the connection was accepted. Errors: Unavailable, with
/// m_IsPeerEnd if the process is gone, else if nothing is known.
asio::awaitable<Outcome<bool>> checkProcess(asio::any_io_executor Executor,
                                            std::string Address,
                                            std::chrono::milliseconds Limit,
                                            CallCancel *Cancel);

} // namespace deckpitch::net::detail
