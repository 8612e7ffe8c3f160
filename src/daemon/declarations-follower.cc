#include "daemon/declarations-follower.h"

#include "daemon/clock.h"
#include "deckpitch/back-off.h"
#include "net/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

/// Upper bound on the delay of a change for which no event arrived.
constexpr std::chrono::seconds ListInterval{8};
/// Delay between an event and the lists that confirm it, together with any
/// later events.
constexpr std::chrono::milliseconds ConfirmDelay{200};
constexpr std::chrono::milliseconds MinListInterval{1'000};

} // namespace

PlatformFollower::PlatformFollower(Process &In, DeclarationExchange &Exchange)
    : m_Process(In), m_Exchange(Exchange), m_ListTimer(In.m_Threads.control()),
      m_WatchTimer(In.m_Threads.control()), m_Random(std::random_device{}()) {}

void PlatformFollower::start() {
  auto &Loop = m_Process.m_Threads.control();
  asio::co_spawn(Loop, listLoop(), asio::detached);
  asio::co_spawn(Loop, watchLoop(), asio::detached);
}

void PlatformFollower::stop() {
  m_Stopping = true;
  m_ListTimer.cancel();
  m_WatchTimer.cancel();
}

void PlatformFollower::wake() {
  m_ListTimer.cancel();
  m_WatchTimer.cancel();
}

asio::awaitable<void> PlatformFollower::pause(asio::steady_timer &Timer,
                                              Duration Delay) {
  Timer.expires_after(Delay);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<bool> PlatformFollower::listAll() {
  m_ConfirmAt = TimePoint::max();
  for (const std::string &Kind : replicatedKinds()) {
    const auto List = co_await m_Process.m_Platform.list(Kind);
    if (!List || m_Stopping)
      co_return false;
    std::vector<DeclaredObject> Items;
    for (const net::PlatformObject &Each : List->m_Items)
      Items.push_back({Kind, Each.m_Name, Each.m_Revision, false, Each.m_Json});
    m_Exchange.apply("platform", [&](DeclarationStore &Store) {
      return Store.applyList(Kind, List->m_Revision, Items);
    });
  }
  ++m_Lists;
  co_return true;
}

asio::awaitable<void> PlatformFollower::listLoop() {
  while (!m_Stopping) {
    if (m_Lists > 0 && !m_Process.m_FollowsPlatform.load()) {
      co_await pause(m_ListTimer, ListInterval);
      continue;
    }
    const bool Listed = co_await listAll();
    if (m_Stopping)
      co_return;
    if (!Listed && m_Failures == 0)
      net::log(Event::PlatformUnavailable);
    if (Listed && m_Failures > 0)
      net::log(Event::PlatformAvailable, {{"failures", m_Failures}});
    m_Failures = Listed ? 0 : m_Failures + 1;
    m_Exchange.tick();
    if (!Listed) {
      co_await pause(m_ListTimer, jittered(backOff(m_Failures), m_Random));
      continue;
    }
    m_WatchTimer.cancel();
    const TimePoint ListFinished = now();
    co_await pause(m_ListTimer, MinListInterval);
    while (!m_Stopping &&
           now() < std::min(m_ConfirmAt, ListFinished + ListInterval))
      co_await pause(m_ListTimer,
                     std::min(m_ConfirmAt, ListFinished + ListInterval) -
                         now());
  }
}

asio::awaitable<void> PlatformFollower::watchLoop() {
  while (!m_Stopping) {
    const Revision Since = m_Exchange.store().revision();
    const bool MayWatch = m_Process.m_FollowsPlatform.load();
    if (!MayWatch || m_Failures > 0 || m_Lists == 0) {
      co_await pause(m_WatchTimer, ListInterval); // listLoop() wakes it
      continue;
    }
    ++m_Watches;
    const Error End = co_await m_Process.m_Platform.watch(
        replicatedKinds(), Since,
        [this](const net::PlatformEvent &Event) { return onEvent(Event); });
    if (!m_Stopping)
      co_await pause(m_WatchTimer, jittered(InitialBackOff * 4, m_Random));
  }
}

bool PlatformFollower::onEvent(const net::PlatformEvent &Event) {
  if (m_Stopping || !m_Process.m_FollowsPlatform.load())
    return false;
  if (Event.m_Type == net::PlatformEvent::Type::Bookmark ||
      Event.m_Type == net::PlatformEvent::Type::Unreadable)
    return true;
  ++m_Events;
  const bool Deleted = Event.m_Type == net::PlatformEvent::Type::Delete;
  const net::PlatformObject &Object = Event.m_Object;
  m_Exchange.apply("platform", [&](DeclarationStore &Store) {
    return Store.applyEvent({Object.m_Kind, Object.m_Name, Object.m_Revision,
                             Deleted, Deleted ? "" : Object.m_Json});
  });
  // Revisions up to that of the last complete lists need no confirmation.
  if (Object.m_Revision <= m_Exchange.store().revision())
    return true;
  if (m_ConfirmAt == TimePoint::max()) {
    m_ConfirmAt = now() + ConfirmDelay;
    m_ListTimer.cancel();
  }
  return true;
}

boost::json::object PlatformFollower::dump() const {
  return {{"lists", m_Lists},
          {"watches", m_Watches},
          {"events", m_Events},
          {"failures", m_Failures}};
}

} // namespace deckpitch::daemon
