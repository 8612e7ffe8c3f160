// What all clients of a process hold together: connections and bytes.
#pragma once

#include "deckpitch/process-limits.h"
#include "deckpitch/time.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace deckpitch {

/// The ports of a process that clients connect to.
enum class Listener : std::uint8_t {
  Callers,
  Ready,
  Directory,
  Operator,
  Link, ///< other processes of the fleet
  Peers ///< weights between agents
};

inline constexpr std::size_t ListenerCount = 6;

/// Name of a listener for log lines and metrics.
const char *listenerName(Listener Which);

/// What a client's connection is being used for.
enum class ClientPhase : std::uint8_t {
  Idle,      ///< no request has begun
  Receiving, ///< part of a request was received
  Answering, ///< the request is being handled
  Closing    ///< the client was refused and is being told so
};

struct ClientId {
  std::uint64_t m_Value = 0;
  friend auto operator<=>(const ClientId &, const ClientId &) = default;
};

/// Connections that the clients of one listener may have.
struct ListenerLimits {
  std::size_t m_Reserved = 0; ///< that other listeners' clients cannot take
  std::size_t m_Most = 0;

  friend bool operator==(const ListenerLimits &,
                         const ListenerLimits &) = default;
};

struct ClientLimits {
  std::size_t m_Connections = 0; ///< of all clients; not less than the reserved
  std::array<ListenerLimits, ListenerCount> m_Listeners{};
  /// Bytes that each client may hold whatever the others hold, so that large
  /// requests cannot end small ones.
  std::size_t m_Allowance = 0;
  std::size_t m_Bytes = 0; ///< of all clients, beyond their allowances
  /// A client that sends is not disconnected in favour of another one before it
  /// has sent nothing for this long.
  Duration m_MinStall{};

  const ListenerLimits &of(Listener Which) const {
    return m_Listeners[static_cast<std::size_t>(Which)];
  }
  friend bool operator==(const ClientLimits &, const ClientLimits &) = default;
};

/// Divides what the machine allows a process between its clients and its own
/// calls and state.
ClientLimits clientLimits(const ProcessLimits &Machine);

/// Size of the largest body that fits within the limits. It is counted as it is
/// received, in a string that grows, and as it is sent on.
std::size_t largestBody(const ClientLimits &Limits);

/// Bytes that buffered answers of upstreams may have together, on that machine.
std::size_t answerBytes(const ProcessLimits &Machine);

/// Result of a claim. Clients that were evicted in its favour are no longer in
/// the ledger; their connections must be closed.
struct ClaimResult {
  bool m_IsGranted = false;
  std::vector<ClientId> m_Evicted;

  friend bool operator==(const ClaimResult &, const ClaimResult &) = default;
};

/// Admits clients and charges them for the bytes that they make the process
/// hold. When all connections are taken, the client that was refused longest
/// ago gives way to a new one, else the one that has been idle for longest,
/// else the one that has sent nothing for longest. When all bytes are taken,
/// requests that have stalled give way, else the one that wants more. Not
/// thread-safe.
class ClientLedger {
public:
  explicit ClientLedger(ClientLimits Limits) : m_Limits(Limits) {}

  const ClientLimits &limits() const { return m_Limits; }
  struct Levels {
    std::size_t m_Connections = 0;
    std::size_t m_Bytes = 0; ///< beyond the allowances

    friend bool operator==(const Levels &, const Levels &) = default;
  };
  Levels levels() const { return {m_Clients.size(), m_Bytes}; }
  std::size_t connections(Listener At) const {
    return m_Counts[static_cast<std::size_t>(At)];
  }

  struct Opened {
    std::optional<ClientId> m_Client; ///< nothing: no room for it
    std::optional<ClientId> m_Evicted;
  };

  /// Admits a connection, in the phase Idle.
  Opened open(Listener At, TimePoint Now);
  /// Records what the connection is used for from now on.
  void enter(ClientId Id, ClientPhase Phase, TimePoint Now);
  /// Sets how many bytes the client holds now. If that is refused, it still
  /// holds what it held before. Refuses every claim of a client that was
  /// evicted.
  ClaimResult hold(ClientId Id, std::size_t Bytes, TimePoint Now);
  /// Releases all that the client holds. Does nothing for one that was evicted.
  void close(ClientId Id);

private:
  struct Client {
    Listener m_At = Listener::Callers;
    ClientPhase m_Phase = ClientPhase::Idle;
    TimePoint m_Since{};       ///< start of the phase, or last data received
    std::size_t m_Charged = 0; ///< bytes beyond the allowance
  };

  bool hasRoom(Listener At) const;
  bool mayGiveWay(const Client &Candidate, Listener To, TimePoint Now) const;
  std::optional<ClientId> connectionFor(Listener To, TimePoint Now) const;
  std::vector<ClientId> stalledClients(ClientId Except, std::size_t Needed,
                                       TimePoint Now) const;

  ClientLimits m_Limits;
  std::map<ClientId, Client> m_Clients;
  std::array<std::size_t, ListenerCount> m_Counts{};
  std::size_t m_Bytes = 0;
  std::uint64_t m_LastId = 0;
};

} // namespace deckpitch
