// Header fields that are larger than Beast accepts, where the declared limit
// would allow them.
#include "net/address.h"
#include "net/http.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <cstddef>
#include <string>
#include <utility>

using namespace deckpitch;
using namespace deckpitch::net;
using asio::ip::tcp;

namespace {

constexpr std::size_t KiB = 1024;

class HugeHeader : public testing::Test {
protected:
  HugeHeader() { m_Threads.start(); }

  static HttpLimits limits() {
    HttpLimits Out;
    Out.m_HeaderBytes = 200 * KiB;
    return Out;
  }
  /// Sends the bytes on a connection of their own, and returns the beginning of
  /// the response.
  std::string statusLineOf(const std::string &Sent) {
    asio::io_context Io;
    tcp::socket Socket(Io);
    Socket.connect(*parseEndpoint(m_Address));
    boost::system::error_code Ec;
    asio::write(Socket, asio::buffer(Sent), Ec);
    std::string Received;
    asio::read(Socket, asio::dynamic_buffer(Received), Ec);
    return Received.substr(0, Received.find('\r'));
  }

  IoThreads m_Threads{1};
  HttpServer m_Server{
      m_Threads,
      [](HttpRequest, HttpResponder &Answer) -> asio::awaitable<void> {
        HttpResponse Done;
        co_await Answer.send(std::move(Done));
      },
      limits()};
  const std::string m_Address =
      *outcomeOf([this] { return m_Server.listen("127.0.0.1:0"); });
};

const std::string Begin = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n";

/// One such field ended the process.
TEST_F(HugeHeader, IsRefused) {
  for (const std::size_t Bytes : {60 * KiB, 64 * KiB, 70 * KiB, 150 * KiB}) {
    const std::string Field = "X: " + std::string(Bytes, 'x') + "\r\n";
    EXPECT_TRUE(
        statusLineOf(Begin + Field + "\r\n").starts_with("HTTP/1.1 431"))
        << Bytes;
  }
  EXPECT_EQ(
      statusLineOf(Begin + "X: " + std::string(50 * KiB, 'x') + "\r\n\r\n"),
      "HTTP/1.1 200 OK");
}

/// One such field in the trailers ended the process.
TEST_F(HugeHeader, InTrailersIsRefused) {
  for (const std::size_t Bytes : {60 * KiB, 64 * KiB, 70 * KiB, 150 * KiB}) {
    const std::string Line = statusLineOf(
        Begin + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX: " +
        std::string(Bytes, 'x') + "\r\n\r\n");
    EXPECT_NE(Line, "") << Bytes;
  }
  EXPECT_EQ(statusLineOf(Begin + "\r\n"), "HTTP/1.1 200 OK");
}

} // namespace
