#include "net/process-check.h"

#include "net/address.h"
#include "net/http-connection.h"

#include <array>
#include <utility>

namespace deckpitch::net::detail {

namespace {

using std::chrono::milliseconds;

/// A kernel closes all sockets of a killed process within some milliseconds,
/// also on a busy machine.
constexpr milliseconds SocketCloseTime{50};
/// A reset ends connections that were waiting when the listening socket was
/// closed, and those beyond a server's limit. Only the latter is accepted
/// again.
constexpr int MaxResets = 2;

/// How a connection on which nothing is sent ended.
enum class ProbeEnd {
  Refused, ///< nobody listens
  Reset,   ///< by the kernel, or by a server with too many connections
  Closed,  ///< by the process
  Open,    ///< not at all: the listening socket is still there
  Unknown  ///< it was not established in time
};

struct ProbeResult {
  ProbeEnd m_End = ProbeEnd::Unknown;
  std::string m_Message;
};

bool isReset(const boost::system::error_code &Ec) {
  return Ec == asio::error::connection_reset || Ec == asio::error::broken_pipe;
}

ProbeEnd endOfConnect(const boost::system::error_code &Ec) {
  if (Ec == asio::error::connection_refused)
    return ProbeEnd::Refused;
  return isReset(Ec) ? ProbeEnd::Reset : ProbeEnd::Unknown;
}

/// Opens a connection, ends its sending side, and waits for what the server
/// does.
asio::awaitable<ProbeResult> probe(asio::any_io_executor Executor,
                                   asio::ip::tcp::endpoint Server,
                                   milliseconds Limit, CallCancel *Cancel) {
  Connection Conn(Executor);
  const AbortOnCancel Abort(Cancel, Conn);
  Conn.m_Deadline.expiresAfter(Limit);
  auto [ConnectEc] = co_await Conn.m_Socket.async_connect(Server, UseAwaitable);
  if (ConnectEc)
    co_return ProbeResult{endOfConnect(ConnectEc), ConnectEc.message()};
  boost::system::error_code Ec;
  Conn.m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ec);
  Conn.m_Deadline.expiresAfter(SocketCloseTime);
  std::array<char, 1> Byte{};
  auto [ReadEc, Bytes] =
      co_await Conn.m_Socket.async_read_some(asio::buffer(Byte), UseAwaitable);
  if (Conn.m_Deadline.expired())
    co_return ProbeResult{ProbeEnd::Open, ""};
  if (isReset(ReadEc))
    co_return ProbeResult{ProbeEnd::Reset, ReadEc.message()};
  const bool IsClosed = !ReadEc || ReadEc == asio::error::eof;
  co_return ProbeResult{IsClosed ? ProbeEnd::Closed : ProbeEnd::Unknown,
                        ReadEc.message()};
}

} // namespace

asio::awaitable<Outcome<bool>> checkProcess(asio::any_io_executor Executor,
                                            std::string Address,
                                            milliseconds Limit,
                                            CallCancel *Cancel) {
  const auto Server = parseEndpoint(Address);
  if (!Server)
    co_return Error{ErrorCode::InvalidInput,
                    "'" + Address + "' is not ip:port"};
  for (int Resets = 0; Resets < MaxResets; ++Resets) {
    const ProbeResult Found = co_await probe(Executor, *Server, Limit, Cancel);
    switch (Found.m_End) {
    case ProbeEnd::Refused:
    case ProbeEnd::Unknown:
      co_return Error{ErrorCode::Unavailable, Address + ": " + Found.m_Message,
                      Found.m_End == ProbeEnd::Refused};
    case ProbeEnd::Closed:
    case ProbeEnd::Open:
      co_return true;
    case ProbeEnd::Reset:
      break;
    }
  }
  co_return true;
}

} // namespace deckpitch::net::detail
