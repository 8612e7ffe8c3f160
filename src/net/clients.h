// Admission of the clients of all listeners of a process.
#pragma once

#include "deckpitch/client-ledger.h"

#include <boost/json/object.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace deckpitch::net {

/// Why a client was refused or disconnected.
enum class ClientRefusal : std::uint8_t {
  NoConnection, ///< all connections are taken
  Evicted,      ///< another client needed its connection or its bytes
  NoBytes,      ///< requests and answers hold all bytes
  BodyTooLarge,
  HeadTooLarge, ///< or its trailers, or the line that begins a chunk
  TooSlow,      ///< its request was not complete in time
  Malformed,
  Stopping ///< its request was not complete when the process was to end
};

inline constexpr std::size_t ClientRefusalCount = 8;

class Clients;

/// One admitted connection; released on destruction. Must not be used after a
/// move, nor on several threads at the same time.
class ClientSession {
public:
  ClientSession(std::shared_ptr<Clients> Owner, ClientId Id, Listener At,
                std::string Remote);
  ~ClientSession();
  ClientSession(ClientSession &&) noexcept = default;
  ClientSession(const ClientSession &) = delete;
  ClientSession &operator=(const ClientSession &) = delete;
  ClientSession &operator=(ClientSession &&) = delete;

  void enter(ClientPhase Phase);
  /// Sets how many bytes the client makes the process hold. False: it must not
  /// hold more than before, or was evicted.
  bool hold(std::size_t Bytes);
  /// Counts and logs that the client was refused.
  void noteRefusal(ClientRefusal Reason);

private:
  std::shared_ptr<Clients> m_Owner;
  ClientId m_Id;
  Listener m_At;
  std::string m_Remote; ///< "ip:port"
  const std::size_t m_Allowance;
  bool m_IsCharged = false; ///< holds more than the allowance
};

/// Admits clients by a ClientLedger. Thread-safe. Must be owned by a
/// std::shared_ptr.
class Clients : public std::enable_shared_from_this<Clients> {
public:
  explicit Clients(ClientLimits Limits);

  /// Admits a connection; nothing if there is no room for it. OnEvict is called
  /// on any thread, at most once, if the connection is to be closed in favour
  /// of another one.
  std::optional<ClientSession> open(Listener At, std::string Remote,
                                    std::function<void()> OnEvict);
  /// Levels and limits, for the state dump.
  boost::json::object dump() const;
  /// Updates the gauges of levels and limits.
  void updateMetrics() const;

private:
  friend class ClientSession;

  /// Refusals for one reason since the last log line.
  struct RefusalCount {
    std::uint64_t m_Unlogged = 0;
    TimePoint m_NextLog{};
  };

  void close(ClientId Id);
  /// Removes the callbacks of evicted clients and returns them.
  std::vector<std::function<void()>>
  takeCallbacks(const std::vector<ClientId> &Evicted);
  void noteRefusal(ClientRefusal Reason, Listener At,
                   const std::string &Remote);

  mutable std::mutex m_Mutex;
  ClientLedger m_Ledger;
  std::map<ClientId, std::function<void()>> m_OnEvict;
  std::array<RefusalCount, ClientRefusalCount> m_Refusals{};
};

/// Limits for programs without a machine of their own, such as test servers.
ClientLimits unlimitedClients();

} // namespace deckpitch::net
