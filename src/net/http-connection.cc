#include "net/http-connection.h"

#include "net/address.h"
#include "net/dead-peer.h"

#include <boost/beast/http.hpp>

#include <utility>

namespace deckpitch::net::detail {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t MaxIdlePerAddress = 256;

} // namespace

bool Connection::isReusable(std::chrono::milliseconds MaxIdle) {
  const auto Idle = BootClock::now() - m_IdleSince;
  const bool IsOld =
      Idle > MaxIdle || (m_ServerKeepAlive && Idle > *m_ServerKeepAlive / 2);
  if (IsOld || m_Buffer.size() != 0)
    return false;
  char Byte = 0;
  boost::system::error_code Ec;
  m_Socket.receive(asio::buffer(&Byte, 1), tcp::socket::message_peek, Ec);
  return Ec == asio::error::would_block;
}

std::unique_ptr<Connection>
ConnectionPool::acquire(const PoolKey &Key, std::chrono::milliseconds MaxIdle) {
  std::lock_guard Lock(m_Mutex);
  auto &Idle = m_Idle[Key];
  while (!Idle.empty()) {
    auto Taken = std::move(Idle.back());
    Idle.pop_back();
    if (Taken->isReusable(MaxIdle))
      return Taken;
  }
  return nullptr;
}

void ConnectionPool::release(const PoolKey &Key,
                             std::unique_ptr<Connection> Returned) {
  Returned->m_Deadline.stop();
  Returned->m_IdleSince = BootClock::now();
  std::lock_guard Lock(m_Mutex);
  auto &Idle = m_Idle[Key];
  if (Idle.size() < MaxIdlePerAddress)
    Idle.push_back(std::move(Returned));
}

AbortOnCancel::AbortOnCancel(CallCancel *Cancel, Connection &Conn)
    : m_Cancel(Cancel) {
  if (m_Cancel)
    m_Cancel->onCancel([&Socket = Conn.m_Socket] {
      boost::system::error_code Ignored;
      Socket.close(Ignored);
    });
}

AbortOnCancel::~AbortOnCancel() {
  if (m_Cancel)
    m_Cancel->onCancel(nullptr);
}

bool isClosedByPeer(const boost::system::error_code &Ec) {
  return Ec == asio::error::eof || Ec == asio::error::connection_reset ||
         Ec == asio::error::broken_pipe || Ec == http::error::end_of_stream ||
         Ec == http::error::partial_message;
}

asio::awaitable<Outcome<std::unique_ptr<Connection>>>
connect(asio::any_io_executor Executor, const std::string &Address,
        std::chrono::milliseconds Limit, CallCancel *Cancel) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return Error{ErrorCode::InvalidInput,
                    "'" + Address + "' is not ip:port"};
  auto NewConn = std::make_unique<Connection>(Executor);
  const AbortOnCancel Abort(Cancel, *NewConn);
  NewConn->m_Deadline.expiresAfter(Limit);
  auto [Ec] = co_await NewConn->m_Socket.async_connect(*Endpoint, UseAwaitable);
  if (NewConn->m_Deadline.expired())
    Ec = beast::error::timeout;
  if (Ec)
    co_return Error{ErrorCode::Unavailable, Address + ": " + Ec.message()};
  NewConn->m_Socket.set_option(tcp::no_delay(true), Ec);
  enableDeadPeerDetection(NewConn->m_Socket);
  NewConn->m_Socket.non_blocking(true, Ec);
  co_return std::move(NewConn);
}

} // namespace deckpitch::net::detail
