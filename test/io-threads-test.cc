#include "net/http.h"
#include "net/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <future>
#include <stdexcept>

using namespace deckpitch;
using namespace deckpitch::net;

namespace {

asio::awaitable<void> neverRespond(HttpRequest, HttpResponder &,
                                   std::promise<void> &RequestReceived) {
  RequestReceived.set_value();
  asio::steady_timer Never(co_await asio::this_coro::executor,
                           std::chrono::hours(1));
  co_await Never.async_wait(asio::use_awaitable);
}

// The coroutine of a connection runs on a worker and co-owns the server, whose
// acceptor belongs to the control loop. Destroying either loop while it still
// has handlers would leave the other's sockets with a destroyed loop.
TEST(IoThreads, DestroysHandlersThatOwnSocketsOfOtherLoops) {
  std::promise<void> RequestReceived;
  {
    IoThreads Threads(2);
    HttpServer Server(Threads, [&](HttpRequest Request, HttpResponder &Answer) {
      return neverRespond(std::move(Request), Answer, RequestReceived);
    });
    const auto Bound = outcomeOf([&] { return Server.listen("127.0.0.1:0"); });
    ASSERT_TRUE(Bound);
    Threads.start();
    CallLimits Limits;
    Limits.m_FirstByte = std::chrono::milliseconds(1);
    EXPECT_FALSE(callAndWait(*Bound, {}, Limits));
    RequestReceived.get_future().wait();
    Threads.stop();
  }
}

/// Sets the flag when it is destroyed.
class DestructionObserver {
public:
  explicit DestructionObserver(bool &Destroyed) : m_Destroyed(Destroyed) {}
  ~DestructionObserver() { m_Destroyed = true; }
  DestructionObserver(const DestructionObserver &) = delete;
  DestructionObserver &operator=(const DestructionObserver &) = delete;

private:
  bool &m_Destroyed;
};

asio::awaitable<void> waitForever(bool &Destroyed,
                                  std::promise<void> &Waiting) {
  const DestructionObserver Held(Destroyed);
  asio::steady_timer Never(co_await asio::this_coro::executor,
                           std::chrono::hours(1));
  asio::post(Never.get_executor(), [&Waiting] { Waiting.set_value(); });
  co_await Never.async_wait(asio::use_awaitable);
}

// Objects that a pending coroutine refers to may be destroyed right after
// stop(), so stop() must destroy the coroutine.
TEST(IoThreads, StopDestroysPendingCoroutines) {
  IoThreads Threads(1);
  Threads.start();
  bool Destroyed = false;
  std::promise<void> Waiting;
  asio::co_spawn(Threads.nextWorker(), waitForever(Destroyed, Waiting),
                 asio::detached);
  Waiting.get_future().wait();
  EXPECT_FALSE(Destroyed);
  Threads.stop();
  EXPECT_TRUE(Destroyed);
}

/// A process ended by an exception of a handler left no trace in its log.
TEST(IoThreadsDeathTest, AnExceptionOfAHandlerIsLoggedBeforeTheEnd) {
  GTEST_FLAG_SET(death_test_style, "threadsafe");
  EXPECT_DEATH(
      {
        setUpLog("p", Severity::Info);
        IoThreads Threads(0);
        asio::post(Threads.control(),
                   [] { throw std::runtime_error("no such key"); });
        Threads.start();
        std::promise<void>().get_future().wait();
      },
      "UnhandledException error=\"no such key\"");
}

} // namespace
