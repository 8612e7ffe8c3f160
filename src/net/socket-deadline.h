// A timeout for the pending operations of a socket.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>

namespace deckpitch::net {

/// Cancels the pending operations of a socket at a deadline. Extending the
/// deadline only stores a time point, and the single timer is rearmed when it
/// fires, since setting and cancelling a timer for each read and write costs
/// more than the operation itself. Must be used on the event loop of the
/// socket, which must outlive it.
class SocketDeadline {
public:
  explicit SocketDeadline(boost::asio::ip::tcp::socket &Socket);
  ~SocketDeadline();
  SocketDeadline(const SocketDeadline &) = delete;
  SocketDeadline &operator=(const SocketDeadline &) = delete;

  /// Sets the deadline, relative to now.
  void expiresAfter(std::chrono::steady_clock::duration Time);
  /// Clears the deadline until the next expiresAfter().
  void pause();
  /// Clears the deadline and cancels the timer, so that nothing remains pending
  /// on the event loop.
  void stop();
  /// Returns true if the deadline set last has expired.
  bool expired() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace deckpitch::net
