// Origin adapter over HTTP range requests; docs/INTERFACES.md.
#include "net/adapters.h"
#include "net/origin.h"

namespace deckpitch::net {

namespace {

constexpr unsigned PartialContent = 206;
constexpr unsigned NotFound = 404;
constexpr std::size_t MaxManifestBytes = std::size_t{64} * 1024 * 1024;
constexpr std::chrono::milliseconds StallTimeout{5'000};
/// For a manifest or a chunk, at a small share of a narrow link.
constexpr std::chrono::milliseconds TransferTimeout{600'000};

std::string pathOf(const WeightsId &Weights, const char *Part) {
  return "/v1/weights/" + Weights.m_Text + "/" + Part;
}

Error errorOf(unsigned Status) {
  const std::string Text = "origin: " + std::to_string(Status);
  if (Status == NotFound)
    return {ErrorCode::NotFound, Text};
  return {ErrorCode::Unavailable, Text};
}

CallLimits limitsFor(std::size_t Bytes) {
  CallLimits Limits;
  Limits.m_BodyBytes = Bytes;
  Limits.m_ReadTimeout = StallTimeout;
  Limits.m_BodyTimeout = TransferTimeout;
  return Limits;
}

class HttpOrigin final : public Origin {
public:
  HttpOrigin(HttpClient &Http, std::string Address)
      : m_Http(Http), m_Address(std::move(Address)) {}

  asio::awaitable<Outcome<Manifest>> manifest(WeightsId Weights) override;
  asio::awaitable<Outcome<OriginChunk>>
  chunk(const Manifest &Of, std::uint32_t Index, OriginPacer Pacer) override;

private:
  HttpClient &m_Http;
  std::string m_Address;
};

asio::awaitable<Outcome<Manifest>> HttpOrigin::manifest(WeightsId Weights) {
  HttpRequest Request{"GET", pathOf(Weights, "manifest")};
  auto Answer = co_await m_Http.call(m_Address, std::move(Request),
                                     limitsFor(MaxManifestBytes));
  if (!Answer)
    co_return Answer.error();
  if (Answer->m_Status != 200)
    co_return errorOf(Answer->m_Status);
  auto Parsed = outcomeOf([&] { return parseManifest(Answer->m_Body); });
  if (Parsed && Parsed->m_Weights != Weights)
    co_return Error{ErrorCode::CorruptData,
                    "origin returned the manifest of different weights"};
  co_return Parsed;
}

asio::awaitable<Outcome<OriginChunk>>
HttpOrigin::chunk(const Manifest &Of, std::uint32_t Index, OriginPacer Pacer) {
  const std::uint64_t First = Of.chunkOffset(Index);
  const std::uint32_t Length = Of.chunkLength(Index);
  HttpRequest Request{"GET", pathOf(Of.m_Weights, "content")};
  Request.m_Headers.add("Range", "bytes=" + std::to_string(First) + "-" +
                                     std::to_string(First + Length - 1));
  auto Opened =
      co_await m_Http.open(m_Address, std::move(Request), limitsFor(Length));
  if (!Opened)
    co_return Opened.error();
  HttpStream &Body = **Opened;
  if (Body.status() != PartialContent)
    co_return errorOf(Body.status());
  OriginChunk Out;
  Out.m_Tag = std::string(Body.headers().find("ETag"));
  while (true) {
    auto Piece = co_await Body.read();
    if (!Piece)
      co_return Piece.error();
    if (Piece->empty())
      co_return Out;
    co_await Pacer(Piece->size());
    if (Out.m_Bytes.size() + Piece->size() > Length)
      co_return Error{ErrorCode::CorruptData,
                      "origin sent more bytes than requested"};
    Out.m_Bytes += *Piece;
  }
}

static_assert(OriginPort<HttpOrigin>);

const AdapterRegistration<Origin, HttpOrigin> Registered("http");

} // namespace

} // namespace deckpitch::net
