// The platform's object interface as coroutines; platform-http.cc is its
// adapter.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "net/http.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace deckpitch::net {

struct PlatformObject {
  std::string m_Kind;
  std::string m_Name;
  Revision m_Revision;
  std::string m_Json; ///< the value; at most 1 MiB

  friend bool operator==(const PlatformObject &,
                         const PlatformObject &) = default;
};

struct PlatformList {
  Revision m_Revision; ///< the list is the whole kind as of this revision
  std::vector<PlatformObject> m_Items;
};

struct PlatformEvent {
  enum class Type { Put, Delete, Bookmark };
  Type m_Type = Type::Put;
  PlatformObject m_Object; ///< a bookmark has only the revision
};

/// One entry of the platform's list of instances, which lags.
struct PlatformInstance {
  std::string m_Name;
  std::string m_Address;
  std::string m_DataCentre;
  bool m_Leaving = false;
};

/// Every call costs. Errors: NotFound, Conflict (a precondition failed),
/// Unavailable (not done), Timeout (a write may have taken effect: read back),
/// InvalidInput (refused, or an answer that cannot be read).
class Platform {
public:
  Platform(HttpClient &Http, std::string Address);

  asio::awaitable<Outcome<PlatformObject>> get(std::string Kind,
                                               std::string Name);
  asio::awaitable<Outcome<PlatformList>> list(std::string Kind);
  /// Replaces the object if it still has that revision; gives the new one.
  asio::awaitable<Outcome<Revision>> update(PlatformObject Object);
  asio::awaitable<Outcome<Revision>> create(std::string Kind, std::string Name,
                                            std::string Json);
  asio::awaitable<Outcome<Revision>> remove(std::string Kind, std::string Name,
                                            Revision Seen);
  /// Calls back for each event until the watch ends or the callback returns
  /// false; then tells why. NotFound means that Since is too old: list again.
  asio::awaitable<Error> watch(std::vector<std::string> Kinds, Revision Since,
                               std::function<bool(PlatformEvent)> OnEvent);
  asio::awaitable<Outcome<std::vector<PlatformInstance>>> instances();

  /// Calls made so far; a watch counts as one when it is opened.
  std::uint64_t calls() const { return m_Calls.load(); }

private:
  asio::awaitable<Outcome<HttpResponse>> exchange(HttpRequest Request);
  asio::awaitable<Outcome<Revision>> write(HttpRequest Request);

  HttpClient &m_Http;
  std::string m_Address;
  std::atomic<std::uint64_t> m_Calls{0};
};

} // namespace deckpitch::net
