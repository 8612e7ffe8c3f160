#include "harness.h"
#include "net/http.h"
#include "raw-connection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include <atomic>

using namespace deckpitch;
using namespace deckpitch::net;
using deckpitch::test::eventually;
using deckpitch::test::RawConnection;
using namespace std::chrono_literals;

namespace {

HttpLimits smallLimits() {
  HttpLimits Limits;
  Limits.m_HeaderBytes = 1024;
  Limits.m_BodyBytes = 1000;
  Limits.m_HeaderTimeout = 100ms;
  return Limits;
}

class HttpServerContract : public testing::Test {
protected:
  void SetUp() override {
    const auto Bound =
        outcomeOf([&] { return m_Server.listen("127.0.0.1:0"); });
    ASSERT_TRUE(Bound);
    m_Address = *Bound;
    m_Threads.start();
  }
  void TearDown() override {
    m_Released = true;
    m_Server.stop();
    m_Threads.stop();
  }

  asio::awaitable<void> answer(HttpRequest Request, HttpResponder &Answer) {
    if (Request.path() == "/stream")
      co_await stream(Answer);
    else if (Request.path() == "/broken")
      co_await breakOff(Answer);
    else if (Request.path() == "/wait")
      co_await waitForRelease(Answer);
    else if (Request.path() == "/throw")
      throw std::runtime_error("no memory");
    else if (Request.path() != "/silent")
      co_await sendText(Answer, Request.m_Method + ":" + Request.m_Body);
  }

  asio::awaitable<void> sendText(HttpResponder &Answer, std::string Text) {
    HttpResponse Response;
    Response.m_Body = std::move(Text);
    co_await Answer.send(std::move(Response));
  }

  asio::awaitable<void> stream(HttpResponder &Answer) {
    HttpHeaders None;
    co_await Answer.begin(200, std::move(None));
    co_await Answer.write("one");
    co_await Answer.write("two");
    co_await Answer.end();
  }

  asio::awaitable<void> breakOff(HttpResponder &Answer) {
    HttpHeaders None;
    co_await Answer.begin(200, std::move(None));
    co_await Answer.write("one");
    Answer.abort();
  }

  asio::awaitable<void> waitForRelease(HttpResponder &Answer) {
    Answer.onDisconnect([this] { ++m_Disconnects; });
    ++m_Waiting;
    asio::steady_timer Pause(co_await asio::this_coro::executor);
    while (!m_Released) {
      Pause.expires_after(1ms);
      co_await Pause.async_wait(asio::use_awaitable);
    }
    co_await sendText(Answer, "released");
  }

  std::atomic<int> m_Disconnects{0};
  std::atomic<int> m_Waiting{0};
  std::atomic<bool> m_Released{false};
  IoThreads m_Threads{2};
  HttpServer m_Server{m_Threads,
                      [this](HttpRequest Request, HttpResponder &Answer) {
                        return answer(std::move(Request), Answer);
                      },
                      smallLimits()};
  std::string m_Address;
};

TEST_F(HttpServerContract, KeepsAConnectionForSeveralRequests) {
  RawConnection Client(m_Address);
  for (int I = 0; I < 3; ++I) {
    Client.send(
        "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi");
    EXPECT_NE(Client.readUntil("POST:hi"), "");
  }
}

TEST_F(HttpServerContract, AnswersPipelinedRequestsInOrder) {
  RawConnection Client(m_Address);
  Client.send("POST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\n1"
              "POST /echo HTTP/1.1\r\nContent-Length: 1\r\n\r\n2");
  EXPECT_NE(Client.readUntil("POST:2").find("POST:1"), std::string::npos);
}

TEST_F(HttpServerContract, TerminatesAChunkedStream) {
  RawConnection Client(m_Address);
  Client.send("GET /stream HTTP/1.1\r\n\r\n");
  const std::string Read = Client.readUntil("0\r\n\r\n");
  EXPECT_NE(Read.find("3\r\none\r\n3\r\ntwo\r\n"), std::string::npos) << Read;
}

struct RawCase {
  const char *m_Name;
  std::string m_Sent;
  const char *m_Answer; ///< expected start of the status line
};

class HttpServerInput : public HttpServerContract,
                        public testing::WithParamInterface<RawCase> {};

// Whatever a client sends, the server responds, closes the connection and keeps
// serving others.
TEST_P(HttpServerInput, GetsADefinedStatusWithoutAffectingOthers) {
  RawConnection Client(m_Address);
  Client.send(GetParam().m_Sent);
  const std::string Read = Client.readToEnd();
  EXPECT_EQ(Read.rfind(GetParam().m_Answer, 0), 0U) << Read;
  const auto Other = callAndWait(m_Address, {});
  ASSERT_TRUE(Other);
  EXPECT_EQ(Other->m_Status, 200U);
  EXPECT_TRUE(eventually([&] { return m_Server.openRequests() == 0; }));
}

INSTANTIATE_TEST_SUITE_P(
    Table, HttpServerInput,
    testing::Values(
        RawCase{"ChunkedBody",
                "POST / HTTP/1.1\r\nConnection: close\r\n"
                "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
                "HTTP/1.1 200 "},
        RawCase{"NeverEndingHeader", "GET / HTTP/1.1\r\nA: b", "HTTP/1.1 408 "},
        RawCase{"NeverEndingBody",
                "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhi",
                "HTTP/1.1 408 "},
        RawCase{"OversizedBody",
                "POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n" +
                    std::string(1001, 'x'),
                "HTTP/1.1 413 "},
        RawCase{"OversizedChunkedBody",
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
                    std::string(2000, 'x') + "\r\n0\r\n\r\n",
                "HTTP/1.1 413 "},
        RawCase{"OversizedHeader",
                "GET / HTTP/1.1\r\nA: " + std::string(2000, 'x') + "\r\n\r\n",
                "HTTP/1.1 431 "},
        RawCase{"Garbage", std::string("\x00\xff\x16\x03 rubbish\r\n\r\n", 16),
                "HTTP/1.1 400 "},
        RawCase{"TwoLengths",
                "POST / HTTP/1.1\r\nContent-Length: 1\r\n"
                "Content-Length: 2\r\n\r\nhi",
                "HTTP/1.1 400 "},
        RawCase{"NegativeLength",
                "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
                "HTTP/1.1 400 "},
        RawCase{"HandlerThrows",
                "GET /throw HTTP/1.1\r\nConnection: close\r\n\r\n",
                "HTTP/1.1 500 "},
        RawCase{"HandlerGivesNoAnswer",
                "GET /silent HTTP/1.1\r\nConnection: close\r\n\r\n",
                "HTTP/1.1 500 "}),
    [](const auto &Info) { return std::string(Info.param.m_Name); });

/// A client that knows no chunks took their sizes for the body.
TEST_F(HttpServerContract, AnHttp10ClientGetsAStreamWithoutChunks) {
  RawConnection Client(m_Address);
  Client.send("GET /stream HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  const std::string Answer = Client.readToEnd();
  EXPECT_TRUE(Answer.ends_with("\r\n\r\nonetwo")) << Answer;
  EXPECT_EQ(Answer.find("chunked"), std::string::npos) << Answer;
}

/// Without chunks, a stream that is broken off looked complete.
TEST_F(HttpServerContract, AnHttp10ClientSeesThatAStreamBrokeOff) {
  RawConnection Client(m_Address);
  Client.send("GET /broken HTTP/1.0\r\n\r\n");
  EXPECT_TRUE(Client.endsWithReset());
}

TEST_F(HttpServerContract, AnHttp11ClientSeesThatAStreamBrokeOff) {
  RawConnection Client(m_Address);
  Client.send("GET /broken HTTP/1.1\r\n\r\n");
  const std::string Answer = Client.readToEnd();
  EXPECT_TRUE(Answer.ends_with("one\r\n")) << Answer;
}

TEST_F(HttpServerContract, ReportsAClientThatDisconnects) {
  RawConnection Client(m_Address);
  Client.send("GET /wait HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return m_Waiting == 1; }));
  Client.close();
  EXPECT_TRUE(eventually([&] { return m_Disconnects == 1; }));
}

// The interim response shows that the server has detected the half-close.
TEST_F(HttpServerContract, AHalfClosedClientGetsTheCompleteResponse) {
  RawConnection Client(m_Address);
  Client.send("GET /wait HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return m_Waiting == 1; }));
  Client.closeSending();
  EXPECT_NE(Client.readUntil("HTTP/1.1 100 Continue\r\n\r\n"), "");
  m_Released = true;
  EXPECT_NE(Client.readToEnd().find("released"), std::string::npos);
  EXPECT_EQ(m_Disconnects, 0);
  EXPECT_TRUE(eventually([&] { return m_Server.openRequests() == 0; }));
}

TEST_F(HttpServerContract, ReportsAHalfClosedClientThatDisconnectsLater) {
  RawConnection Client(m_Address);
  Client.send("GET /wait HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return m_Waiting == 1; }));
  Client.closeSending();
  EXPECT_NE(Client.readUntil("HTTP/1.1 100 Continue\r\n\r\n"), "");
  EXPECT_EQ(m_Disconnects, 0);
  Client.close();
  EXPECT_TRUE(eventually([&] { return m_Disconnects == 1; }));
}

TEST_F(HttpServerContract, AHalfClosedHttp10ClientGetsNoInterimResponse) {
  RawConnection Client(m_Address);
  Client.send("GET /wait HTTP/1.0\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return m_Waiting == 1; }));
  Client.closeSending();
  m_Released = true;
  const std::string Read = Client.readToEnd();
  EXPECT_EQ(Read.rfind("HTTP/1.1 200 ", 0), 0U) << Read;
  EXPECT_NE(Read.find("released"), std::string::npos) << Read;
}

// A client that trickles bytes makes progress but must not hold the connection:
// the timeout applies to the complete request.
TEST_F(HttpServerContract, TimesOutASlowSenderOfHeaders) {
  RawConnection Client(m_Address);
  EXPECT_TRUE(eventually([&] {
    Client.send("A");
    return Client.hasAnswer();
  }));
  EXPECT_EQ(Client.readToEnd().rfind("HTTP/1.1 408 ", 0), 0U);
  EXPECT_TRUE(eventually([&] { return m_Server.openRequests() == 0; }));
  const auto Other = callAndWait(m_Address, {});
  ASSERT_TRUE(Other);
  EXPECT_EQ(Other->m_Status, 200U);
}

TEST_F(HttpServerContract, CompletesPendingResponsesWhenDraining) {
  RawConnection Client(m_Address);
  Client.send("GET /wait HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(eventually([&] { return m_Waiting == 1; }));
  m_Server.drain();
  EXPECT_TRUE(
      eventually([&] { return !callAndWait(m_Address, {}).has_value(); }));
  m_Released = true;
  const std::string Read = Client.readToEnd();
  EXPECT_NE(Read.find("released"), std::string::npos) << Read;
  EXPECT_EQ(m_Disconnects, 0);
}

TEST_F(HttpServerContract, ClosesIdleConnectionsWhenDraining) {
  RawConnection Client(m_Address);
  Client.send("GET /echo HTTP/1.1\r\n\r\n");
  EXPECT_NE(Client.readUntil("GET:"), "");
  m_Server.drain();
  EXPECT_EQ(Client.readToEnd(), "");
}

/// A kept connection handled its next request by the limits that were in force
/// when its last answer ended.
TEST(HttpServerLimits, ApplyToTheNextRequestOfAKeptConnection) {
  IoThreads Threads(0);
  HttpServer Server(
      Threads,
      [](HttpRequest, HttpResponder &Answer) -> asio::awaitable<void> {
        HttpResponse Response;
        Response.m_Body = "read";
        co_await Answer.send(std::move(Response));
      },
      smallLimits());
  const auto Bound = outcomeOf([&] { return Server.listen("127.0.0.1:0"); });
  ASSERT_TRUE(Bound);
  Threads.start();
  const auto SendTo = [](RawConnection &Client, std::size_t Bytes) {
    Client.send("POST / HTTP/1.1\r\nContent-Length: " + std::to_string(Bytes) +
                "\r\n\r\n" + std::string(Bytes, 'x'));
    return Client.readUntil("read");
  };
  RawConnection Kept(*Bound);
  EXPECT_NE(SendTo(Kept, 1'000), "");
  HttpLimits Raised = smallLimits();
  Raised.m_BodyBytes = 2'000;
  Server.setLimits(Raised);
  EXPECT_TRUE(eventually([&] {
    RawConnection New(*Bound);
    return SendTo(New, 1'500) != "";
  }));
  EXPECT_NE(SendTo(Kept, 1'500), "");
  Server.stop();
  Threads.stop();
}

} // namespace
