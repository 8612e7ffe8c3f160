// Methods that callers may send, at the HTTP client and the HTTP server.
#include "net/address.h"
#include "net/http.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using namespace deckpitch;
using namespace deckpitch::net;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr std::size_t LongMethodBytes = 8'000;
constexpr std::size_t HugeValueBytes = std::size_t{100} * 1024;

/// Answers with the method, target and body that it has received.
class Mirror {
public:
  Mirror()
      : m_Server(m_Threads,
                 [](HttpRequest Request,
                    HttpResponder &Answer) -> asio::awaitable<void> {
                   HttpResponse Out;
                   Out.m_Body = Request.m_Method + " " + Request.m_Target +
                                " " + Request.m_Body;
                   co_await Answer.send(std::move(Out));
                 }),
        m_Address(
            *outcomeOf([this] { return m_Server.listen("127.0.0.1:0"); })) {
    m_Threads.start();
  }

  const std::string &address() const { return m_Address; }

private:
  IoThreads m_Threads{1};
  HttpServer m_Server;
  std::string m_Address;
};

/// Accepts one connection, and sends one response to all that it receives.
class OneResponse {
public:
  explicit OneResponse(std::string Sent)
      : m_Thread([this, Sent = std::move(Sent)] {
          boost::system::error_code Ec;
          tcp::socket Socket = m_Acceptor.accept(Ec);
          std::string Received;
          if (!Ec)
            asio::read_until(Socket, asio::dynamic_buffer(Received), "\r\n\r\n",
                             Ec);
          if (!Ec)
            asio::write(Socket, asio::buffer(Sent), Ec);
          while (!Ec) // until the client closes the connection
            asio::read(Socket, asio::dynamic_buffer(Received),
                       asio::transfer_at_least(1), Ec);
        }) {}
  ~OneResponse() { ::shutdown(m_Acceptor.native_handle(), SHUT_RDWR); }
  OneResponse(const OneResponse &) = delete;
  OneResponse &operator=(const OneResponse &) = delete;

  std::string address() const {
    return formatEndpoint(m_Acceptor.local_endpoint());
  }

private:
  asio::io_context m_Io;
  tcp::acceptor m_Acceptor{m_Io, {asio::ip::address_v4::loopback(), 0}};
  std::jthread m_Thread;
};

/// The client threw for a TRACE with a body, after its caller had registered
/// the call.
TEST(HttpMethods, AreSentUnchangedWithTheirBody) {
  const Mirror Server;
  const std::vector<std::string> Methods{
      "TRACE", "CONNECT", "OPTIONS", "GET", "DELETE",
      "PATCH", "PURGE",   "get",     "X-Y", std::string(LongMethodBytes, 'M')};
  for (const std::string &Method : Methods)
    for (const std::string Body : {"", "x"}) {
      SCOPED_TRACE(Method.substr(0, 10) + " " + Body);
      const auto Answer =
          callAndWait(Server.address(), HttpRequest{Method, "/a", {}, Body});
      ASSERT_TRUE(Answer) << Answer.error().m_Message;
      std::string Expected = Method;
      Expected.append(" /a ").append(Body);
      EXPECT_EQ(Answer->m_Body, Expected);
    }
}

/// A header that cannot be sent is an error of the call, before anything is
/// sent.
TEST(HttpMethods, HeaderThatCannotBeSentIsAnError) {
  const Mirror Server;
  HttpRequest Request;
  Request.m_Headers.add("X", std::string(HugeValueBytes, 'x'));
  const auto Answer = callAndWait(Server.address(), std::move(Request));
  ASSERT_FALSE(Answer);
  EXPECT_EQ(Answer.error().m_Code, ErrorCode::InvalidInput);
}

/// The client waited for the body whose length a response to HEAD announces,
/// and which never comes.
TEST(HttpMethods, ResponseToHeadHasNoBody) {
  const std::vector<std::string> Fields{"Content-Length: 5\r\n",
                                        "Transfer-Encoding: chunked\r\n", ""};
  for (const std::string &Field : Fields) {
    SCOPED_TRACE(Field);
    const OneResponse Server("HTTP/1.1 200 OK\r\n" + Field + "\r\n");
    const auto Answer = callAndWait(Server.address(), {"HEAD", "/", {}, {}},
                                    {.m_FirstByte = 2s, .m_ReadTimeout = 2s});
    ASSERT_TRUE(Answer) << Answer.error().m_Message;
    EXPECT_EQ(Answer->m_Status, 200U);
    EXPECT_EQ(Answer->m_Body, "");
  }
}

/// A server's response to HEAD had a body, which its client took for the
/// beginning of the next response.
TEST(HttpMethods, ServerSendsNoBodyToHead) {
  const Mirror Server;
  asio::io_context Io;
  tcp::socket Socket(Io);
  Socket.connect(*parseEndpoint(Server.address()));
  const std::string Sent = "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n"
                           "GET / HTTP/1.1\r\nHost: h\r\n"
                           "Connection: close\r\n\r\n";
  asio::write(Socket, asio::buffer(Sent));
  std::string Received;
  boost::system::error_code Ec;
  asio::read(Socket, asio::dynamic_buffer(Received), Ec);
  const std::size_t HeadEnd = Received.find("\r\n\r\n");
  ASSERT_NE(HeadEnd, std::string::npos);
  EXPECT_TRUE(Received.substr(HeadEnd + 4).starts_with("HTTP/1.1 200"))
      << Received;
}

} // namespace
