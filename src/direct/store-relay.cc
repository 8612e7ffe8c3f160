#include "direct/store-relay.h"

#include "daemon/clock.h"
#include "direct/store-updates.h"
#include "net/deflate.h"
#include "proto/link.pb.h"

#include <charconv>
#include <utility>

namespace deckpitch::direct {

using std::chrono::milliseconds;

namespace {

const std::string DeclarationPath = "/v1/declaration";
const std::string InstancesPath = "/v1/instances";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
/// Longest text: the store itself limits a value to 1 MiB. A list of 1,000
/// instances takes 0.2 MB.
constexpr std::size_t MaxTextBytes = std::size_t{4} * 1024 * 1024;
/// Longest list, that of 2,500 instances. Short items use a hundred times the
/// size of their text in memory.
constexpr std::size_t MaxListBytes = std::size_t{512} * 1024;
/// Longest answer: a compressed text is no longer than the text.
constexpr std::size_t MaxBodyBytes = std::size_t{5} * 1024 * 1024;
/// A holder compresses 1 MB once, in about 100 ms with a quarter of a core. One
/// that takes longer is overloaded, and the store is read instead.
constexpr net::CallLimits FetchLimits{.m_ConnectTimeout = milliseconds(250),
                                      .m_FirstByte = milliseconds(600),
                                      .m_ReadTimeout = milliseconds(400),
                                      .m_BodyTimeout = milliseconds(10'000),
                                      .m_BodyBytes = MaxBodyBytes};
/// Only other processes of the fleet connect, each with one short request.
constexpr net::HttpLimits ServeLimits{
    std::size_t{4} * 1024, std::size_t{4} * 1024, milliseconds(2'000),
    milliseconds(30'000),  milliseconds(5'000),   true};

std::uint64_t parseNumber(const std::string &Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

Error notHeldError(unsigned Status) {
  return {ErrorCode::NotFound,
          "the other process answered " + std::to_string(Status)};
}

asio::awaitable<Outcome<std::string>>
fetchBody(net::HttpClient &Http, std::string Holder, std::string Target) {
  net::HttpRequest Request;
  Request.m_Target = std::move(Target);
  auto Answer =
      co_await Http.call(std::move(Holder), std::move(Request), FetchLimits);
  if (!Answer)
    co_return Answer.error();
  if (Answer->m_Status != StatusOk)
    co_return notHeldError(Answer->m_Status);
  co_return std::move(Answer->m_Body);
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
    return Error{ErrorCode::InvalidInput, "malformed relayed declaration"};
  auto Text = net::inflate(From.deflated(), MaxTextBytes);
  if (!Text)
    return Text.error();
  HeldDeclaration Out;
  Out.m_Version = From.version();
  Out.m_Object.m_Name = From.name();
  Out.m_Object.m_Revision = {From.revision()};
  Out.m_Object.m_Json = std::move(*Text);
  return Out;
}

std::string packInstances(const InstanceList &List, std::uint64_t Fingerprint) {
  wire::InstancesNews All;
  writeWhole(List, Fingerprint, All);
  return net::deflate(All.SerializeAsString());
}

std::string formatRelayed(const HeldInstances &Value, std::uint64_t Fingerprint,
                          const std::string &Packed, TimePoint Now) {
  wire::InstancesText Out;
  Out.set_revision(Value.m_Revision.m_Value);
  Out.set_fingerprint(Fingerprint);
  Out.set_age_ms(ageMs(Value.m_AsOf, Now));
  if (Value.m_Returned)
    Out.set_returned_ms(ageMs(*Value.m_Returned, Now));
  Out.set_deflated(Packed);
  return Out.SerializeAsString();
}

Outcome<HeldInstances> parseRelayedInstances(const std::string &Body,
                                             const InstanceList &Known,
                                             TimePoint Asked) {
  wire::InstancesText From;
  if (!From.ParseFromString(Body) || From.revision() == 0)
    return Error{ErrorCode::InvalidInput, "malformed relayed list"};
  HeldInstances Out;
  Out.m_List = Known;
  Out.m_Revision = {From.revision()};
  Out.m_AsOf = Asked - milliseconds(From.age_ms());
  if (From.has_returned_ms())
    Out.m_Returned = Asked - milliseconds(From.returned_ms());
  if (!From.deflated().empty()) {
    const auto Text = net::inflate(From.deflated(), MaxListBytes);
    if (!Text)
      return Text.error();
    wire::InstancesNews All;
    if (!All.ParseFromString(*Text))
      return Error{ErrorCode::InvalidInput,
                   "malformed contents of a relayed list"};
    Out.m_List = readWhole(All);
  }
  if (fingerprintOf(Out.m_List) != From.fingerprint())
    return Error{ErrorCode::InvalidInput,
                 "a relayed list does not match its fingerprint"};
  return Out;
}

// Targets are built before the co_await expression: g++ 12 copies a string
// temporary within the expression bitwise into the coroutine's frame.

asio::awaitable<Outcome<HeldDeclaration>>
fetchDeclaration(net::HttpClient &Http, std::string Holder,
                 std::uint64_t Version) {
  std::string Target = DeclarationPath + "?version=" + std::to_string(Version);
  const auto Body =
      co_await fetchBody(Http, std::move(Holder), std::move(Target));
  if (!Body)
    co_return Body.error();
  auto Got = parseRelayed(*Body);
  if (Got && Got->m_Version < Version)
    co_return Error{ErrorCode::InvalidInput, "received an older declaration"};
  co_return Got;
}

asio::awaitable<Outcome<HeldInstances>>
fetchInstances(net::HttpClient &Http, std::string Holder, InstanceList Known) {
  const TimePoint Asked = daemon::now();
  std::string Target =
      InstancesPath + "?known=" + std::to_string(fingerprintOf(Known));
  const auto Body =
      co_await fetchBody(Http, std::move(Holder), std::move(Target));
  if (!Body)
    co_return Body.error();
  co_return parseRelayedInstances(*Body, Known, Asked);
}

StoreRelay::StoreRelay(net::IoThreads &Threads,
                       std::shared_ptr<net::Clients> Clients)
    : m_Server(Threads,
               [this](net::HttpRequest Request, net::HttpResponder &Answer) {
                 return answer(std::move(Request), Answer);
               },
               ServeLimits, {std::move(Clients), Listener::Link, nullptr}) {}

Result<void> StoreRelay::listen(const std::string &Address) {
  BOOST_LEAF_CHECK(m_Server.listen(Address));
  return {};
}

void StoreRelay::hold(HeldDeclaration Newest) {
  m_Declaration = std::move(Newest);
  m_DeclarationBody.clear();
}

void StoreRelay::hold(HeldInstances Newest) {
  const std::uint64_t Fingerprint = fingerprintOf(Newest.m_List);
  if (Fingerprint != m_Fingerprint)
    m_PackedInstances.clear();
  m_Fingerprint = Fingerprint;
  m_Instances = std::move(Newest);
}

void StoreRelay::confirmInstances(Revision At, TimePoint AsOf) {
  m_Instances.m_Revision = At;
  m_Instances.m_AsOf = AsOf;
}

/// Null if the held declaration is older than the requested version.
const std::string *
StoreRelay::declarationBody(const net::HttpRequest &Request) {
  const std::uint64_t Wanted = parseNumber(Request.query("version"));
  if (m_Declaration.m_Version == 0 || m_Declaration.m_Version < Wanted)
    return nullptr;
  if (m_DeclarationBody.empty()) {
    m_DeclarationBody = formatRelayed(m_Declaration);
    m_Declaration.m_Object.m_Json.clear();
  }
  return &m_DeclarationBody;
}

std::string StoreRelay::instancesBody(const net::HttpRequest &Request) {
  if (parseNumber(Request.query("known")) == m_Fingerprint)
    return formatRelayed(m_Instances, m_Fingerprint, "", daemon::now());
  if (m_PackedInstances.empty())
    m_PackedInstances = packInstances(m_Instances.m_List, m_Fingerprint);
  return formatRelayed(m_Instances, m_Fingerprint, m_PackedInstances,
                       daemon::now());
}

asio::awaitable<void> StoreRelay::answer(net::HttpRequest Request,
                                         net::HttpResponder &Answer) {
  net::HttpResponse Response;
  Response.m_Status = StatusOk;
  Response.m_Headers.add("Content-Type", "application/x-protobuf");
  const bool IsGet = Request.m_Method == "GET";
  const std::string *Declaration = IsGet && Request.path() == DeclarationPath
                                       ? declarationBody(Request)
                                       : nullptr;
  const bool HasInstances = IsGet && Request.path() == InstancesPath &&
                            m_Instances.m_Revision.m_Value != 0;
  const std::size_t Bytes =
      Declaration ? Declaration->size() : m_PackedInstances.size();
  if ((Declaration || HasInstances) && !Answer.reserve(Bytes))
    Response = net::noRoomResponse();
  else if (Declaration)
    Response.m_Body = *Declaration;
  else if (HasInstances)
    Response.m_Body = instancesBody(Request);
  else
    Response = net::jsonResponse(StatusNotFound,
                                 R"({"error":"nothing so new is held here"})");
  co_await Answer.send(std::move(Response));
}

} // namespace deckpitch::direct
