// Connections of the HTTP client and the pool in which they wait for the next
// call. Private to the client: includes Boost.Beast.
#pragma once

#include "deckpitch/error.h"
#include "net/boot-clock.h"
#include "net/http.h"
#include "net/socket-deadline.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::net::detail {

inline constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
inline constexpr std::size_t MinReadBytes = std::size_t{4} * 1024;

/// A connection to a server, with the bytes that were received on it and not
/// read yet.
struct Connection {
  explicit Connection(const asio::any_io_executor &Executor)
      : m_Socket(Executor) {}

  /// Returns false if the server closed the connection, sent data that belongs
  /// to no request, or may be about to close it, which is assumed after half of
  /// its announced idle timeout.
  bool isReusable(std::chrono::milliseconds MaxIdle);

  asio::ip::tcp::socket m_Socket;
  SocketDeadline m_Deadline{m_Socket};
  boost::beast::flat_buffer m_Buffer;
  std::size_t m_ReadBytes = MinReadBytes; ///< grows while reads fill the buffer
  bool m_HasCarriedRequest = false;
  BootClock::time_point m_IdleSince;
  std::optional<std::chrono::milliseconds>
      m_ServerKeepAlive; ///< announced idle timeout
};

/// Identifies the idle connections of one event loop to one server.
struct PoolKey {
  asio::execution_context *m_Loop;
  std::string m_Address;
  friend auto operator<=>(const PoolKey &, const PoolKey &) = default;
};

/// Idle connections by event loop and server. Thread-safe.
class ConnectionPool {
public:
  /// Takes a connection that can be reused and was idle for no longer than
  /// MaxIdle; null if there is none.
  std::unique_ptr<Connection> acquire(const PoolKey &Key,
                                      std::chrono::milliseconds MaxIdle);
  void release(const PoolKey &Key, std::unique_ptr<Connection> Returned);

private:
  std::mutex m_Mutex;
  std::map<PoolKey, std::vector<std::unique_ptr<Connection>>> m_Idle;
};

/// Lets CallCancel close the connection that the call currently uses.
class AbortOnCancel {
public:
  AbortOnCancel(CallCancel *Cancel, Connection &Conn);
  ~AbortOnCancel();
  AbortOnCancel(const AbortOnCancel &) = delete;
  AbortOnCancel &operator=(const AbortOnCancel &) = delete;

private:
  CallCancel *m_Cancel;
};

/// Whether an error shows that the server closed the connection.
bool isClosedByPeer(const boost::system::error_code &Ec);

/// Opens a connection to "ip:port". Errors: InvalidInput if the address is no
/// such pair, else Unavailable.
asio::awaitable<Outcome<std::unique_ptr<Connection>>>
connect(asio::any_io_executor Executor, const std::string &Address,
        std::chrono::milliseconds Limit, CallCancel *Cancel);

} // namespace deckpitch::net::detail
