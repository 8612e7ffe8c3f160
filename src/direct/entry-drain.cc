#include "direct/entry-drain.h"

#include "daemon/clock.h"
#include "daemon/sleep.h"
#include "net/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds PollInterval{20};

} // namespace

void EntryDrain::begin(Duration Grace, std::function<void()> OnDone) {
  m_Plan.emplace(now(), Grace);
  m_OpenAtBegin = m_Requests.open();
  m_Requests.beginStop(*m_Plan);
  m_Callers.closeAfterAnswers();
  asio::co_spawn(m_Io, run(std::move(OnDone)), asio::detached);
}

/// The port and idle connections stay open until nothing runs any more: a
/// request that meets a closed port or connection gets no answer.
asio::awaitable<void> EntryDrain::run(std::function<void()> OnDone) {
  co_await waitUntil(m_Plan->acceptsUntil());
  co_await waitUntilIdle(m_Plan->cutsAt());
  if (m_Callers.openRequests() != 0) {
    m_OpenAtCut = m_Requests.open();
    m_Callers.refuseUnread();
    m_Requests.endAll();
    co_await waitUntilIdle(m_Plan->end());
  }
  m_Callers.drain();
  // Requests that had arrived by then begin to be received.
  co_await waitUntil(std::min(now() + PollInterval, m_Plan->end()));
  co_await waitUntilIdle(m_Plan->end());
  m_OpenAtEnd = m_Callers.openRequests();
  log();
  OnDone();
}

asio::awaitable<void> EntryDrain::waitUntil(TimePoint End) const {
  if (const Duration Left = End - now(); Left > Duration::zero())
    co_await daemon::sleepFor(Left);
}

/// Waits until no request is being received or answered.
asio::awaitable<void> EntryDrain::waitUntilIdle(TimePoint End) const {
  while (m_Callers.openRequests() != 0 && now() < End)
    co_await daemon::sleepFor(PollInterval);
}

boost::json::object EntryDrain::dump() const {
  if (!m_Plan)
    return {};
  const EntryRequests::StopCounts &Counts = m_Requests.stopCounts();
  return {{"sinceMs", msOf(now() - m_Plan->begin())},
          {"accepts", now() < m_Plan->acceptsUntil()},
          {"openAtBegin", m_OpenAtBegin},
          {"served", Counts.m_Served},
          {"servedWithin", Counts.m_ServedWithin},
          {"refused", Counts.m_Refused}};
}

void EntryDrain::log() const {
  const EntryRequests::StopCounts &Counts = m_Requests.stopCounts();
  net::log(Event::EntryDrained, {{"tookMs", msOf(now() - m_Plan->begin())},
                                 {"openAtBegin", std::uint64_t{m_OpenAtBegin}},
                                 {"served", Counts.m_Served},
                                 {"servedWithin", Counts.m_ServedWithin},
                                 {"refused", Counts.m_Refused},
                                 {"ended", std::uint64_t{m_OpenAtCut}},
                                 {"unanswered", std::uint64_t{m_OpenAtEnd}}});
}

} // namespace deckpitch::direct
