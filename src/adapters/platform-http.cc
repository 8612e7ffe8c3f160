// Platform adapter over HTTP and JSON; docs/INTERFACES.md.
#include "net/adapters.h"
#include "net/platform.h"

#include <boost/json.hpp>

#include <atomic>
#include <optional>

namespace deckpitch::net {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxLineBytes = std::size_t{4} * 1024 * 1024;
/// Longer than the interval between the platform's bookmarks, so a watch that
/// receives nothing for so long is dead.
constexpr std::chrono::milliseconds WatchTimeout{30'000};
/// Bound on a list of objects.
constexpr std::size_t MaxAnswerBytes = std::size_t{32} * 1024 * 1024;
constexpr CallLimits ExchangeLimits{
    .m_ConnectTimeout = std::chrono::milliseconds(1'000),
    .m_FirstByte = std::chrono::milliseconds(3'000),
    .m_ReadTimeout = std::chrono::milliseconds(3'000),
    .m_BodyTimeout = std::chrono::milliseconds(30'000),
    .m_BodyBytes = MaxAnswerBytes};

constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusGone = 410;
constexpr unsigned StatusTooMany = 429;
constexpr unsigned StatusServerError = 500;

std::string objectPath(const std::string &Kind, const std::string &Name) {
  return "/v1/objects/" + Kind + "/" + Name;
}

std::string quotedRevision(Revision Value) {
  return '"' + std::to_string(Value.m_Value) + '"';
}

bool isWrite(const HttpRequest &Request) { return Request.m_Method != "GET"; }

/// Maps a status to an error. A 5xx response does not tell whether a write took
/// effect, so a write that receives one counts as timed out.
Error errorOf(const HttpRequest &Request, unsigned Status) {
  const std::string Text = Request.m_Method + " " + Request.m_Target +
                           " answered " + std::to_string(Status);
  if (Status == StatusNotFound || Status == StatusGone)
    return {ErrorCode::NotFound, Text};
  if (Status == StatusConflict)
    return {ErrorCode::Conflict, Text};
  if (Status == StatusTooMany)
    return {ErrorCode::Unavailable, Text};
  if (Status >= StatusServerError)
    return {isWrite(Request) ? ErrorCode::Timeout : ErrorCode::Unavailable,
            Text};
  return {ErrorCode::InvalidInput, Text};
}

Error malformedResponse(const std::string &What) {
  return {ErrorCode::InvalidInput, "the platform's answer lacks " + What};
}

std::optional<json::object> parseObject(std::string_view Text) {
  json::error_code Ec;
  json::value Value = json::parse(Text, Ec);
  if (Ec || !Value.is_object())
    return std::nullopt;
  return std::move(Value.get_object());
}

std::string textOf(const json::object &From, std::string_view Key) {
  const json::value *Found = From.if_contains(Key);
  return Found && Found->is_string() ? std::string(Found->get_string())
                                     : std::string();
}

std::optional<Revision> revisionOf(const json::object &From) {
  const json::value *Found = From.if_contains("revision");
  if (!Found)
    return std::nullopt;
  json::error_code Ec;
  const auto Number = Found->to_number<std::uint64_t>(Ec);
  if (Ec)
    return std::nullopt;
  return Revision{Number};
}

std::optional<PlatformObject> readObject(const json::object &From) {
  const std::optional<Revision> At = revisionOf(From);
  if (!At)
    return std::nullopt;
  const json::value *Value = From.if_contains("value");
  return PlatformObject{textOf(From, "kind"), textOf(From, "name"), *At,
                        Value ? json::serialize(*Value) : std::string()};
}

std::optional<PlatformEvent> readEvent(std::string_view Line) {
  const std::optional<json::object> Read = parseObject(Line);
  if (!Read)
    return std::nullopt;
  std::optional<PlatformObject> Object = readObject(*Read);
  const std::string Type = textOf(*Read, "type");
  if (!Object)
    return std::nullopt;
  if (Type == "put")
    return PlatformEvent{PlatformEvent::Type::Put, std::move(*Object)};
  if (Type == "delete")
    return PlatformEvent{PlatformEvent::Type::Delete, std::move(*Object)};
  if (Type == "bookmark")
    return PlatformEvent{PlatformEvent::Type::Bookmark, std::move(*Object)};
  return std::nullopt;
}

/// Assembles the lines of a watch, which the transport may split anywhere.
class LineReader {
public:
  void add(std::string_view Piece) { m_Text += Piece; }
  bool tooLong() const { return m_Text.size() > MaxLineBytes; }

  std::optional<std::string> next() {
    const std::size_t End = m_Text.find('\n');
    if (End == std::string::npos)
      return std::nullopt;
    std::string Line = m_Text.substr(0, End);
    m_Text.erase(0, End + 1);
    return Line;
  }

private:
  std::string m_Text;
};

/// Passes the events of complete lines to OnEvent. Returns the reason if the
/// watch must end.
std::optional<Error>
deliverLines(LineReader &Lines,
             const std::function<bool(PlatformEvent)> &OnEvent) {
  while (std::optional<std::string> Line = Lines.next()) {
    if (Line->empty())
      continue;
    std::optional<PlatformEvent> Read = readEvent(*Line);
    if (!Read)
      return malformedResponse("a readable event");
    if (!OnEvent(std::move(*Read)))
      return Error{ErrorCode::Unavailable, "the watch was ended here"};
  }
  if (Lines.tooLong())
    return malformedResponse("the end of a line");
  return std::nullopt;
}

class HttpPlatform final : public Platform {
public:
  HttpPlatform(HttpClient &Http, std::string Address)
      : m_Http(Http), m_Address(std::move(Address)) {}

  asio::awaitable<Outcome<PlatformObject>> get(std::string Kind,
                                               std::string Name) override;
  asio::awaitable<Outcome<PlatformList>> list(std::string Kind) override;
  asio::awaitable<Outcome<Revision>> update(PlatformObject Object) override;
  asio::awaitable<Outcome<Revision>> create(std::string Kind, std::string Name,
                                            std::string Json) override;
  asio::awaitable<Outcome<Revision>> remove(std::string Kind, std::string Name,
                                            Revision Expected) override;
  asio::awaitable<Error>
  watch(std::vector<std::string> Kinds, Revision Since,
        std::function<bool(PlatformEvent)> OnEvent) override;
  asio::awaitable<Outcome<std::vector<PlatformInstance>>> instances() override;
  std::uint64_t calls() const override { return m_Calls.load(); }

private:
  asio::awaitable<Outcome<HttpResponse>> exchange(HttpRequest Request);
  asio::awaitable<Outcome<Revision>> write(HttpRequest Request);

  HttpClient &m_Http;
  std::string m_Address;
  std::atomic<std::uint64_t> m_Calls{0};
};

asio::awaitable<Outcome<HttpResponse>>
HttpPlatform::exchange(HttpRequest Request) {
  ++m_Calls;
  auto Answer = co_await m_Http.call(m_Address, Request, ExchangeLimits);
  if (!Answer)
    co_return Answer.error();
  if (Answer->m_Status >= 300)
    co_return errorOf(Request, Answer->m_Status);
  co_return Answer;
}

asio::awaitable<Outcome<PlatformObject>> HttpPlatform::get(std::string Kind,
                                                           std::string Name) {
  HttpRequest Request{"GET", objectPath(Kind, Name), {}, {}};
  const auto Answer = co_await exchange(std::move(Request));
  if (!Answer)
    co_return Answer.error();
  const std::optional<json::object> Read = parseObject(Answer->m_Body);
  std::optional<PlatformObject> Object =
      Read ? readObject(*Read) : std::nullopt;
  if (!Object)
    co_return malformedResponse("an object");
  Object->m_Kind = std::move(Kind);
  Object->m_Name = std::move(Name);
  co_return std::move(*Object);
}

asio::awaitable<Outcome<PlatformList>> HttpPlatform::list(std::string Kind) {
  HttpRequest Request{"GET", "/v1/objects/" + Kind, {}, {}};
  const auto Answer = co_await exchange(std::move(Request));
  if (!Answer)
    co_return Answer.error();
  const std::optional<json::object> Read = parseObject(Answer->m_Body);
  const std::optional<Revision> At = Read ? revisionOf(*Read) : std::nullopt;
  if (!At)
    co_return malformedResponse("a revision");
  const json::value *Items = Read->if_contains("items");
  if (!Items || !Items->is_array())
    co_return malformedResponse("items");
  PlatformList List{*At, {}};
  for (const json::value &Each : Items->get_array()) {
    std::optional<PlatformObject> Object =
        Each.is_object() ? readObject(Each.get_object()) : std::nullopt;
    if (!Object)
      co_return malformedResponse("a readable item");
    Object->m_Kind = Kind;
    List.m_Items.push_back(std::move(*Object));
  }
  co_return List;
}

asio::awaitable<Outcome<Revision>> HttpPlatform::write(HttpRequest Request) {
  const auto Answer = co_await exchange(std::move(Request));
  if (!Answer)
    co_return Answer.error();
  const std::optional<json::object> Read = parseObject(Answer->m_Body);
  const std::optional<Revision> At = Read ? revisionOf(*Read) : std::nullopt;
  if (!At)
    co_return Error{ErrorCode::Timeout, "a write was answered unreadably"};
  co_return *At;
}

asio::awaitable<Outcome<Revision>> HttpPlatform::update(PlatformObject Object) {
  HttpRequest Request{"PUT",
                      objectPath(Object.m_Kind, Object.m_Name),
                      {},
                      std::move(Object.m_Json)};
  Request.m_Headers.add("If-Match", quotedRevision(Object.m_Revision));
  co_return co_await write(std::move(Request));
}

asio::awaitable<Outcome<Revision>>
HttpPlatform::create(std::string Kind, std::string Name, std::string Json) {
  HttpRequest Request{"PUT", objectPath(Kind, Name), {}, std::move(Json)};
  Request.m_Headers.add("If-None-Match", "*");
  co_return co_await write(std::move(Request));
}

asio::awaitable<Outcome<Revision>>
HttpPlatform::remove(std::string Kind, std::string Name, Revision Expected) {
  HttpRequest Request{"DELETE", objectPath(Kind, Name), {}, {}};
  Request.m_Headers.add("If-Match", quotedRevision(Expected));
  co_return co_await write(std::move(Request));
}

asio::awaitable<Error>
HttpPlatform::watch(std::vector<std::string> Kinds, Revision Since,
                    std::function<bool(PlatformEvent)> OnEvent) {
  std::string Joined;
  for (const std::string &Kind : Kinds)
    Joined += (Joined.empty() ? "" : ",") + Kind;
  HttpRequest Request{"GET",
                      "/v1/watch?kinds=" + Joined +
                          "&since=" + std::to_string(Since.m_Value),
                      {},
                      {}};
  CallLimits Limits;
  Limits.m_FirstByte = WatchTimeout;
  Limits.m_ReadTimeout = WatchTimeout;
  ++m_Calls;
  auto Opened = co_await m_Http.open(m_Address, Request, Limits);
  if (!Opened)
    co_return Opened.error();
  HttpStream &Body = **Opened;
  if (Body.status() >= 300)
    co_return errorOf(Request, Body.status());
  LineReader Lines;
  while (true) {
    const auto Piece = co_await Body.read();
    if (!Piece)
      co_return Piece.error();
    if (Piece->empty())
      co_return Error{ErrorCode::Unavailable, "the platform ended the watch"};
    Lines.add(*Piece);
    const std::optional<Error> End = deliverLines(Lines, OnEvent);
    if (End)
      co_return *End;
  }
}

asio::awaitable<Outcome<std::vector<PlatformInstance>>>
HttpPlatform::instances() {
  HttpRequest Request{"GET", "/v1/instances", {}, {}};
  const auto Answer = co_await exchange(std::move(Request));
  if (!Answer)
    co_return Answer.error();
  const std::optional<json::object> Read = parseObject(Answer->m_Body);
  const json::value *Items = Read ? Read->if_contains("items") : nullptr;
  if (!Items || !Items->is_array())
    co_return malformedResponse("items");
  std::vector<PlatformInstance> List;
  for (const json::value &Each : Items->get_array()) {
    if (!Each.is_object())
      co_return malformedResponse("a readable instance");
    const json::object &One = Each.get_object();
    List.push_back({textOf(One, "name"), textOf(One, "address"),
                    textOf(One, "dataCentre"),
                    textOf(One, "state") == "leaving"});
  }
  co_return List;
}

static_assert(PlatformPort<HttpPlatform>);

const AdapterRegistration<Platform, HttpPlatform> Registered("http");

} // namespace

} // namespace deckpitch::net
