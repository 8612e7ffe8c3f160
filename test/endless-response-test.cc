// Responses that never end, as the HTTP client meets them.
#include "net/address.h"
#include "net/http.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using namespace deckpitch;
using namespace deckpitch::net;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

constexpr std::size_t MiB = std::size_t{1024} * 1024;
/// Bound on what a server can send: the 1 MiB that the client reads, and what
/// the kernels buffer.
constexpr std::size_t MaxSentBytes = 16 * MiB;
constexpr CallLimits Limits{.m_ConnectTimeout = 10s,
                            .m_FirstByte = 60s,
                            .m_ReadTimeout = 60s,
                            .m_BodyTimeout = 60s,
                            .m_BodyBytes = MiB};

/// Reads a request and sends its response's beginning, and then the same bytes
/// until the client closes the connection.
class EndlessServer {
public:
  EndlessServer(std::string Begin, std::string Repeated,
                std::chrono::milliseconds Pause = 0ms)
      : m_Thread([this, Sent = std::move(Begin), Repeated = std::move(Repeated),
                  Pause]() mutable {
          boost::system::error_code Ec;
          tcp::socket Socket = m_Acceptor.accept(Ec);
          std::string Request;
          if (!Ec)
            asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n",
                             Ec);
          while (!Ec) {
            m_SentBytes += asio::write(Socket, asio::buffer(Sent), Ec);
            Sent = Repeated;
            std::this_thread::sleep_for(Pause);
          }
        }) {}
  /// Shuts the acceptor down, so that the thread ends without a connection.
  ~EndlessServer() { ::shutdown(m_Acceptor.native_handle(), SHUT_RDWR); }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  std::string address() const {
    return formatEndpoint(m_Acceptor.local_endpoint());
  }
  std::size_t sentBytes() const { return m_SentBytes; }

private:
  asio::io_context m_Io;
  tcp::acceptor m_Acceptor{m_Io, {asio::ip::address_v4::loopback(), 0}};
  std::atomic<std::size_t> m_SentBytes{0};
  std::jthread m_Thread;
};

constexpr std::size_t RepeatedBytes = std::size_t{64} * 1024;

/// Repeats the unit to 64 KiB.
std::string repeat(const std::string &Unit) {
  std::string Out;
  while (Out.size() < RepeatedBytes)
    Out += Unit;
  return Out;
}

const std::string Chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A response that begins once and goes on with the same bytes.
struct EndlessResponse {
  std::string m_Name;
  std::string m_Begin;
  std::string m_Repeated;
};

std::vector<EndlessResponse> endlessResponses() {
  return {
      {"field", "HTTP/1.1 200 OK\r\nX: ", repeat("x")},
      {"fields", "HTTP/1.1 200 OK\r\n", repeat("X: y\r\n")},
      {"interim", "", repeat("HTTP/1.1 100 Continue\r\n\r\n")},
      {"body", "HTTP/1.1 200 OK\r\n\r\n", repeat("x")},
      {"chunks", Chunked, repeat("1\r\nx\r\n")},
      {"chunk extension", Chunked + "1;x=", repeat("x")},
      {"trailers", Chunked + "1\r\na\r\n0\r\n", repeat("X: y\r\n")},
  };
}

/// The buffer of such a response grew until the process had no memory left.
TEST(EndlessResponse, EndsAtABoundOnItsBytes) {
  for (const EndlessResponse &Each : endlessResponses()) {
    SCOPED_TRACE(Each.m_Name);
    EndlessServer Server(Each.m_Begin, Each.m_Repeated);
    const auto Answer =
        callAndWait(Server.address(), HttpRequest{"POST", "/", {}, {}}, Limits);
    EXPECT_FALSE(Answer);
    EXPECT_LT(Server.sentBytes(), MaxSentBytes);
  }
}

/// Each byte that arrived gave the response the whole time anew.
TEST(EndlessResponse, EndsInTimeThoughItsBytesKeepArriving) {
  CallLimits Short = Limits;
  Short.m_FirstByte = 300ms;
  Short.m_ReadTimeout = 300ms;
  Short.m_BodyTimeout = 300ms;
  const std::vector<EndlessResponse> Slow{
      {"head", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"body", "HTTP/1.1 200 OK\r\n\r\n", "x"},
      {"chunks", Chunked, "1\r\nx\r\n"},
      {"chunk extension", Chunked + "1;x=", "x"},
      {"trailers", Chunked + "1\r\na\r\n0\r\nX: ", "x"},
  };
  for (const EndlessResponse &Each : Slow) {
    SCOPED_TRACE(Each.m_Name);
    EndlessServer Server(Each.m_Begin, Each.m_Repeated, 20ms);
    const auto Answer =
        callAndWait(Server.address(), HttpRequest{"POST", "/", {}, {}}, Short);
    ASSERT_FALSE(Answer);
    EXPECT_EQ(Answer.error().m_Code, ErrorCode::Timeout);
  }
}

/// An interim response was taken for the response.
TEST(EndlessResponse, InterimResponsesComeBeforeTheFinalOne) {
  EndlessServer Server("HTTP/1.1 100 Continue\r\n\r\n"
                       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                       "surplus");
  const auto Answer =
      callAndWait(Server.address(), HttpRequest{"POST", "/", {}, {}}, Limits);
  ASSERT_TRUE(Answer);
  EXPECT_EQ(Answer->m_Status, 200U);
  EXPECT_EQ(Answer->m_Body, "ok");
}

} // namespace
