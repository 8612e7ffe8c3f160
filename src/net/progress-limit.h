// A time limit for what a connection waits for.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>

namespace deckpitch::net {

/// Cancels a socket's operations when they take too long. Moving the limit
/// forward is a store: its one timer is set anew only when it runs out, since
/// setting and cancelling a timer for each read and write costs more than
/// either. Used on the socket's loop; the socket outlives it.
class ProgressLimit {
public:
  explicit ProgressLimit(boost::asio::ip::tcp::socket &Socket);
  ~ProgressLimit();
  ProgressLimit(const ProgressLimit &) = delete;
  ProgressLimit &operator=(const ProgressLimit &) = delete;

  void expiresAfter(std::chrono::steady_clock::duration Time);
  /// No limit until the next one is set.
  void pause();
  /// As pause(), and leaves nothing pending on the loop.
  void stop();
  /// The limit that was set last has passed.
  bool passed() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace deckpitch::net
