#include "direct/declaration-relay.h"

#include "net/deflate.h"
#include "proto/link.pb.h"

#include <charconv>
#include <utility>

namespace deckpitch::direct {

using std::chrono::milliseconds;

namespace {

const std::string Path = "/v1/declaration";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
/// Of a text: the store's own limit is 1 MiB a value.
constexpr std::size_t MostTextBytes = std::size_t{4} * 1024 * 1024;
/// Of an answer: packed texts are smaller than the text.
constexpr std::size_t MostBodyBytes = std::size_t{5} * 1024 * 1024;
/// The holder packs 1 MB in some 100 ms of a quarter of a core, once. An entry
/// that takes longer is buried, and the store is asked instead.
constexpr net::CallLimits FetchLimits{milliseconds(250), milliseconds(600),
                                      milliseconds(400), MostBodyBytes};
/// Other entries only, each with one short question.
constexpr net::HttpLimits ServeLimits{std::size_t{4} * 1024,
                                      std::size_t{4} * 1024,
                                      milliseconds(2'000),
                                      milliseconds(30'000),
                                      milliseconds(5'000),
                                      1'000,
                                      true};

std::uint64_t numberIn(const std::string &Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace

std::string formatRelayed(const HeldDeclaration &Value) {
  wire::DeclarationText Out;
  Out.set_name(Value.m_Object.m_Name);
  Out.set_version(Value.m_Version);
  Out.set_revision(Value.m_Object.m_Revision.m_Value);
  Out.set_deflated(net::deflate(Value.m_Object.m_Json));
  return Out.SerializeAsString();
}

Outcome<HeldDeclaration> parseRelayed(const std::string &Body) {
  wire::DeclarationText From;
  if (!From.ParseFromString(Body))
    return Error{ErrorCode::InvalidInput,
                 "a relayed declaration is no message"};
  auto Text = net::inflate(From.deflated(), MostTextBytes);
  if (!Text)
    return Text.error();
  HeldDeclaration Out;
  Out.m_Version = From.version();
  Out.m_Object.m_Name = From.name();
  Out.m_Object.m_Revision = {From.revision()};
  Out.m_Object.m_Json = std::move(*Text);
  return Out;
}

DeclarationRelay::DeclarationRelay(net::IoThreads &Threads,
                                   net::HttpClient &Http)
    : m_Http(Http),
      m_Server(
          Threads,
          [this](net::HttpRequest Request, net::HttpResponder &Answer) {
            return answer(std::move(Request), Answer);
          },
          ServeLimits) {}

Result<void> DeclarationRelay::listen(const std::string &Address) {
  BOOST_LEAF_CHECK(m_Server.listen(Address));
  return {};
}

void DeclarationRelay::hold(HeldDeclaration Newest) {
  m_Held = std::move(Newest);
  m_Body.clear();
}

asio::awaitable<void> DeclarationRelay::answer(net::HttpRequest Request,
                                               net::HttpResponder &Answer) {
  const std::uint64_t Wanted = numberIn(Request.query("version"));
  const bool IsHeld = m_Held.m_Version != 0 && m_Held.m_Version >= Wanted;
  if (Request.m_Method != "GET" || Request.path() != Path || !IsHeld)
    co_return (void) co_await Answer.send(net::jsonResponse(
        StatusNotFound, R"({"error":"no such declaration here"})"));
  if (m_Body.empty()) {
    m_Body = formatRelayed(m_Held);
    m_Held.m_Object.m_Json.clear();
  }
  net::HttpResponse Told;
  Told.m_Status = StatusOk;
  Told.m_Headers.add("Content-Type", "application/x-protobuf");
  Told.m_Body = m_Body;
  co_await Answer.send(std::move(Told));
}

asio::awaitable<Outcome<HeldDeclaration>>
DeclarationRelay::fetch(std::string Holder, std::uint64_t Version) {
  net::HttpRequest Request;
  Request.m_Target = Path + "?version=" + std::to_string(Version);
  const auto Answer =
      co_await m_Http.call(std::move(Holder), std::move(Request), FetchLimits);
  if (!Answer)
    co_return Answer.error();
  if (Answer->m_Status != StatusOk)
    co_return Error{ErrorCode::NotFound,
                    "the entry answered " + std::to_string(Answer->m_Status)};
  auto Got = parseRelayed(Answer->m_Body);
  if (Got && Got->m_Version < Version)
    co_return Error{ErrorCode::InvalidInput, "an older declaration came"};
  co_return Got;
}

} // namespace deckpitch::direct
