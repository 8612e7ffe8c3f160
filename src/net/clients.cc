#include "net/clients.h"

#include "net/boot-clock.h"
#include "net/log.h"
#include "net/metrics.h"

#include <limits>
#include <utility>
#include <vector>

namespace deckpitch::net {

namespace {

/// Interval of log lines about refusals for one reason: a flood of clients must
/// not flood the log.
constexpr Duration RefusalLogInterval = std::chrono::seconds(1);

TimePoint now() { return TimePoint(BootClock::now().time_since_epoch()); }

const char *nameOf(ClientRefusal Reason) {
  static constexpr std::array Names{
      "no connection",  "evicted",  "no bytes",  "body too large",
      "head too large", "too slow", "malformed", "stopping"};
  static_assert(Names.size() == ClientRefusalCount);
  return Names[static_cast<std::size_t>(Reason)];
}

void setGauge(const char *Name, std::size_t Value) {
  metrics().gauge(Name).set(static_cast<std::int64_t>(Value));
}

} // namespace

ClientSession::ClientSession(std::shared_ptr<Clients> Owner, ClientId Id,
                             Listener At, std::string Remote)
    : m_Owner(std::move(Owner)), m_Id(Id), m_At(At),
      m_Remote(std::move(Remote)),
      m_Allowance(m_Owner->m_Ledger.limits().m_Allowance) {}

ClientSession::~ClientSession() {
  if (m_Owner)
    m_Owner->close(m_Id);
}

void ClientSession::enter(ClientPhase Phase) {
  std::lock_guard Lock(m_Owner->m_Mutex);
  m_Owner->m_Ledger.enter(m_Id, Phase, now());
}

bool ClientSession::hold(std::size_t Bytes) {
  if (Bytes <= m_Allowance && !m_IsCharged)
    return true;
  std::vector<std::function<void()>> Callbacks;
  bool IsGranted = false;
  {
    std::lock_guard Lock(m_Owner->m_Mutex);
    const ClaimResult Result = m_Owner->m_Ledger.hold(m_Id, Bytes, now());
    IsGranted = Result.m_IsGranted;
    Callbacks = m_Owner->takeCallbacks(Result.m_Evicted);
  }
  for (const auto &Each : Callbacks)
    Each();
  if (IsGranted)
    m_IsCharged = Bytes > m_Allowance;
  return IsGranted;
}

void ClientSession::noteRefusal(ClientRefusal Reason) {
  m_Owner->noteRefusal(Reason, m_At, m_Remote);
}

Clients::Clients(ClientLimits Limits) : m_Ledger(Limits) {}

std::vector<std::function<void()>>
Clients::takeCallbacks(const std::vector<ClientId> &Evicted) {
  std::vector<std::function<void()>> Out;
  for (const ClientId &Each : Evicted) {
    auto Found = m_OnEvict.extract(Each);
    if (!Found.empty())
      Out.push_back(std::move(Found.mapped()));
  }
  return Out;
}

std::optional<ClientSession> Clients::open(Listener At, std::string Remote,
                                           std::function<void()> OnEvict) {
  std::vector<std::function<void()>> Callbacks;
  std::optional<ClientId> Id;
  {
    std::lock_guard Lock(m_Mutex);
    const ClientLedger::Opened Result = m_Ledger.open(At, now());
    Id = Result.m_Client;
    if (Result.m_Evicted)
      Callbacks = takeCallbacks({*Result.m_Evicted});
    if (Id)
      m_OnEvict.emplace(*Id, std::move(OnEvict));
  }
  for (const auto &Each : Callbacks)
    Each();
  if (!Id) {
    noteRefusal(ClientRefusal::NoConnection, At, Remote);
    return std::nullopt;
  }
  return std::optional<ClientSession>(std::in_place, shared_from_this(), *Id,
                                      At, std::move(Remote));
}

void Clients::close(ClientId Id) {
  std::lock_guard Lock(m_Mutex);
  m_Ledger.close(Id);
  m_OnEvict.erase(Id);
}

void Clients::noteRefusal(ClientRefusal Reason, Listener At,
                          const std::string &Remote) {
  metrics()
      .counter("deckpitch_clients_refused_total",
               {{"reason", nameOf(Reason)}, {"listener", listenerName(At)}})
      .add();
  std::uint64_t Count = 0;
  ClientLedger::Levels Levels;
  {
    std::lock_guard Lock(m_Mutex);
    RefusalCount &Own = m_Refusals[static_cast<std::size_t>(Reason)];
    ++Own.m_Unlogged;
    if (now() < Own.m_NextLog)
      return;
    Own.m_NextLog = now() + RefusalLogInterval;
    Count = std::exchange(Own.m_Unlogged, 0);
    Levels = m_Ledger.levels();
  }
  log(Event::ClientsRefused,
      {{"reason", nameOf(Reason)},
       {"count", Count},
       {"listener", listenerName(At)},
       {"client", Remote},
       {"connections", std::uint64_t{Levels.m_Connections}},
       {"bytes", std::uint64_t{Levels.m_Bytes}}});
}

boost::json::object Clients::dump() const {
  std::lock_guard Lock(m_Mutex);
  boost::json::object Listeners;
  for (std::size_t I = 0; I < ListenerCount; ++I) {
    const auto Each = static_cast<Listener>(I);
    if (m_Ledger.connections(Each) > 0)
      Listeners[listenerName(Each)] = m_Ledger.connections(Each);
  }
  const ClientLimits &Limits = m_Ledger.limits();
  return {{"connections", m_Ledger.levels().m_Connections},
          {"maxConnections", Limits.m_Connections},
          {"bytes", m_Ledger.levels().m_Bytes},
          {"maxBytes", Limits.m_Bytes},
          {"listeners", std::move(Listeners)}};
}

void Clients::updateMetrics() const {
  std::lock_guard Lock(m_Mutex);
  const ClientLimits &Limits = m_Ledger.limits();
  setGauge("deckpitch_client_connections", m_Ledger.levels().m_Connections);
  setGauge("deckpitch_client_connections_limit", Limits.m_Connections);
  setGauge("deckpitch_client_bytes", m_Ledger.levels().m_Bytes);
  setGauge("deckpitch_client_bytes_limit", Limits.m_Bytes);
}

ClientLimits unlimitedClients() {
  ClientLimits Out;
  Out.m_Connections = std::numeric_limits<std::size_t>::max();
  Out.m_Bytes = std::numeric_limits<std::size_t>::max();
  Out.m_Allowance = std::numeric_limits<std::size_t>::max();
  Out.m_Listeners.fill({0, Out.m_Connections});
  return Out;
}

} // namespace deckpitch::net
