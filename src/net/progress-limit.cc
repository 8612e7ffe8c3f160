#include "net/progress-limit.h"

#include <boost/asio/steady_timer.hpp>

namespace deckpitch::net {

namespace asio = boost::asio;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto Never = SteadyClock::time_point::max();
/// One cancellation may come between two operations and end neither.
constexpr std::chrono::milliseconds CancelAgainAfter{10};

} // namespace

struct ProgressLimit::State : std::enable_shared_from_this<State> {
  explicit State(asio::ip::tcp::socket &Socket)
      : m_Socket(&Socket), m_Timer(Socket.get_executor()) {}

  void arm(SteadyClock::time_point At) {
    m_ArmedAt = At;
    m_Timer.expires_at(At);
    m_Timer.async_wait(
        [Self = shared_from_this()](const boost::system::error_code &Ec) {
          if (!Ec)
            Self->ranOut();
        });
  }

  void ranOut() {
    m_ArmedAt = Never;
    if (!m_Socket || m_At == Never)
      return;
    const auto Now = SteadyClock::now();
    if (Now < m_At)
      return arm(m_At);
    m_Passed = true;
    boost::system::error_code Ignored;
    m_Socket->cancel(Ignored);
    arm(Now + CancelAgainAfter);
  }

  asio::ip::tcp::socket *m_Socket; ///< null when its owner is gone
  asio::steady_timer m_Timer;
  SteadyClock::time_point m_At = Never;
  SteadyClock::time_point m_ArmedAt = Never;
  bool m_Passed = false;
};

ProgressLimit::ProgressLimit(asio::ip::tcp::socket &Socket)
    : m_State(std::make_shared<State>(Socket)) {}

ProgressLimit::~ProgressLimit() {
  stop();
  m_State->m_Socket = nullptr;
}

void ProgressLimit::expiresAfter(SteadyClock::duration Time) {
  State &Own = *m_State;
  Own.m_Passed = false;
  Own.m_At = SteadyClock::now() + Time;
  if (Own.m_At < Own.m_ArmedAt)
    Own.arm(Own.m_At);
}

void ProgressLimit::pause() { m_State->m_At = Never; }

void ProgressLimit::stop() {
  pause();
  if (m_State->m_ArmedAt == Never)
    return;
  m_State->m_ArmedAt = Never;
  m_State->m_Timer.cancel();
}

bool ProgressLimit::passed() const { return m_State->m_Passed; }

} // namespace deckpitch::net
