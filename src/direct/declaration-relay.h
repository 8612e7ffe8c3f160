// Passes the text of the newest declaration on to other entries, so that one
// copy of each version leaves the store.
#pragma once

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

/// The body of a relayed answer, and back. Errors: InvalidInput.
std::string formatRelayed(const HeldDeclaration &Value);
Outcome<HeldDeclaration> parseRelayed(const std::string &Body);

/// Serves the declaration that this entry holds and fetches a newer one from
/// another. All on one loop.
class DeclarationRelay {
public:
  DeclarationRelay(net::IoThreads &Threads, net::HttpClient &Http);

  /// Errors: InvalidInput, Unavailable.
  Result<void> listen(const std::string &Address);
  void stop() { m_Server.stop(); }
  /// What is served from now on.
  void hold(HeldDeclaration Newest);
  /// From the entry with that link address. Errors: NotFound where it holds
  /// none so new, InvalidInput for what cannot be read, Unavailable, Timeout.
  asio::awaitable<Outcome<HeldDeclaration>> fetch(std::string Holder,
                                                  std::uint64_t Version);

private:
  asio::awaitable<void> answer(net::HttpRequest Request,
                               net::HttpResponder &Answer);

  net::HttpClient &m_Http;
  net::HttpServer m_Server;
  HeldDeclaration m_Held;
  std::string m_Body; ///< of the held one, made when it is first asked for
};

} // namespace deckpitch::direct
