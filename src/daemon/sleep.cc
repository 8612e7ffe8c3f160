#include "daemon/sleep.h"

#include <boost/asio.hpp>

namespace deckpitch::daemon {

namespace asio = boost::asio;

asio::awaitable<void> sleepFor(Duration Length) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(Length);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace deckpitch::daemon
