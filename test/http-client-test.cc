#include "net/address.h"
#include "net/http.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <poll.h>

#include <atomic>
#include <functional>
#include <thread>

using namespace deckpitch;
using namespace deckpitch::net;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

/// Accepts one connection for each step and runs the step on it, on a thread of
/// its own.
class ScriptedServer {
public:
  using Step = std::function<void(tcp::socket &)>;

  explicit ScriptedServer(std::vector<Step> Steps)
      : m_Thread([this, Steps = std::move(Steps)] {
          for (const Step &Each : Steps) {
            boost::system::error_code Ec;
            tcp::socket Socket = m_Acceptor.accept(Ec);
            if (Ec)
              return;
            Each(Socket);
          }
        }) {}
  /// Shuts the acceptor down, so that the thread ends even if a step never got
  /// a connection.
  ~ScriptedServer() { ::shutdown(m_Acceptor.native_handle(), SHUT_RDWR); }

  std::string address() const {
    return formatEndpoint(m_Acceptor.local_endpoint());
  }

private:
  asio::io_context m_Io;
  tcp::acceptor m_Acceptor{m_Io, tcp::endpoint(tcp::v4(), 0)};
  std::jthread m_Thread;
};

void readHeaderAndRespond(tcp::socket &Socket, const std::string &Bytes);

/// The order in which a kernel closes the sockets of a killed process.
enum class ClosedFirst { Listener, Connection };

/// Reads one request and sends the bytes. Then it ends as a process that is
/// killed: its kernel closes the listening socket, and the connection without a
/// reset.
class KilledServer {
public:
  KilledServer(std::string Sent, ClosedFirst First)
      : m_Thread([Sent = std::move(Sent), First,
                  Listening = std::move(m_Acceptor)]() mutable {
          {
            tcp::socket Socket = Listening.accept();
            if (First == ClosedFirst::Listener)
              Listening.close();
            readHeaderAndRespond(Socket, Sent);
          }
          // Once the client has connected again.
          pollfd Pending{Listening.native_handle(), POLLIN, 0};
          if (First == ClosedFirst::Connection)
            ::poll(&Pending, 1, MaxWaitMs);
          Listening.close();
        }) {}

  const std::string &address() const { return m_Address; }

private:
  static constexpr int MaxWaitMs = 10'000; ///< only a failing test waits for it

  asio::io_context m_Io;
  tcp::acceptor m_Acceptor{m_Io, tcp::endpoint(tcp::v4(), 0)};
  std::string m_Address = formatEndpoint(m_Acceptor.local_endpoint());
  std::jthread m_Thread;
};

/// Reads the header of one request and sends the bytes.
void readHeaderAndRespond(tcp::socket &Socket, const std::string &Bytes) {
  boost::system::error_code Ec;
  std::string Header;
  asio::read_until(Socket, asio::dynamic_buffer(Header), "\r\n\r\n", Ec);
  asio::write(Socket, asio::buffer(Bytes), Ec);
}

/// Waits until the client closes the connection.
void waitUntilClosed(tcp::socket &Socket) {
  boost::system::error_code Ec;
  std::array<char, 64> Sink;
  while (!Ec)
    Socket.read_some(asio::buffer(Sink), Ec);
}

const std::string CompleteResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// Makes the calls one after another on one event loop, so that connections are
/// reused.
std::vector<Outcome<HttpResponse>>
callSequentially(const std::string &Address,
                 const std::vector<std::string> &Methods) {
  asio::io_context Io;
  HttpClient Client;
  std::vector<Outcome<HttpResponse>> Answers;
  asio::co_spawn(
      Io,
      [&]() -> asio::awaitable<void> {
        for (const std::string &Method : Methods) {
          HttpRequest Request;
          Request.m_Method = Method;
          Answers.push_back(co_await Client.call(Address, std::move(Request)));
        }
      },
      asio::detached);
  Io.run();
  return Answers;
}

void respondThenCloseOnNextRequest(tcp::socket &Socket) {
  readHeaderAndRespond(Socket, CompleteResponse);
  readHeaderAndRespond(Socket, "");
}

TEST(HttpClientContract, RetriesAGetOnAPooledConnectionThatWasClosed) {
  ScriptedServer Server(
      {respondThenCloseOnNextRequest, [](tcp::socket &Socket) {
         readHeaderAndRespond(Socket, CompleteResponse);
       }});
  const auto Answers = callSequentially(Server.address(), {"GET", "GET"});
  ASSERT_TRUE(Answers[0]);
  ASSERT_TRUE(Answers[1]);
  EXPECT_EQ(Answers[1]->m_Body, "ok");
}

/// The second GET had reached the server, though the connection for its retry
/// was refused: it was reported as never sent.
TEST(HttpClientContract, ARefusedRetryMayStillHaveReachedTheServer) {
  asio::io_context Io;
  tcp::acceptor Acceptor(Io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const std::string Address = formatEndpoint(Acceptor.local_endpoint());
  const std::jthread Server([&Acceptor] {
    tcp::socket Socket = Acceptor.accept();
    readHeaderAndRespond(Socket, CompleteResponse);
    std::string Second;
    asio::read_until(Socket, asio::dynamic_buffer(Second), "\r\n\r\n");
    Acceptor.close();
  });
  const auto Answers = callSequentially(Address, {"GET", "GET"});
  ASSERT_TRUE(Answers[0]);
  ASSERT_FALSE(Answers[1]);
  EXPECT_EQ(Answers[1].error().m_Code, ErrorCode::Timeout);
}

TEST(HttpClientContract, NeverRetriesAPost) {
  ScriptedServer Server(
      {respondThenCloseOnNextRequest, [](tcp::socket &Socket) {
         readHeaderAndRespond(Socket, CompleteResponse);
       }});
  const auto Answers = callSequentially(Server.address(), {"POST", "POST"});
  ASSERT_TRUE(Answers[0]);
  ASSERT_FALSE(Answers[1]);
  EXPECT_EQ(Answers[1].error().m_Code, ErrorCode::Timeout);
}

// A response that arrives late must not be taken for that of the next request.
// Surplus bytes after the first response stand for it.
TEST(HttpClientContract, DropsAConnectionWithDataAfterTheResponse) {
  const std::string Late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
  ScriptedServer Server({[&](tcp::socket &Socket) {
                           readHeaderAndRespond(Socket,
                                                CompleteResponse + Late);
                           waitUntilClosed(Socket);
                         },
                         [](tcp::socket &Socket) {
                           readHeaderAndRespond(Socket, CompleteResponse);
                         }});
  const auto Answers = callSequentially(Server.address(), {"POST", "POST"});
  ASSERT_TRUE(Answers[0]);
  ASSERT_TRUE(Answers[1]);
  EXPECT_EQ(Answers[0]->m_Body, "ok");
  EXPECT_EQ(Answers[1]->m_Body, "ok");
}

TEST(HttpClientContract, ReturnsBufferedChunksAsOnePiece) {
  ScriptedServer Server({[](tcp::socket &Socket) {
    readHeaderAndRespond(Socket,
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "2\r\nab\r\n1;x=y\r\nc\r\n3\r\ndef\r\n0\r\n\r\n");
  }});
  asio::io_context Io;
  HttpClient Client;
  std::vector<Outcome<std::string>> Pieces;
  asio::co_spawn(
      Io,
      [&]() -> asio::awaitable<void> {
        HttpRequest Request;
        auto Opened =
            co_await Client.open(Server.address(), std::move(Request));
        for (int I = 0; I < 3; ++I)
          Pieces.push_back(co_await (*Opened)->read());
      },
      asio::detached);
  Io.run();
  ASSERT_TRUE(Pieces[0]);
  EXPECT_EQ(*Pieces[0], "abcdef");
  EXPECT_EQ(*Pieces[1], "");
  EXPECT_EQ(*Pieces[2], "");
}

TEST(HttpClientContract, ReadsChunksSplitAtAnyByte) {
  const std::string Sent =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
  for (std::size_t SplitAt = 1; SplitAt < Sent.size(); ++SplitAt) {
    ScriptedServer Server({[&](tcp::socket &Socket) {
      boost::system::error_code Ignored;
      readHeaderAndRespond(Socket, Sent.substr(0, SplitAt));
      std::this_thread::sleep_for(1ms);
      asio::write(Socket, asio::buffer(Sent.substr(SplitAt)), Ignored);
    }});
    const auto Answer = callAndWait(Server.address(), {});
    ASSERT_TRUE(Answer) << SplitAt;
    EXPECT_EQ(Answer->m_Body, "abc") << SplitAt;
  }
}

TEST(HttpClientContract, ReadsABodyDelimitedByConnectionClose) {
  ScriptedServer Server({[](tcp::socket &Socket) {
    readHeaderAndRespond(
        Socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end");
  }});
  const auto Answer = callAndWait(Server.address(), {});
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->m_Body, "to the end");
}

class BodyDelimitedByClose : public testing::TestWithParam<ClosedFirst> {};

/// A crash ends connections as the end of such a body does. A kernel may close
/// the listening socket later, so that a connection is still accepted.
TEST_P(BodyDelimitedByClose, IsNotCompleteAfterACrash) {
  KilledServer Server("HTTP/1.1 200 OK\r\n\r\nto the", GetParam());
  const auto Answer = callAndWait(Server.address(), {});
  ASSERT_FALSE(Answer);
  EXPECT_EQ(Answer.error().m_Code, ErrorCode::Timeout);
  EXPECT_TRUE(Answer.error().m_IsPeerEnd);
}

INSTANTIATE_TEST_SUITE_P(Order, BodyDelimitedByClose,
                         testing::Values(ClosedFirst::Listener,
                                         ClosedFirst::Connection),
                         [](const auto &Info) {
                           return Info.param == ClosedFirst::Listener
                                      ? "ListenerFirst"
                                      : "ConnectionFirst";
                         });

/// A server with too many connections resets further ones, and runs.
TEST(HttpClientContract, BodyDelimitedByCloseOfABusyServerIsComplete) {
  const auto Reset = [](tcp::socket &Socket) {
    Socket.set_option(asio::socket_base::linger(true, 0));
  };
  ScriptedServer Server({[](tcp::socket &Socket) {
                           readHeaderAndRespond(
                               Socket, "HTTP/1.1 200 OK\r\n\r\nto the end");
                         },
                         Reset, Reset});
  const auto Answer = callAndWait(Server.address(), {});
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->m_Body, "to the end");
}

/// Nothing is sent on the connection that shows that the server runs.
TEST(HttpClientContract, BodyDelimitedByCloseCostsNoAdditionalRequest) {
  std::string Received = "not connected";
  {
    ScriptedServer Server(
        {[](tcp::socket &Socket) {
           readHeaderAndRespond(Socket, "HTTP/1.1 200 OK\r\n\r\nto the end");
         },
         [&](tcp::socket &Socket) {
           boost::system::error_code Ec;
           Received.clear();
           asio::read(Socket, asio::dynamic_buffer(Received), Ec);
         }});
    EXPECT_TRUE(callAndWait(Server.address(), {}));
  }
  EXPECT_EQ(Received, "");
}

TEST(HttpClientContract, CancelEndsACallAwaitingItsResponse) {
  std::atomic<bool> RequestReceived{false};
  ScriptedServer Server({[&](tcp::socket &Socket) {
    readHeaderAndRespond(Socket, "");
    RequestReceived = true;
    waitUntilClosed(Socket);
  }});
  asio::io_context Io;
  HttpClient Client;
  CallCancel Cancel;
  std::vector<Outcome<std::unique_ptr<HttpStream>>> Ended;
  asio::co_spawn(
      Io,
      [&]() -> asio::awaitable<void> {
        HttpRequest Request;
        CallLimits Limits;
        Limits.m_FirstByte = 1h;
        Ended.push_back(co_await Client.open(
            Server.address(), std::move(Request), Limits, &Cancel));
      },
      asio::detached);
  while (!RequestReceived)
    Io.run_one_for(1ms);
  Cancel.cancel();
  Io.run();
  ASSERT_EQ(Ended.size(), 1U);
  ASSERT_FALSE(Ended[0]);
  EXPECT_EQ(Ended[0].error().m_Code, ErrorCode::Timeout);
}

TEST(HttpClientContract, ACancelledCallIsNotSent) {
  asio::io_context Io;
  HttpClient Client;
  CallCancel Cancel;
  Cancel.cancel();
  std::vector<Outcome<std::unique_ptr<HttpStream>>> Ended;
  asio::co_spawn(
      Io,
      [&]() -> asio::awaitable<void> {
        HttpRequest Request;
        CallLimits Limits;
        Ended.push_back(co_await Client.open("127.0.0.1:1", std::move(Request),
                                             Limits, &Cancel));
      },
      asio::detached);
  Io.run();
  ASSERT_FALSE(Ended.at(0));
  EXPECT_EQ(Ended[0].error().m_Code, ErrorCode::Unavailable);
}

TEST(HttpClientContract, ReportsUnavailableWhenNothingListens) {
  const auto Answer = callAndWait("127.0.0.1:1", {});
  ASSERT_FALSE(Answer);
  EXPECT_EQ(Answer.error().m_Code, ErrorCode::Unavailable);
}

struct AnswerCase {
  const char *m_Name;
  std::string m_Sent;
  bool m_IsPeerEnd = true;
};

class HttpClientAnswers : public testing::TestWithParam<AnswerCase> {};

// The server may have processed the request, so a truncated or invalid response
// must be reported as Timeout, neither as success nor as Unavailable.
TEST_P(HttpClientAnswers, AreNotAcceptedAsComplete) {
  ScriptedServer Server({[](tcp::socket &Socket) {
    readHeaderAndRespond(Socket, GetParam().m_Sent);
  }});
  const auto Answer = callAndWait(Server.address(), {});
  ASSERT_FALSE(Answer);
  EXPECT_EQ(Answer.error().m_Code, ErrorCode::Timeout);
  EXPECT_EQ(Answer.error().m_IsPeerEnd, GetParam().m_IsPeerEnd);
}

INSTANTIATE_TEST_SUITE_P(
    Table, HttpClientAnswers,
    testing::Values(
        AnswerCase{"ClosedWithoutAnswer", ""},
        AnswerCase{"ClosedInHeader", "HTTP/1.1 200 OK\r\nContent-Le"},
        AnswerCase{"ClosedInBody",
                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"},
        AnswerCase{"ClosedInChunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                     "chunked\r\n\r\n2\r\nab\r\n"},
        AnswerCase{"Garbage", "SSH-2.0-OpenSSH\r\n", false}),
    [](const auto &Info) { return std::string(Info.param.m_Name); });

TEST(HttpClientContract, TimesOutWhenAResponseStalls) {
  ScriptedServer Server({[](tcp::socket &Socket) {
    readHeaderAndRespond(Socket,
                         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    waitUntilClosed(Socket);
  }});
  CallLimits Limits;
  Limits.m_ReadTimeout = 20ms;
  const auto Answer = callAndWait(Server.address(), {}, Limits);
  ASSERT_FALSE(Answer);
  EXPECT_EQ(Answer.error().m_Code, ErrorCode::Timeout);
  EXPECT_FALSE(Answer.error().m_IsPeerEnd);
}

TEST(HttpClientContract, CancelEndsAPendingReadAndClosesTheConnection) {
  ScriptedServer Server({[](tcp::socket &Socket) {
    readHeaderAndRespond(Socket,
                         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    waitUntilClosed(Socket);
  }});
  asio::io_context Io;
  HttpClient Client;
  std::vector<Outcome<std::string>> Pieces;
  asio::co_spawn(
      Io,
      [&]() -> asio::awaitable<void> {
        HttpRequest Request;
        auto Opened =
            co_await Client.open(Server.address(), std::move(Request));
        HttpStream &Body = **Opened;
        Pieces.push_back(co_await Body.read());
        asio::post(Io, [&Body] { Body.cancel(); });
        Pieces.push_back(co_await Body.read());
      },
      asio::detached);
  Io.run();
  ASSERT_EQ(Pieces.size(), 2U);
  EXPECT_EQ(*Pieces[0], "ab");
  EXPECT_FALSE(Pieces[1]);
}

} // namespace
