// Socket options that close connections to unreachable instances.
#pragma once

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/socket_base.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <chrono>

namespace deckpitch::net {

/// Time without acknowledgement after which a connection fails. An instance
/// that lost power or is partitioned sends no reset, and the system's default
/// timeout is many minutes. This one is longer than any pause of a live link
/// and shorter than the timeouts of callers.
inline constexpr std::chrono::milliseconds DeadPeerTimeout{3'000};

/// Enables keep-alive probes and a limit on unacknowledged data for a TCP
/// socket.
template <typename Socket> void enableDeadPeerDetection(Socket &Target) {
  using boost::asio::detail::socket_option::integer;
  boost::system::error_code Ignored; // Failure only delays the detection.
  Target.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
  Target.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(2), Ignored);
  Target.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(1), Ignored);
  Target.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(2), Ignored);
  Target.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                        static_cast<int>(DeadPeerTimeout.count())),
                    Ignored);
}

} // namespace deckpitch::net
