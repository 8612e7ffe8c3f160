#include "deckpitch/client-ledger.h"

#include <algorithm>
#include <tuple>

namespace deckpitch {

namespace {

constexpr std::size_t KiB = 1024;

/// Descriptors for files, as logs, pipes and event loops use them.
constexpr std::size_t FileDescriptors = 200;
/// Share of the other descriptors that clients may take. The process's own
/// calls use the rest: to the store, to other processes and to upstreams.
constexpr double ClientShare = 0.7;
/// What a connection and a small request on it take, beyond the allowance.
constexpr std::size_t ConnectionBytes = 8 * KiB;
/// A head and a short body, as received. Nearly all requests take less.
constexpr std::size_t Allowance = 8 * KiB;
/// Parts of the process's memory. The rest is for its own state.
constexpr double ConnectionMemoryShare = 0.25;
constexpr double RequestMemoryShare = 0.25;
constexpr double AnswerMemoryShare = 0.2;
constexpr std::size_t MaxAnswerBytes = 24 * KiB * KiB;
/// Parts of the clients' connections that are reserved.
constexpr double CallersReserved = 0.5;
constexpr double OthersReserved = 0.05;
/// Operators and their monitoring use a few.
constexpr std::size_t MostOperators = 64;
constexpr std::size_t OperatorsReserved = 16;
/// Longer than any pause of a client that sends as fast as its link allows.
constexpr Duration MinStall = std::chrono::milliseconds(250);

std::size_t shareOf(std::size_t Total, double Share) {
  return static_cast<std::size_t>(static_cast<double>(Total) * Share);
}

std::size_t indexOf(Listener Which) { return static_cast<std::size_t>(Which); }

} // namespace

const char *listenerName(Listener Which) {
  static constexpr std::array Names{"callers",  "ready", "directory",
                                    "operator", "link",  "peers"};
  static_assert(Names.size() == ListenerCount);
  return Names[indexOf(Which)];
}

ClientLimits clientLimits(const ProcessLimits &Machine) {
  const std::size_t Sockets = Machine.m_Descriptors - FileDescriptors;
  const std::size_t InMemory =
      shareOf(Machine.memoryBytes(), ConnectionMemoryShare) /
      (Allowance + ConnectionBytes);
  ClientLimits Out;
  Out.m_Connections = std::min(shareOf(Sockets, ClientShare), InMemory);
  const auto Reserve = [&Out](double Share) {
    return ListenerLimits{shareOf(Out.m_Connections, Share), Out.m_Connections};
  };
  Out.m_Listeners.fill(Reserve(OthersReserved));
  Out.m_Listeners[indexOf(Listener::Callers)] = Reserve(CallersReserved);
  Out.m_Listeners[indexOf(Listener::Operator)] = {
      std::min(OperatorsReserved, Reserve(OthersReserved).m_Reserved),
      MostOperators};
  Out.m_Allowance = Allowance;
  Out.m_Bytes = shareOf(Machine.memoryBytes(), RequestMemoryShare);
  Out.m_MinStall = MinStall;
  return Out;
}

std::size_t largestBody(const ClientLimits &Limits) {
  constexpr std::size_t CountedTimes = 3; // its string may be half empty
  return Limits.m_Bytes / CountedTimes;
}

std::size_t answerBytes(const ProcessLimits &Machine) {
  return std::min(shareOf(Machine.memoryBytes(), AnswerMemoryShare),
                  MaxAnswerBytes);
}

/// Whether a client of the listener can be admitted without taking what is
/// reserved for others.
bool ClientLedger::hasRoom(Listener At) const {
  const std::size_t Count = m_Counts[indexOf(At)];
  if (Count >= m_Limits.of(At).m_Most)
    return false;
  if (Count < m_Limits.of(At).m_Reserved)
    return m_Clients.size() < m_Limits.m_Connections;
  std::size_t Taken = 0; // including what is reserved and still free
  for (std::size_t I = 0; I < ListenerCount; ++I)
    Taken += std::max(m_Counts[I], m_Limits.m_Listeners[I].m_Reserved);
  return Taken < m_Limits.m_Connections;
}

bool ClientLedger::mayGiveWay(const Client &Candidate, Listener To,
                              TimePoint Now) const {
  const bool IsOwn = Candidate.m_At == To;
  const bool IsFull = m_Counts[indexOf(To)] >= m_Limits.of(To).m_Most;
  const bool IsAboveReserve =
      connections(Candidate.m_At) > m_Limits.of(Candidate.m_At).m_Reserved;
  if (!IsOwn && (IsFull || !IsAboveReserve))
    return false;
  switch (Candidate.m_Phase) {
  case ClientPhase::Closing:
  case ClientPhase::Idle:
    return true;
  case ClientPhase::Receiving:
    return Now - Candidate.m_Since >= m_Limits.m_MinStall;
  case ClientPhase::Answering:
    return false;
  }
  return false;
}

/// Returns the client that gives its connection to a new client of the
/// listener.
std::optional<ClientId> ClientLedger::connectionFor(Listener To,
                                                    TimePoint Now) const {
  const auto Rank = [](const Client &Each) {
    static constexpr std::array<int, 4> Order{1, 2, 3, 0}; // by phase
    return std::tuple(Order[static_cast<std::size_t>(Each.m_Phase)],
                      Each.m_Since);
  };
  const std::pair<const ClientId, Client> *Best = nullptr;
  for (const auto &Each : m_Clients)
    if (mayGiveWay(Each.second, To, Now) &&
        (!Best || Rank(Each.second) < Rank(Best->second)))
      Best = &Each;
  return Best ? std::optional(Best->first) : std::nullopt;
}

ClientLedger::Opened ClientLedger::open(Listener At, TimePoint Now) {
  Opened Out;
  if (!hasRoom(At)) {
    Out.m_Evicted = connectionFor(At, Now);
    if (!Out.m_Evicted)
      return Out;
    close(*Out.m_Evicted);
  }
  Out.m_Client = ClientId{++m_LastId};
  m_Clients[*Out.m_Client] = {At, ClientPhase::Idle, Now, 0};
  ++m_Counts[indexOf(At)];
  return Out;
}

void ClientLedger::enter(ClientId Id, ClientPhase Phase, TimePoint Now) {
  const auto Found = m_Clients.find(Id);
  if (Found == m_Clients.end())
    return;
  Found->second.m_Phase = Phase;
  Found->second.m_Since = Now;
}

/// Returns the requests that have stalled for longest and hold the needed bytes
/// together; nothing if there are not enough.
std::vector<ClientId> ClientLedger::stalledClients(ClientId Except,
                                                   std::size_t Needed,
                                                   TimePoint Now) const {
  std::vector<std::pair<TimePoint, ClientId>> Stalled;
  for (const auto &[Id, Each] : m_Clients)
    if (Id != Except && Each.m_Charged > 0 &&
        Each.m_Phase == ClientPhase::Receiving &&
        Now - Each.m_Since >= m_Limits.m_MinStall)
      Stalled.emplace_back(Each.m_Since, Id);
  std::sort(Stalled.begin(), Stalled.end());
  std::vector<ClientId> Out;
  std::size_t Freed = 0;
  for (const auto &[Since, Id] : Stalled) {
    if (Freed >= Needed)
      break;
    Freed += m_Clients.at(Id).m_Charged;
    Out.push_back(Id);
  }
  if (Freed < Needed)
    Out.clear();
  return Out;
}

ClaimResult ClientLedger::hold(ClientId Id, std::size_t Bytes, TimePoint Now) {
  const auto Found = m_Clients.find(Id);
  if (Found == m_Clients.end())
    return {};
  Client &Claimant = Found->second;
  Claimant.m_Since = Now;
  const std::size_t Wanted = Bytes - std::min(Bytes, m_Limits.m_Allowance);
  const std::size_t Total = m_Bytes - Claimant.m_Charged + Wanted;
  ClaimResult Out;
  if (Wanted > Claimant.m_Charged && Total > m_Limits.m_Bytes) {
    Out.m_Evicted = stalledClients(Id, Total - m_Limits.m_Bytes, Now);
    if (Out.m_Evicted.empty())
      return Out;
    for (const ClientId &Each : Out.m_Evicted)
      close(Each);
  }
  m_Bytes += Wanted;
  m_Bytes -= Claimant.m_Charged;
  Claimant.m_Charged = Wanted;
  Out.m_IsGranted = true;
  return Out;
}

void ClientLedger::close(ClientId Id) {
  const auto Found = m_Clients.find(Id);
  if (Found == m_Clients.end())
    return;
  m_Bytes -= Found->second.m_Charged;
  --m_Counts[indexOf(Found->second.m_At)];
  m_Clients.erase(Found);
}

} // namespace deckpitch
