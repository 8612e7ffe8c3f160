// What a server does with the requests of its last moments.
#include "harness.h"
#include "net/http.h"
#include "raw-connection.h"

#include <boost/asio.hpp>
#include <gmock/gmock.h>

#include <atomic>
#include <future>
#include <memory>

using namespace deckpitch;
using namespace deckpitch::net;
using deckpitch::test::eventually;
using deckpitch::test::RawConnection;
using namespace std::chrono_literals;
using testing::AllOf;
using testing::EndsWith;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

namespace {

const std::string Request = "GET /now HTTP/1.1\r\n\r\n";
const std::string Close = "Connection: close";
/// The body of each answer.
const std::string Done = "done";

/// A server whose only event loop can be held.
class HttpServerStop : public testing::Test {
protected:
  HttpServerStop() {
    const auto Bound =
        outcomeOf([&] { return m_Server.listen("127.0.0.1:0"); });
    EXPECT_TRUE(Bound);
    m_Address = *Bound;
    m_Threads.start();
  }
  ~HttpServerStop() override {
    m_IsReleased = true;
    m_Server.stop();
    m_Threads.stop();
  }

  /// Answers at once, but for "/wait", which is answered after m_IsReleased.
  asio::awaitable<void> answer(HttpRequest Asked, HttpResponder &Answer) {
    ++m_Received;
    asio::steady_timer Pause(co_await asio::this_coro::executor);
    while (Asked.path() == "/wait" && !m_IsReleased) {
      Pause.expires_after(2ms);
      co_await Pause.async_wait(asio::use_awaitable);
    }
    HttpResponse Response;
    Response.m_Body = Done;
    co_await Answer.send(std::move(Response));
  }

  std::unique_ptr<RawConnection> keptConnection() {
    auto Out = std::make_unique<RawConnection>(m_Address);
    Out->send(Request);
    EXPECT_THAT(Out->readUntil(Done), Not(HasSubstr(Close)));
    return Out;
  }

  /// Runs the function while the event loop is held.
  template <typename Function> void whileHeld(Function Meanwhile) {
    std::promise<void> Held;
    std::promise<void> Release;
    asio::post(m_Threads.control(), [&Held, Released = Release.get_future()]() {
      Held.set_value();
      Released.wait();
    });
    Held.get_future().wait();
    Meanwhile();
    Release.set_value();
  }

  std::atomic<int> m_Received{0};
  std::atomic<bool> m_IsReleased{false};
  IoThreads m_Threads{0};
  HttpServer m_Server{m_Threads,
                      [this](HttpRequest Asked, HttpResponder &Answer) {
                        return answer(std::move(Asked), Answer);
                      }};
  std::string m_Address;
};

/// The answer to a request that was in progress announced a kept connection,
/// and the next request on it met the close.
TEST_F(HttpServerStop, AnAnswerInProgressAnnouncesTheClose) {
  RawConnection Client(m_Address);
  Client.send("GET /wait HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return m_Received == 1; }));
  m_Server.closeAfterAnswers();
  m_IsReleased = true;
  EXPECT_THAT(Client.readToEnd(), HasSubstr(Close));
}

/// The second request was read and not answered.
TEST_F(HttpServerStop, RequestsThatArriveTogetherAreAllAnswered) {
  const auto Client = keptConnection();
  m_Server.closeAfterAnswers();
  Client->send(Request + Request);
  // Both answers may arrive at once.
  const std::string Answers = Client->readToEnd();
  const std::size_t Second = Answers.find(Done) + Done.size();
  EXPECT_THAT(Answers.substr(0, Second), Not(HasSubstr(Close)));
  EXPECT_THAT(Answers.substr(Second), AllOf(HasSubstr(Close), EndsWith(Done)));
  EXPECT_EQ(m_Received, 3);
}

/// A request that had arrived on a connection that was not accepted yet, or on
/// an idle one, got a reset.
TEST_F(HttpServerStop, RequestsThatHaveArrivedAtItsEndAreAnswered) {
  const auto Kept = keptConnection();
  std::unique_ptr<RawConnection> New;
  whileHeld([&] {
    m_Server.drain();
    New = std::make_unique<RawConnection>(m_Address);
    New->send(Request);
    Kept->send(Request);
  });
  EXPECT_THAT(New->readToEnd(), HasSubstr(Done));
  EXPECT_THAT(Kept->readToEnd(), HasSubstr(Done));
}

/// A request that was still being received was cut without an answer.
TEST_F(HttpServerStop, ARequestThatIsBeingReceivedIsRefused) {
  RawConnection HalfHead(m_Address);
  HalfHead.send("GET /now HT");
  RawConnection HalfBody(m_Address);
  HalfBody.send("POST /now HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
  ASSERT_TRUE(eventually([&] { return m_Server.openRequests() == 2; }));
  m_Server.closeAfterAnswers();
  m_Server.refuseUnread();
  for (RawConnection *Each : {&HalfHead, &HalfBody}) {
    const std::string Answer = Each->readToEnd();
    EXPECT_THAT(Answer, StartsWith("HTTP/1.1 503"));
    EXPECT_THAT(Answer, HasSubstr(Close));
    EXPECT_THAT(Answer, HasSubstr("Retry-After: 0.050"));
  }
  EXPECT_EQ(m_Received, 0);
}

/// Requests that arrive whole are handled until the end, and others do not hold
/// it up.
TEST_F(HttpServerStop, LaterRequestsAreHandledOnlyIfTheyArriveAtOnce) {
  const auto Whole = keptConnection();
  const auto Part = keptConnection();
  m_Server.closeAfterAnswers();
  m_Server.refuseUnread();
  Whole->send(Request);
  EXPECT_THAT(Whole->readToEnd(), HasSubstr(Done));
  Part->send("GET /now HT");
  EXPECT_THAT(Part->readToEnd(), StartsWith("HTTP/1.1 503"));
  EXPECT_TRUE(eventually([&] { return m_Server.openRequests() == 0; }));
}

} // namespace
