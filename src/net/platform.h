// The port to the platform's object interface, as coroutines.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "deckpitch/time.h"
#include "net/http.h"

#include <concepts>
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
  /// Of a bookmark: how long ago, at most, the platform held nothing newer; 0
  /// where an adapter cannot tell.
  Duration m_Age{};
};

/// One entry of the platform's list of instances, which lags.
struct PlatformInstance {
  std::string m_Name;
  std::string m_Address;
  std::string m_DataCentre;
  bool m_Leaving = false;
};

/// What each adapter and each fake of the platform offers; Platform says what
/// the calls do.
template <typename T>
concept PlatformPort = requires(T &At, const T &Seen, std::string Text,
                                PlatformObject Object,
                                std::vector<std::string> Kinds, Revision Since,
                                std::function<bool(PlatformEvent)> OnEvent) {
  {
    At.get(Text, Text)
    } -> std::same_as<asio::awaitable<Outcome<PlatformObject>>>;
  { At.list(Text) } -> std::same_as<asio::awaitable<Outcome<PlatformList>>>;
  { At.update(Object) } -> std::same_as<asio::awaitable<Outcome<Revision>>>;
  {
    At.create(Text, Text, Text)
    } -> std::same_as<asio::awaitable<Outcome<Revision>>>;
  {
    At.remove(Text, Text, Since)
    } -> std::same_as<asio::awaitable<Outcome<Revision>>>;
  { At.watch(Kinds, Since, OnEvent) } -> std::same_as<asio::awaitable<Error>>;
  {
    At.instances()
    } -> std::same_as<asio::awaitable<Outcome<std::vector<PlatformInstance>>>>;
  { Seen.calls() } -> std::same_as<std::uint64_t>;
};

/// The platform's object interface. Every call costs. Errors: NotFound,
/// Conflict (a precondition failed), Unavailable (not done), Timeout (a write
/// may have taken effect: read back), InvalidInput (refused, or an answer that
/// cannot be read). Adapters register themselves with AdapterRegistration.
class Platform {
public:
  Platform() = default;
  virtual ~Platform() = default;
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;

  virtual asio::awaitable<Outcome<PlatformObject>> get(std::string Kind,
                                                       std::string Name) = 0;
  virtual asio::awaitable<Outcome<PlatformList>> list(std::string Kind) = 0;
  /// May be some seconds old, where that costs less.
  virtual asio::awaitable<Outcome<PlatformList>> listOld(std::string Kind) {
    return list(std::move(Kind));
  }
  /// What changed since a revision of the kind that is known, without waiting;
  /// where that cannot be asked, all. NotFound means that it is too old.
  virtual asio::awaitable<Outcome<PlatformList>> changes(std::string Kind,
                                                         Revision /*Since*/) {
    return list(std::move(Kind));
  }
  /// Replaces the object if it still has that revision; gives the new one.
  virtual asio::awaitable<Outcome<Revision>> update(PlatformObject Object) = 0;
  virtual asio::awaitable<Outcome<Revision>>
  create(std::string Kind, std::string Name, std::string Json) = 0;
  virtual asio::awaitable<Outcome<Revision>>
  remove(std::string Kind, std::string Name, Revision Seen) = 0;
  /// Calls back for each event until the watch ends or the callback returns
  /// false; then tells why. NotFound means that Since is too old: list again.
  virtual asio::awaitable<Error>
  watch(std::vector<std::string> Kinds, Revision Since,
        std::function<bool(PlatformEvent)> OnEvent) = 0;
  virtual asio::awaitable<Outcome<std::vector<PlatformInstance>>>
  instances() = 0;

  /// Calls made so far; a watch counts as one when it is opened.
  virtual std::uint64_t calls() const = 0;
};

static_assert(PlatformPort<Platform>);

} // namespace deckpitch::net
