// Makes connections to machines that vanished end by themselves.
#pragma once

#include <boost/asio/detail/socket_option.hpp>
#include <boost/asio/socket_base.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <chrono>

namespace deckpitch::net {

/// A machine without power or behind a partition sends no reset, so what was
/// sent to it would wait for the system's own limit of many minutes. Longer
/// than any pause of a live link, shorter than the patience of callers.
inline constexpr std::chrono::milliseconds DeadPeerTimeout{3'000};

template <typename Socket> void noticeDeadPeer(Socket &Of) {
  using boost::asio::detail::socket_option::integer;
  boost::system::error_code Ignored; // Without the options, only slower.
  Of.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
  Of.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(2), Ignored);
  Of.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(1), Ignored);
  Of.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(2), Ignored);
  Of.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                    static_cast<int>(DeadPeerTimeout.count())),
                Ignored);
}

} // namespace deckpitch::net
