#include "net/http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <future>

using namespace deckpitch;
using namespace deckpitch::net;

namespace {

asio::awaitable<void> answerNever(HttpRequest, HttpResponder &,
                                  std::promise<void> &Arrived) {
  Arrived.set_value();
  asio::steady_timer Never(co_await asio::this_coro::executor,
                           std::chrono::hours(1));
  co_await Never.async_wait(asio::use_awaitable);
}

// The coroutine of a connection lives on a worker and owns the server, whose
// acceptor lives on the control loop: neither loop may be destroyed first.
TEST(IoThreads, DestroysHandlersThatOwnSocketsOfOtherLoops) {
  std::promise<void> Arrived;
  {
    IoThreads Threads(2);
    HttpServer Server(Threads, [&](HttpRequest Request, HttpResponder &Answer) {
      return answerNever(std::move(Request), Answer, Arrived);
    });
    const auto Bound = outcomeOf([&] { return Server.listen("127.0.0.1:0"); });
    ASSERT_TRUE(Bound);
    Threads.start();
    CallLimits Limits;
    Limits.m_FirstByte = std::chrono::milliseconds(1);
    EXPECT_FALSE(callAndWait(*Bound, {}, Limits));
    Arrived.get_future().wait();
    Threads.stop();
  }
}

} // namespace
