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
  /// Grows from each object that was created to the next; 0: unknown.
  std::uint64_t m_Created = 0;

  friend bool operator==(const PlatformObject &,
                         const PlatformObject &) = default;
};

/// An object of which not even the name and revision can be used.
struct UnreadableObject {
  std::string m_Name; ///< as far as it can be read; may be empty
  std::string m_Fault;

  friend bool operator==(const UnreadableObject &,
                         const UnreadableObject &) = default;
};

struct PlatformList {
  Revision m_Revision; ///< complete for its kind as of this revision
  std::vector<PlatformObject> m_Items;
  std::vector<UnreadableObject> m_Unreadable = {};
};

struct PlatformEvent {
  enum class Type { Put, Delete, Bookmark, Unreadable };
  Type m_Type = Type::Put;
  PlatformObject m_Object; ///< only the revision is set for a bookmark
  UnreadableObject m_Unreadable = {}; ///< if it was put and cannot be read
  /// Upper bound of a bookmark's age: at most this long ago, the platform had
  /// no newer change. 0 if the adapter does not know it.
  Duration m_Age{};
};

/// One entry of the platform's list of instances, which is updated with a
/// delay.
struct PlatformInstance {
  std::string m_Name;
  std::string m_Address;
  std::string m_DataCentre;
  bool m_Leaving = false;
};

/// Interface that every adapter and every fake of the platform satisfies. See
/// Platform for what the calls do.
template <typename T>
concept PlatformPort = requires(T &At, const T &Const, std::string Text,
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
  { Const.calls() } -> std::same_as<std::uint64_t>;
};

/// The platform's object interface. Calls are costly. Errors: NotFound,
/// Conflict (a precondition failed), Unavailable (not done), Timeout (a write
/// may have taken effect: read the object back), InvalidInput (request rejected
/// or response malformed). Adapters register themselves with
/// AdapterRegistration.
class Platform {
public:
  Platform() = default;
  virtual ~Platform() = default;
  Platform(const Platform &) = delete;
  Platform &operator=(const Platform &) = delete;

  virtual asio::awaitable<Outcome<PlatformObject>> get(std::string Kind,
                                                       std::string Name) = 0;
  virtual asio::awaitable<Outcome<PlatformList>> list(std::string Kind) = 0;
  /// Like list(), but the result may be some seconds old if that is cheaper for
  /// the platform.
  virtual asio::awaitable<Outcome<PlatformList>>
  listAllowStale(std::string Kind) {
    return list(std::move(Kind));
  }
  /// Returns the changes of a kind since a known revision without waiting, or
  /// the complete list if the platform cannot return changes. NotFound means
  /// that the revision is too old.
  virtual asio::awaitable<Outcome<PlatformList>> changes(std::string Kind,
                                                         Revision /*Since*/) {
    return list(std::move(Kind));
  }
  /// Replaces the object if it still has the given revision and returns the new
  /// revision.
  virtual asio::awaitable<Outcome<Revision>> update(PlatformObject Object) = 0;
  virtual asio::awaitable<Outcome<Revision>>
  create(std::string Kind, std::string Name, std::string Json) = 0;
  virtual asio::awaitable<Outcome<Revision>>
  remove(std::string Kind, std::string Name, Revision Expected) = 0;
  /// Calls OnEvent for each event until the watch ends or OnEvent returns
  /// false, then returns the reason. NotFound means that Since is too old: list
  /// again.
  virtual asio::awaitable<Error>
  watch(std::vector<std::string> Kinds, Revision Since,
        std::function<bool(PlatformEvent)> OnEvent) = 0;
  virtual asio::awaitable<Outcome<std::vector<PlatformInstance>>>
  instances() = 0;

  /// Number of calls made so far. A watch counts as one call, when it is
  /// opened.
  virtual std::uint64_t calls() const = 0;
};

static_assert(PlatformPort<Platform>);

} // namespace deckpitch::net
