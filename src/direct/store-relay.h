// Passes what one process has read from the store on to others: the text of the
// newest declaration and the list of instances. One copy of each leaves the
// store, and who cannot reach the store gets them all the same.
#pragma once

#include "deckpitch/instance-list.h"
#include "deckpitch/time.h"
#include "net/http.h"
#include "net/platform.h"

#include <cstdint>
#include <optional>
#include <string>

namespace deckpitch::direct {

namespace asio = boost::asio;

/// A declaration as the store held it. Its version is known to whoever has
/// read it; the text is opaque here.
struct HeldDeclaration {
  std::uint64_t m_Version = 0;
  net::PlatformObject m_Object;

  friend bool operator==(const HeldDeclaration &,
                         const HeldDeclaration &) = default;
};

/// The list of instances that the store held.
struct HeldInstances {
  InstanceList m_List;
  Revision m_Revision{}; ///< of the store
  TimePoint m_AsOf{};    ///< when it held that list
  /// When the store was back after it had been away for all, if that was
  /// lately.
  std::optional<TimePoint> m_Returned;

  friend bool operator==(const HeldInstances &,
                         const HeldInstances &) = default;
};

/// The body of a relayed answer, and back. Errors: InvalidInput.
std::string formatRelayed(const HeldDeclaration &Value);
Outcome<HeldDeclaration> parseRelayed(const std::string &Body);

/// The same of a list. Known is what the asker has: where that is the same
/// list, only its revision and age are passed on. Asked is when it asked, so
/// that the way back makes nothing fresher.
std::string formatRelayed(const HeldInstances &Value, std::uint64_t Fingerprint,
                          const std::string &Packed, TimePoint Now);
std::string packInstances(const InstanceList &List, std::uint64_t Fingerprint);
Outcome<HeldInstances> parseRelayedInstances(const std::string &Body,
                                             const InstanceList &Known,
                                             TimePoint Asked);

/// Asks another process. Errors of both: NotFound where it holds none so new,
/// InvalidInput for what cannot be read, Unavailable, Timeout.
asio::awaitable<Outcome<HeldDeclaration>>
fetchDeclaration(net::HttpClient &Http, std::string Holder,
                 std::uint64_t Version);
asio::awaitable<Outcome<HeldInstances>>
fetchInstances(net::HttpClient &Http, std::string Holder, InstanceList Known);

/// Serves what this process holds. All on one loop.
class StoreRelay {
public:
  explicit StoreRelay(net::IoThreads &Threads);

  /// Errors: InvalidInput, Unavailable.
  Result<void> listen(const std::string &Address);
  void stop() { m_Server.stop(); }
  /// What is served from now on.
  void hold(HeldDeclaration Newest);
  void hold(HeldInstances Newest);
  /// The held list was found to be the newest again.
  void confirmInstances(Revision At, TimePoint AsOf);

private:
  asio::awaitable<void> answer(net::HttpRequest Request,
                               net::HttpResponder &Answer);
  const std::string *declarationBody(const net::HttpRequest &Request);
  std::string instancesBody(const net::HttpRequest &Request);

  net::HttpServer m_Server;
  HeldDeclaration m_Declaration;
  std::string m_DeclarationBody; ///< made when it is first asked for
  HeldInstances m_Instances;
  std::uint64_t m_Fingerprint = 0;
  std::string m_PackedInstances; ///< made when they are first asked for
};

} // namespace deckpitch::direct
