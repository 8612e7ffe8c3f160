#include "daemon/resources-watch.h"

#include "daemon/resources-json.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <map>

namespace deckpitch::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds PollInterval{50};
constexpr int PollsPerBookmark = 200;

/// Compares successive snapshots and formats the changes, one event per line.
class ChangeLines {
public:
  /// Declarations up to Since, all of them if it is empty, and the current
  /// members and pool status count as already reported.
  ChangeLines(const DeclarationSet &Set, const MembershipView &View,
              std::optional<Revision> Since) {
    for (const Resource &Each : allResources(Set))
      if (!Since || Each.m_Revision <= *Since)
        m_Resources.emplace(keyOf(Each), Each.m_Revision);
    for (const auto &[Id, Each] : View.m_Members)
      m_Members.emplace(Id, withoutVolatileFields(Each));
    for (const auto &[Id, Each] : Set.m_Pools)
      m_Status.emplace(Id, statusOf(Each, View));
  }

  std::string next(const DeclarationSet &Set, const MembershipView &View) {
    std::string Lines;
    addResources(Set, Lines);
    addMembers(View, Lines);
    addStatus(Set, View, Lines);
    return Lines;
  }

private:
  struct Key {
    std::string m_Kind;
    std::string m_Name;
    friend auto operator<=>(const Key &, const Key &) = default;
  };

  static Key keyOf(const Resource &Of) { return {Of.m_Kind, Of.m_Name}; }
  /// Clears the load, which changes all the time, and the source of the state:
  /// neither is worth an event of its own.
  static Member withoutVolatileFields(Member Value) {
    Value.m_Load = {};
    Value.m_Source = {};
    return Value;
  }
  static void addLine(std::string_view Type, json::object Line,
                      std::string &Out) {
    Line["type"] = Type;
    Out += json::serialize(Line) + "\n";
  }

  void addResources(const DeclarationSet &Set, std::string &Out) {
    std::map<Key, Revision> Current;
    for (const Resource &Each : allResources(Set)) {
      Current.emplace(keyOf(Each), Each.m_Revision);
      const auto Known = m_Resources.find(keyOf(Each));
      if (Known == m_Resources.end() || Known->second != Each.m_Revision)
        addLine("put", toJson(Each), Out);
    }
    for (const auto &[Known, At] : m_Resources)
      if (!Current.contains(Known))
        addLine("delete",
                {{"kind", Known.m_Kind},
                 {"name", Known.m_Name},
                 {"revision", Set.m_Revision.m_Value}},
                Out);
    m_Resources = std::move(Current);
  }

  void addMembers(const MembershipView &View, std::string &Out) {
    for (const auto &[Id, Each] : View.m_Members) {
      const Member Now = withoutVolatileFields(Each);
      const auto [Known, Added] = m_Members.try_emplace(Id, Now);
      if (!Added && Known->second == Now)
        continue;
      Known->second = Now;
      addLine("member", toJson(Each), Out);
    }
  }

  void addStatus(const DeclarationSet &Set, const MembershipView &View,
                 std::string &Out) {
    for (const auto &[Id, Each] : Set.m_Pools) {
      const PoolStatus Now = statusOf(Each, View);
      const auto [Known, Added] = m_Status.try_emplace(Id, Now);
      if (!Added && Known->second == Now)
        continue;
      Known->second = Now;
      addLine("status",
              {{"pool", Id.m_Text},
               {"ready", Now.m_Ready},
               {"wanted", Now.m_Wanted},
               {"inForce", Now.m_InForce},
               {"agents", Now.m_Members},
               {"revision", Each.m_Revision.m_Value}},
              Out);
    }
  }

  std::map<Key, Revision> m_Resources;
  std::map<InstanceId, Member> m_Members;
  std::map<PoolId, PoolStatus> m_Status;
};

std::optional<Revision> parseSince(const net::HttpRequest &Request) {
  const std::string Text = Request.query("since");
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Number == 0)
    return std::nullopt;
  return Revision{Number};
}

std::string bookmark(const DeclarationSet &Set) {
  return json::serialize(json::object{{"type", "bookmark"},
                                      {"revision", Set.m_Revision.m_Value}}) +
         "\n";
}

} // namespace

asio::awaitable<void> streamChanges(const Process &In, net::HttpRequest Request,
                                    net::HttpResponder &Answer) {
  SnapshotReader<DeclarationSet> Declarations(In.m_Declarations);
  SnapshotReader<MembershipView> Members(In.m_Membership);
  ChangeLines Changes(*Declarations.get(), *Members.get(), parseSince(Request));
  net::HttpHeaders Headers;
  Headers.add("Content-Type", "application/x-ndjson");
  bool Open = co_await Answer.begin(200, std::move(Headers));
  if (Open)
    Open = co_await Answer.write(bookmark(*Declarations.get()));
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  for (int Polls = 1; Open && !In.m_Leaving.load(); ++Polls) {
    std::string Lines = Changes.next(*Declarations.get(), *Members.get());
    if (Lines.empty() && Polls % PollsPerBookmark == 0)
      Lines = bookmark(*Declarations.get());
    if (!Lines.empty())
      Open = co_await Answer.write(Lines);
    Timer.expires_after(PollInterval);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  if (Open)
    co_await Answer.end();
}

} // namespace deckpitch::daemon
