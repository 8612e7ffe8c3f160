// Relays what one process has read from the store to others: the text of the
// newest declaration and the list of instances. The store sends one copy of
// each, and processes that cannot reach the store still get them.
#pragma once

#include "deckpitch/instance-list.h"
#include "deckpitch/time.h"
#include "net/clients.h"
#include "net/http.h"
#include "net/platform.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace deckpitch::direct {

namespace asio = boost::asio;

/// A declaration as the store held it. The text is opaque here; its version was
/// parsed by the process that read it.
struct HeldDeclaration {
  std::uint64_t m_Version = 0;
  net::PlatformObject m_Object;

  friend bool operator==(const HeldDeclaration &,
                         const HeldDeclaration &) = default;
};

/// The list of instances as the store held it.
struct HeldInstances {
  InstanceList m_List;
  Revision m_Revision{}; ///< store revision
  TimePoint m_AsOf{};    ///< when the store held the list
  /// When the store returned after an outage for all entries, if recently.
  std::optional<TimePoint> m_Returned;

  friend bool operator==(const HeldInstances &,
                         const HeldInstances &) = default;
};

/// Formats and parses the body of a relayed declaration. Errors: InvalidInput.
std::string formatRelayed(const HeldDeclaration &Value);
Outcome<HeldDeclaration> parseRelayed(const std::string &Body);

/// The same for a list. Known is the list that the calling process holds: if it
/// is the same, only its revision and age are sent. Asked is when the request
/// was made; ages count from then, so that transit does not make a list
/// fresher.
std::string formatRelayed(const HeldInstances &Value, std::uint64_t Fingerprint,
                          const std::string &Packed, TimePoint Now);
std::string packInstances(const InstanceList &List, std::uint64_t Fingerprint);
Outcome<HeldInstances> parseRelayedInstances(const std::string &Body,
                                             const InstanceList &Known,
                                             TimePoint Asked);

/// Fetch from another process. Errors of both: NotFound if it holds nothing as
/// new as that, InvalidInput for a malformed answer, Unavailable, Timeout.
asio::awaitable<Outcome<HeldDeclaration>>
fetchDeclaration(net::HttpClient &Http, std::string Holder,
                 std::uint64_t Version);
asio::awaitable<Outcome<HeldInstances>>
fetchInstances(net::HttpClient &Http, std::string Holder, InstanceList Known);

/// Serves what this process holds. Runs on a single event loop.
class StoreRelay {
public:
  /// Clients: of all listeners of the process; null: no limits.
  explicit StoreRelay(net::IoThreads &Threads,
                      std::shared_ptr<net::Clients> Clients = nullptr);

  /// Errors: InvalidInput, Unavailable.
  Result<void> listen(const std::string &Address);
  void stop() { m_Server.stop(); }
  /// Sets what is served from now on.
  void hold(HeldDeclaration Newest);
  void hold(HeldInstances Newest);
  /// Records that the held list was still the newest at this revision.
  void confirmInstances(Revision At, TimePoint AsOf);

private:
  asio::awaitable<void> answer(net::HttpRequest Request,
                               net::HttpResponder &Answer);
  const std::string *declarationBody(const net::HttpRequest &Request);
  std::string instancesBody(const net::HttpRequest &Request);

  net::HttpServer m_Server;
  HeldDeclaration m_Declaration;
  std::string m_DeclarationBody; ///< formatted at the first request
  HeldInstances m_Instances;
  std::uint64_t m_Fingerprint = 0;
  std::string m_PackedInstances; ///< compressed at the first request
};

} // namespace deckpitch::direct
