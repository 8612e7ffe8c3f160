// Connection of a client to the HTTP server, and the reading of requests on it.
// Private to the server: includes Boost.Beast.
#pragma once

#include "net/clients.h"
#include "net/http.h"
#include "net/socket-deadline.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <utility>

namespace deckpitch::net::detail {

/// Used on the event loop of its socket only, but for m_IsBusy.
struct ServerConnection {
  explicit ServerConnection(asio::ip::tcp::socket Socket)
      : m_Socket(std::move(Socket)) {}

  /// Ends the connection in favour of another client's: at once, or after the
  /// answer in progress.
  void evict();
  /// Refuses the request that is being received, if any.
  void refuseUnread();
  /// Whether bytes after the current request have arrived.
  bool hasMore() const;
  /// Charges the client for the received bytes that the buffer holds, and for
  /// others. False if that is refused.
  bool holdBuffered(std::size_t Others) {
    return m_Session->hold(m_Buffer.capacity() + Others);
  }

  asio::ip::tcp::socket m_Socket;
  SocketDeadline m_Deadline{m_Socket};
  boost::beast::flat_buffer m_Buffer; ///< received and not parsed yet
  std::optional<ClientSession> m_Session;
  std::atomic<bool> m_IsBusy{false}; ///< a request has begun
  bool m_IsReceiving = false;        ///< the request that has begun
  bool m_IsAnswering = false;
  bool m_IsEvicted = false;
  bool m_IsStopping = false; ///< receives no request to its end any more
};

/// A request that was not received completely.
struct ReceiveError {
  ClientRefusal m_Reason = ClientRefusal::Malformed;
  unsigned m_Status = 0; ///< of the answer; 0: the client has gone
  std::string m_Message;
};

struct ReceivedRequest {
  HttpRequest m_Request;
  bool m_KeepAlive = false;
  bool m_IsHttp11 = false;
  std::optional<ReceiveError> m_Error;
};

/// Waits for the first bytes of a request. False if none came in time.
asio::awaitable<bool> waitForRequest(ServerConnection &Conn,
                                     std::chrono::milliseconds IdleTimeout);

/// Reads a request within the limits. Trailers are discarded. The body is not
/// read if it is not small and AcceptsBody, if given, refuses the head.
asio::awaitable<ReceivedRequest>
receiveRequest(ServerConnection &Conn, HttpLimits Limits,
               const std::function<bool(const HttpRequest &)> &AcceptsBody);

} // namespace deckpitch::net::detail
