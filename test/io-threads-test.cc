#include "net/http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
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

/// Notes its own end in what it refers to.
class Witness {
public:
  explicit Witness(bool &Ended) : m_Ended(Ended) {}
  ~Witness() { m_Ended = true; }
  Witness(const Witness &) = delete;
  Witness &operator=(const Witness &) = delete;

private:
  bool &m_Ended;
};

asio::awaitable<void> waitWith(bool &Ended, std::promise<void> &Waits) {
  const Witness Held(Ended);
  asio::steady_timer Never(co_await asio::this_coro::executor,
                           std::chrono::hours(1));
  asio::post(Never.get_executor(), [&Waits] { Waits.set_value(); });
  co_await Never.async_wait(asio::use_awaitable);
}

// What a waiting coroutine refers to may go right after the loops have ended.
TEST(IoThreads, StopEndsCoroutinesThatStillWait) {
  IoThreads Threads(1);
  Threads.start();
  bool Ended = false;
  std::promise<void> Waits;
  asio::co_spawn(Threads.nextWorker(), waitWith(Ended, Waits), asio::detached);
  Waits.get_future().wait();
  EXPECT_FALSE(Ended);
  Threads.stop();
  EXPECT_TRUE(Ended);
}

} // namespace
