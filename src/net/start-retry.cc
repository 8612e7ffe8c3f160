#include "net/start-retry.h"

#include "net/log.h"
#include "net/start-time.h"

#include <chrono>
#include <utility>

namespace deckpitch::net {

namespace {

constexpr std::chrono::milliseconds Pause{100};
constexpr std::chrono::seconds LogInterval{5};

} // namespace

void StartRetry::run(Attempt Open, OnEnd Call) {
  m_Open = std::move(Open);
  m_OnEnd = std::move(Call);
  tryOnce();
}

void StartRetry::stop() {
  m_IsStopped = true;
  m_Timer.cancel();
}

void StartRetry::tryOnce() {
  if (m_IsStopped)
    return;
  ++m_Attempts;
  const auto Opened = outcomeOf([this]() -> Result<bool> {
    BOOST_LEAF_CHECK(m_Open());
    return true;
  });
  if (Opened) {
    log(Event::ListenOpened, {{"ports", m_Ports},
                              {"attempts", m_Attempts},
                              {"sinceStartMs", sinceStartMs()}});
    return m_OnEnd(std::nullopt);
  }
  if (Opened.error().m_Code != ErrorCode::Unavailable)
    return m_OnEnd(Opened.error());
  logDelay(Opened.error().m_Message);
  m_Timer.expires_after(Pause);
  m_Timer.async_wait([this](const boost::system::error_code &Ec) {
    if (!Ec)
      tryOnce();
  });
}

void StartRetry::logDelay(const std::string &Error) {
  const auto Now = BootClock::now();
  if (Error == m_LastLogged && Now < m_NextLog)
    return;
  m_LastLogged = Error;
  m_NextLog = Now + LogInterval;
  log(Event::ListenDelayed, {{"ports", m_Ports},
                             {"error", Error},
                             {"attempts", m_Attempts},
                             {"sinceStartMs", sinceStartMs()}});
}

} // namespace deckpitch::net
