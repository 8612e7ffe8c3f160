#include "net/socket-deadline.h"

#include <boost/asio/steady_timer.hpp>

namespace deckpitch::net {

namespace asio = boost::asio;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto NoDeadline = SteadyClock::time_point::max();
/// Cancellation is repeated, since a single one may fall between two operations
/// and end neither.
constexpr std::chrono::milliseconds CancelRetryInterval{10};

} // namespace

struct SocketDeadline::State : std::enable_shared_from_this<State> {
  explicit State(asio::ip::tcp::socket &Socket)
      : m_Socket(&Socket), m_Timer(Socket.get_executor()) {}

  void arm(SteadyClock::time_point At) {
    m_ArmedAt = At;
    m_Timer.expires_at(At);
    m_Timer.async_wait(
        [Self = shared_from_this()](const boost::system::error_code &Ec) {
          if (!Ec)
            Self->onTimer();
        });
  }

  void onTimer() {
    m_ArmedAt = NoDeadline;
    if (!m_Socket || m_Deadline == NoDeadline)
      return;
    const auto Now = SteadyClock::now();
    if (Now < m_Deadline)
      return arm(m_Deadline);
    m_Expired = true;
    boost::system::error_code Ignored;
    m_Socket->cancel(Ignored);
    arm(Now + CancelRetryInterval);
  }

  asio::ip::tcp::socket *m_Socket; ///< null once its owner is destroyed
  asio::steady_timer m_Timer;
  SteadyClock::time_point m_Deadline = NoDeadline;
  SteadyClock::time_point m_ArmedAt = NoDeadline;
  bool m_Expired = false;
};

SocketDeadline::SocketDeadline(asio::ip::tcp::socket &Socket)
    : m_State(std::make_shared<State>(Socket)) {}

SocketDeadline::~SocketDeadline() {
  stop();
  m_State->m_Socket = nullptr;
}

void SocketDeadline::expiresAfter(SteadyClock::duration Time) {
  State &Own = *m_State;
  Own.m_Expired = false;
  Own.m_Deadline = SteadyClock::now() + Time;
  if (Own.m_Deadline < Own.m_ArmedAt)
    Own.arm(Own.m_Deadline);
}

void SocketDeadline::pause() { m_State->m_Deadline = NoDeadline; }

void SocketDeadline::stop() {
  pause();
  if (m_State->m_ArmedAt == NoDeadline)
    return;
  m_State->m_ArmedAt = NoDeadline;
  m_State->m_Timer.cancel();
}

bool SocketDeadline::expired() const { return m_State->m_Expired; }

} // namespace deckpitch::net
