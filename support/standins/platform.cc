// Platform stand-in: an in-memory object store with watches and a list of
// instances.
#include "standins/object-store.h"
#include "standins/standin.h"

#include <boost/algorithm/string.hpp>
#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace deckpitch::standins {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr milliseconds HangPoll{20};
constexpr milliseconds BookmarkInterval{500};
constexpr milliseconds ReorderWindow{50};
constexpr std::size_t MaxValueBytes = std::size_t{1024} * 1024;
constexpr std::size_t MaxInstanceLists = 1000;
constexpr std::string_view ObjectsPrefix = "/v1/objects/";

struct PlatformFaults {
  Outage m_Outage = Outage::None;
  milliseconds m_Delay{0};
  std::uint64_t m_LostWriteAnswers = 0;
  std::uint64_t m_StaleReadRevisions = 0;
  bool m_DropWatches = false;
  bool m_RepeatWatchEvents = false;
  bool m_ReorderWatchEvents = false;
  milliseconds m_InstanceListLag{0};
};

struct ObjectPath {
  std::string m_Kind;
  std::string m_Name; ///< empty: all objects of the kind
};

ObjectPath parseObjectPath(std::string_view Path) {
  const std::string Rest = pathAfter(Path, ObjectsPrefix);
  const std::size_t Slash = Rest.find('/');
  if (Slash == std::string::npos)
    return {Rest, ""};
  return {Rest.substr(0, Slash), Rest.substr(Slash + 1)};
}

/// Parses the revision in an If-Match header.
std::optional<std::uint64_t> parseRevisionMatch(std::string_view Text) {
  if (Text.size() < 2 || Text.front() != '"' || Text.back() != '"')
    return std::nullopt;
  std::uint64_t Revision = 0;
  const char *End = Text.data() + Text.size() - 1;
  const auto Read = std::from_chars(Text.data() + 1, End, Revision);
  if (Read.ec != std::errc() || Read.ptr != End)
    return std::nullopt;
  return Revision;
}

struct InstanceList {
  SteadyClock::time_point m_SetAt;
  std::string m_Json = R"({"items":[]})";
};

struct Watch {
  explicit Watch(const asio::any_io_executor &Executor) : m_Wake(Executor) {}
  asio::steady_timer m_Wake;
  std::set<std::string> m_Kinds;
  std::uint64_t m_Sent = 0; ///< last revision whose events were sent
  bool m_Broken = false;
};

net::HttpLimits platformLimits() {
  net::HttpLimits Limits;
  Limits.m_BodyBytes = MaxValueBytes;
  return Limits;
}

class Platform final : public StandIn {
public:
  explicit Platform(std::size_t HistoryLimit)
      : StandIn(platformLimits()), m_Store(HistoryLimit) {
    m_InstanceLists.emplace_back();
  }

  std::string_view kind() const override { return "platform"; }

protected:
  asio::awaitable<void> serve(net::HttpRequest Request,
                              net::HttpResponder &Answer) override {
    ++m_Calls["total"];
    DisconnectFlag Client(Answer);
    co_await sleepFor(m_Faults.m_Delay);
    while (m_Faults.m_Outage == Outage::Hang && !Client.disconnected())
      co_await sleepFor(HangPoll);
    if (m_Faults.m_Outage == Outage::Refuse) {
      ++m_Calls["refused"];
      co_await Answer.send(errorResponse(503, "outage"));
      co_return;
    }
    if (Request.path() == "/v1/watch" && Request.m_Method == "GET") {
      ++m_Calls["watch"];
      co_await watch(Request, Answer, Client);
      co_return;
    }
    net::HttpResponse Response = answer(Request);
    const bool WriteSucceeded =
        Request.m_Method != "GET" && Response.m_Status < 300;
    if (WriteSucceeded && m_Faults.m_LostWriteAnswers > 0) {
      --m_Faults.m_LostWriteAnswers;
      co_return Answer.abort();
    }
    co_await Answer.send(std::move(Response));
  }

  asio::awaitable<bool> control(const net::HttpRequest &Request,
                                net::HttpResponder &Answer) override {
    if (Request.m_Method == "PUT" && Request.path() == "/_standin/instances") {
      co_await Answer.send(setInstances(Request.m_Body));
      co_return true;
    }
    if (Request.m_Method == "POST" && Request.path() == "/_standin/compact") {
      m_Store.compact();
      co_await Answer.send(net::jsonResponse(200, "{}"));
      co_return true;
    }
    co_return false;
  }

  void setFaults(FaultReader &Faults) override {
    m_Faults = {};
    Faults.read("outage", m_Faults.m_Outage);
    Faults.read("delayMs", m_Faults.m_Delay);
    Faults.read("loseAnswers", m_Faults.m_LostWriteAnswers);
    Faults.read("staleReadRevisions", m_Faults.m_StaleReadRevisions);
    Faults.read("dropWatches", m_Faults.m_DropWatches);
    Faults.read("repeatWatchEvents", m_Faults.m_RepeatWatchEvents);
    Faults.read("reorderWatchEvents", m_Faults.m_ReorderWatchEvents);
    Faults.read("instanceListLagMs", m_Faults.m_InstanceListLag);
    if (m_Faults.m_DropWatches || m_Faults.m_Outage == Outage::Refuse)
      breakWatches();
  }

  json::object counters() const override {
    json::object Out;
    for (const auto &[Kind, Count] : m_Calls)
      Out[Kind] = Count;
    Out["watchesOpen"] = m_Watches.size();
    Out["watchEvents"] = m_EventsSent;
    Out["revision"] = m_Store.revision();
    return Out;
  }

private:
  net::HttpResponse answer(const net::HttpRequest &Request) {
    if (Request.path() == "/v1/instances" && Request.m_Method == "GET") {
      ++m_Calls["instances"];
      return net::jsonResponse(200, instances());
    }
    const ObjectPath Path = parseObjectPath(Request.path());
    if (Path.m_Kind.empty())
      return errorResponse(404, "no such path");
    if (Request.m_Method == "GET")
      return Path.m_Name.empty() ? list(Path.m_Kind) : get(Path);
    if (Path.m_Name.empty())
      return errorResponse(405, "method not allowed");
    if (Request.m_Method == "PUT")
      return put(Path, Request);
    if (Request.m_Method == "DELETE")
      return remove(Path, Request);
    return errorResponse(405, "method not allowed");
  }

  /// Returns the revision that reads see, which the fault staleReadRevisions
  /// moves back.
  std::uint64_t readRevision() const {
    const std::uint64_t Now = m_Store.revision();
    const std::uint64_t Lag = std::min(Now, m_Faults.m_StaleReadRevisions);
    return m_Store.clampRevision(Now - Lag);
  }

  net::HttpResponse get(const ObjectPath &Path) {
    ++m_Calls["get"];
    const auto Found =
        m_Store.findAsOf(Path.m_Kind, Path.m_Name, readRevision());
    if (!Found)
      return errorResponse(404, "no such object");
    return net::jsonResponse(200, formatObject(*Found));
  }

  net::HttpResponse list(const std::string &Kind) {
    ++m_Calls["list"];
    const std::uint64_t AsOf = readRevision();
    std::string Items;
    for (const StoredObject &Each : m_Store.listAsOf(Kind, AsOf))
      Items += (Items.empty() ? "" : ",") + formatObject(Each);
    return net::jsonResponse(200, "{\"revision\":" + std::to_string(AsOf) +
                                      ",\"items\":[" + Items + "]}");
  }

  /// Wakes all watches and returns the response to a successful write.
  net::HttpResponse writeResponse(unsigned Status, std::uint64_t Revision) {
    for (Watch *Each : m_Watches)
      Each->m_Wake.cancel();
    return jsonObjectResponse(Status, {{"revision", Revision}});
  }

  net::HttpResponse put(const ObjectPath &Path,
                        const net::HttpRequest &Request) {
    boost::system::error_code Ec;
    const json::value Value = json::parse(Request.m_Body, Ec);
    if (Ec)
      return errorResponse(400, "the value is not JSON");
    const StoredObject *Current = m_Store.find(Path.m_Kind, Path.m_Name);
    if (Request.m_Headers.find("If-None-Match") == "*") {
      ++m_Calls["create"];
      if (Current)
        return net::jsonResponse(409, formatObject(*Current));
      return writeResponse(
          201, m_Store.put(Path.m_Kind, Path.m_Name, json::serialize(Value)));
    }
    ++m_Calls["update"];
    if (const auto Error = preconditionError(Current, Request))
      return *Error;
    return writeResponse(
        200, m_Store.put(Path.m_Kind, Path.m_Name, json::serialize(Value)));
  }

  net::HttpResponse remove(const ObjectPath &Path,
                           const net::HttpRequest &Request) {
    ++m_Calls["delete"];
    const StoredObject *Current = m_Store.find(Path.m_Kind, Path.m_Name);
    if (const auto Error = preconditionError(Current, Request))
      return *Error;
    return writeResponse(200, m_Store.remove(Path.m_Kind, Path.m_Name));
  }

  /// Returns the error response if the precondition of a write does not hold.
  static std::optional<net::HttpResponse>
  preconditionError(const StoredObject *Current,
                    const net::HttpRequest &Request) {
    const std::string_view Match = Request.m_Headers.find("If-Match");
    if (Match.empty())
      return errorResponse(428, "a write needs a precondition");
    const auto Revision = parseRevisionMatch(Match);
    if (!Revision)
      return errorResponse(400, "If-Match holds no revision");
    if (!Current)
      return errorResponse(404, "no such object");
    if (Current->m_Revision != *Revision)
      return net::jsonResponse(409, formatObject(*Current));
    return std::nullopt;
  }

  net::HttpResponse setInstances(const std::string &Body) {
    const json::value Value = parseBody(Body);
    const json::object *Object = objectOrNull(Value);
    if (!Object || !Object->if_contains("items"))
      return errorResponse(400, "expected {\"items\":[...]}");
    m_InstanceLists.push_back({SteadyClock::now(), json::serialize(Value)});
    if (m_InstanceLists.size() > MaxInstanceLists)
      m_InstanceLists.pop_front();
    return net::jsonResponse(200, "{}");
  }

  /// Returns the newest list of instances that is at least as old as the lag,
  /// or the oldest one kept.
  std::string instances() const {
    const auto AsOf = SteadyClock::now() - m_Faults.m_InstanceListLag;
    for (auto Each = m_InstanceLists.rbegin(); Each != m_InstanceLists.rend();
         ++Each)
      if (Each->m_SetAt <= AsOf)
        return Each->m_Json;
    return m_InstanceLists.front().m_Json;
  }

  void breakWatches() {
    for (Watch *Each : m_Watches) {
      Each->m_Broken = true;
      Each->m_Wake.cancel();
    }
  }

  asio::awaitable<void> watch(const net::HttpRequest &Request,
                              net::HttpResponder &Answer,
                              const DisconnectFlag &Client) {
    Watch Self(co_await asio::this_coro::executor);
    const std::string Kinds = Request.query("kinds");
    boost::split(Self.m_Kinds, Kinds, boost::is_any_of(","));
    const std::string Since = Request.query("since");
    std::from_chars(Since.data(), Since.data() + Since.size(), Self.m_Sent);
    if (!m_Store.canContinueFrom(Self.m_Sent)) {
      co_await Answer.send(errorResponse(410, "too old to continue from"));
      co_return;
    }
    net::HttpHeaders Headers;
    Headers.add("Content-Type", "application/x-ndjson");
    if (!co_await Answer.begin(200, std::move(Headers)))
      co_return;
    m_Watches.insert(&Self);
    co_await sendEvents(Self, Answer, Client);
    m_Watches.erase(&Self);
    Answer.abort();
  }

  /// Sends events until the watch is broken or its client disconnects.
  asio::awaitable<void> sendEvents(Watch &Self, net::HttpResponder &Answer,
                                   const DisconnectFlag &Client) {
    bool BookmarkDue = true;
    while (!Self.m_Broken && !Client.disconnected()) {
      const bool Hanging = m_Faults.m_Outage == Outage::Hang;
      if (!Hanging && !m_Store.canContinueFrom(Self.m_Sent))
        co_return;
      const std::string Lines =
          Hanging ? std::string() : takeNewLines(Self, BookmarkDue);
      if (!Lines.empty() && !co_await Answer.write(Lines))
        co_return;
      if (Self.m_Sent < m_Store.revision() && !Hanging)
        continue;
      Self.m_Wake.expires_after(Hanging ? HangPoll : BookmarkInterval);
      const auto [Ec] =
          co_await Self.m_Wake.async_wait(asio::as_tuple(asio::use_awaitable));
      BookmarkDue = !Ec;
      if (Ec && m_Faults.m_ReorderWatchEvents)
        co_await sleepFor(ReorderWindow);
    }
  }

  /// Formats the events after the last revision sent. Returns a bookmark if
  /// there are none and one is due.
  std::string takeNewLines(Watch &Self, bool BookmarkDue) {
    std::vector<std::string> Lines;
    for (std::uint64_t At = Self.m_Sent + 1; At <= m_Store.revision(); ++At) {
      const HistoryEntry *Entry = m_Store.entry(At);
      if (Entry && Self.m_Kinds.contains(Entry->m_Object.m_Kind))
        Lines.push_back(formatEvent(*Entry));
    }
    m_EventsSent += Lines.size();
    Self.m_Sent = m_Store.revision();
    if (m_Faults.m_ReorderWatchEvents)
      std::reverse(Lines.begin(), Lines.end());
    std::string Out;
    for (const std::string &Each : Lines)
      Out += m_Faults.m_RepeatWatchEvents ? Each + Each : Each;
    if (Lines.empty() && BookmarkDue)
      Out =
          "{\"type\":\"bookmark\",\"revision\":" + std::to_string(Self.m_Sent) +
          "}\n";
    return Out;
  }

  ObjectStore m_Store;
  PlatformFaults m_Faults;
  std::map<std::string, std::uint64_t> m_Calls;
  std::set<Watch *> m_Watches;
  std::uint64_t m_EventsSent = 0;
  std::deque<InstanceList> m_InstanceLists;
};

} // namespace

std::unique_ptr<StandIn> makePlatform(std::size_t HistoryLimit) {
  return std::make_unique<Platform>(HistoryLimit);
}

} // namespace deckpitch::standins
