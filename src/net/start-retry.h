// Repeats a step of a start that may succeed a little later.
#pragma once

#include "deckpitch/error.h"
#include "net/boot-clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace deckpitch::net {

/// Opens ports, again after each failure that may mend itself. There is no last
/// attempt: whoever starts an ended process again would meet the same failure.
/// Must be used on the event loop that runs the attempts.
class StartRetry {
public:
  /// Opens what is not open yet. Errors: Unavailable if another attempt may
  /// succeed.
  using Attempt = std::function<Result<void>()>;
  /// Receives the error that no further attempt mends, or nothing.
  using OnEnd = std::function<void(const std::optional<Error> &)>;

  StartRetry(boost::asio::io_context &Io, std::string Ports)
      : m_Timer(Io), m_Ports(std::move(Ports)) {}

  void run(Attempt Open, OnEnd Call);
  void stop();

private:
  void tryOnce();
  void logDelay(const std::string &Error);

  boost::asio::steady_timer m_Timer;
  std::string m_Ports; ///< of which kind; for the log
  Attempt m_Open;
  OnEnd m_OnEnd;
  std::uint64_t m_Attempts = 0;
  std::string m_LastLogged;
  BootClock::time_point m_NextLog{};
  bool m_IsStopped = false;
};

} // namespace deckpitch::net
