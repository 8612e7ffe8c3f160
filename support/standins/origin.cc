// Stand-ins for the origin of weights and for the rate-limited weight store.
#include "deckpitch/manifest.h"
#include "standins/content.h"
#include "standins/standin.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>

namespace deckpitch::standins {

namespace json = boost::json;

namespace {

using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr milliseconds HangPoll{20};
constexpr std::uint64_t MaxPieceBytes = std::uint64_t{256} * 1024;
constexpr std::uint64_t LimitedPieceBytes = std::uint64_t{16} * 1024;
constexpr std::uint32_t DefaultChunkBytes = 1024 * 1024;
constexpr std::uint64_t MaxContentBytes = 1ULL << 36;

struct OriginFaults {
  Outage m_Outage = Outage::None;
  std::uint64_t m_BytesPerSecond = 0; ///< of all connections; 0: unlimited
  std::set<std::uint64_t> m_CorruptChunks;
  std::uint64_t m_StallAfterBytes = 0; ///< per response; 0: never
  std::uint64_t m_RequestsPerSecond = 0;
};

/// Generated content of one version of weights.
struct Content {
  Manifest m_Manifest;
  std::uint64_t m_Seed = 0;
  std::string m_Base;
};

struct ByteRange {
  std::uint64_t m_First = 0;
  std::uint64_t m_Last = 0;
};

/// Parses a Range header with a single range. Returns the whole content for an
/// empty header, and nothing if the range is malformed or unsatisfiable.
std::optional<ByteRange> parseRange(std::string_view Text,
                                    std::uint64_t Bytes) {
  if (Text.empty())
    return ByteRange{0, Bytes - 1};
  constexpr std::string_view Unit = "bytes=";
  const std::size_t Dash = Text.find('-');
  if (!Text.starts_with(Unit) || Dash == std::string_view::npos)
    return std::nullopt;
  ByteRange Range{0, Bytes - 1};
  const char *End = Text.data() + Text.size();
  const auto First = std::from_chars(Text.data() + Unit.size(),
                                     Text.data() + Dash, Range.m_First);
  if (First.ec != std::errc() || First.ptr != Text.data() + Dash)
    return std::nullopt;
  const char *LastText = Text.data() + Dash + 1;
  if (LastText != End) {
    const auto Last = std::from_chars(LastText, End, Range.m_Last);
    if (Last.ec != std::errc() || Last.ptr != End)
      return std::nullopt;
  }
  Range.m_Last = std::min(Range.m_Last, Bytes - 1);
  if (Range.m_First > Range.m_Last)
    return std::nullopt;
  return Range;
}

/// Limits the total bandwidth of all connections. Pieces are sent one after
/// another, in the order in which they were reserved.
class BandwidthLimiter {
public:
  /// Reserves the link for a piece and returns the time at which the transfer
  /// ends.
  SteadyClock::time_point reserve(std::uint64_t Bytes, std::uint64_t Rate) {
    const auto Now = SteadyClock::now();
    const std::chrono::duration<double> Cost(static_cast<double>(Bytes) /
                                             static_cast<double>(Rate));
    m_FreeAt = std::max(m_FreeAt, Now) +
               std::chrono::duration_cast<SteadyClock::duration>(Cost);
    return m_FreeAt;
  }

private:
  SteadyClock::time_point m_FreeAt;
};

/// Limits the number of requests in each window of one second.
class RequestRate {
public:
  /// Counts a request and returns whether it is within the limit; 0: unlimited.
  bool allow(std::uint64_t Limit) {
    if (Limit == 0)
      return true;
    const auto Now = SteadyClock::now();
    if (Now - m_WindowStart >= std::chrono::seconds(1)) {
      m_WindowStart = Now;
      m_Count = 0;
    }
    return ++m_Count <= Limit;
  }

private:
  SteadyClock::time_point m_WindowStart;
  std::uint64_t m_Count = 0;
};

class Origin final : public StandIn {
public:
  explicit Origin(StoreOptions Options) : m_Options(Options) {
    m_Faults.m_RequestsPerSecond = Options.m_RequestsPerSecond;
  }

  std::string_view kind() const override {
    return m_Options.m_IsStore ? "store" : "origin";
  }

protected:
  asio::awaitable<void> serve(net::HttpRequest Request,
                              net::HttpResponder &Answer) override {
    ++m_Calls;
    DisconnectFlag Client(Answer);
    while (m_Faults.m_Outage == Outage::Hang && !Client.disconnected())
      co_await sleepFor(HangPoll);
    if (m_Faults.m_Outage == Outage::Refuse) {
      co_await Answer.send(errorResponse(503, "outage"));
      co_return;
    }
    if (!m_Rate.allow(m_Faults.m_RequestsPerSecond)) {
      ++m_Refused;
      net::HttpResponse Busy = errorResponse(429, "beyond the rate");
      Busy.m_Headers.add("Retry-After", "1");
      co_await Answer.send(std::move(Busy));
      co_return;
    }
    const std::string Rest = pathAfter(Request.path(), "/v1/weights/");
    const std::size_t Slash = Rest.find('/');
    const auto Found = m_Contents.find(Rest.substr(0, Slash));
    if (Request.m_Method != "GET" || Slash == std::string::npos ||
        Found == m_Contents.end()) {
      co_await Answer.send(errorResponse(404, "no such weights"));
      co_return;
    }
    const std::string Resource = Rest.substr(Slash + 1);
    if (Resource == "manifest")
      co_await sendManifest(Found->second, Answer);
    else if (Resource == "content")
      co_await sendContent(Found->second, Request, Answer, Client);
    else
      co_await Answer.send(errorResponse(404, "no such path"));
  }

  asio::awaitable<bool> control(const net::HttpRequest &Request,
                                net::HttpResponder &Answer) override {
    const std::string Name = pathAfter(Request.path(), "/_standin/weights/");
    if (Name.empty() || Request.m_Method != "PUT")
      co_return false;
    co_await Answer.send(createContent(Name, Request.m_Body));
    co_return true;
  }

  void setFaults(FaultReader &Faults) override {
    m_Faults = {};
    m_Faults.m_RequestsPerSecond = m_Options.m_RequestsPerSecond;
    std::vector<std::uint64_t> Corrupt;
    Faults.read("outage", m_Faults.m_Outage);
    Faults.read("bytesPerSecond", m_Faults.m_BytesPerSecond);
    Faults.read("corruptChunks", Corrupt);
    Faults.read("stallAfterBytes", m_Faults.m_StallAfterBytes);
    Faults.read("requestsPerSecond", m_Faults.m_RequestsPerSecond);
    m_Faults.m_CorruptChunks.insert(Corrupt.begin(), Corrupt.end());
  }

  json::object counters() const override {
    json::object ByWeights;
    for (const auto &[Name, Bytes] : m_BytesByWeights)
      ByWeights[Name] = Bytes;
    return {{"calls", m_Calls},
            {"manifestReads", m_ManifestReads},
            {"contentReads", m_ContentReads},
            {"refused", m_Refused},
            {"bytes", m_Bytes},
            {"bytesByWeights", std::move(ByWeights)}};
  }

private:
  net::HttpResponse createContent(const std::string &Name,
                                  const std::string &Body) {
    const json::value Value = parseBody(Body);
    const json::object *Object = objectOrNull(Value);
    if (!Object)
      return errorResponse(400, "expected a JSON object");
    std::uint64_t Bytes = 0;
    std::uint64_t ChunkBytes = DefaultChunkBytes;
    Content Created;
    Created.m_Seed = XXH64(Name.data(), Name.size(), 0);
    FaultReader Reader(*Object);
    Reader.read("bytes", Bytes);
    Reader.read("chunkBytes", ChunkBytes);
    Reader.read("seed", Created.m_Seed);
    if (const json::value *Base = Object->if_contains("base"))
      Created.m_Base = Base->is_string() ? Base->get_string().c_str() : "";
    if (Bytes == 0 || Bytes > MaxContentBytes || ChunkBytes == 0 ||
        ChunkBytes > Bytes + DefaultChunkBytes)
      return errorResponse(422, "bytes or chunkBytes out of range");
    Created.m_Manifest.m_Weights = {Name};
    Created.m_Manifest.m_Bytes = Bytes;
    Created.m_Manifest.m_ChunkBytes = static_cast<std::uint32_t>(ChunkBytes);
    addDigests(Created);
    const std::string Text = manifestText(Created);
    m_Contents.insert_or_assign(Name, std::move(Created));
    return net::jsonResponse(200, Text);
  }

  static void addDigests(Content &Created) {
    Manifest &Out = Created.m_Manifest;
    const std::uint64_t Count =
        (Out.m_Bytes + Out.m_ChunkBytes - 1) / Out.m_ChunkBytes;
    for (std::uint32_t I = 0; I < Count; ++I) {
      const std::string Chunk =
          contentBytes(Created.m_Seed, Out.chunkOffset(I), Out.chunkLength(I));
      Out.m_Chunks.push_back(
          digestOf({reinterpret_cast<const std::uint8_t *>(Chunk.data()),
                    Chunk.size()}));
    }
    Out.m_Whole = wholeDigest(Out.m_Chunks);
  }

  static std::string manifestText(const Content &Source) {
    std::string Text = formatManifest(Source.m_Manifest);
    if (Source.m_Base.empty())
      return Text;
    json::value Value = parseBody(Text);
    Value.as_object()["base"] = Source.m_Base;
    return json::serialize(Value);
  }

  asio::awaitable<void> sendManifest(const Content &Source,
                                     net::HttpResponder &Answer) {
    ++m_ManifestReads;
    co_await Answer.send(net::jsonResponse(200, manifestText(Source)));
  }

  asio::awaitable<void> sendContent(Content Source,
                                    const net::HttpRequest &Request,
                                    net::HttpResponder &Answer,
                                    const DisconnectFlag &Client) {
    const std::uint64_t Bytes = Source.m_Manifest.m_Bytes;
    const auto Range = parseRange(Request.m_Headers.find("Range"), Bytes);
    if (!Range) {
      co_await Answer.send(errorResponse(416, "no such range"));
      co_return;
    }
    ++m_ContentReads;
    net::HttpHeaders Headers;
    Headers.add("ETag", "\"" + toHex(Source.m_Manifest.m_Whole) + "\"");
    Headers.add("Content-Type", "application/octet-stream");
    Headers.add("Content-Range", "bytes " + std::to_string(Range->m_First) +
                                     "-" + std::to_string(Range->m_Last) + "/" +
                                     std::to_string(Bytes));
    if (!co_await Answer.begin(206, std::move(Headers)))
      co_return;
    std::uint64_t Sent = 0;
    std::uint64_t At = Range->m_First;
    while (At <= Range->m_Last) {
      const std::uint64_t Length =
          co_await awaitNextPiece(Range->m_Last - At + 1, Sent, Client);
      if (Length == 0)
        co_return Answer.abort();
      if (!co_await Answer.write(pieceBytes(Source, At, Length)))
        co_return;
      At += Length;
      Sent += Length;
      m_Bytes += Length;
      m_BytesByWeights[Source.m_Manifest.m_Weights.m_Text] += Length;
    }
    co_await Answer.end();
  }

  /// Waits until the next piece may be sent and returns its length in bytes, or
  /// 0 if the client has disconnected.
  asio::awaitable<std::uint64_t> awaitNextPiece(std::uint64_t Left,
                                                std::uint64_t Sent,
                                                const DisconnectFlag &Client) {
    while (isStalled(Sent) && !Client.disconnected())
      co_await sleepFor(HangPoll);
    if (Client.disconnected())
      co_return 0;
    const std::uint64_t Rate = m_Faults.m_BytesPerSecond;
    std::uint64_t Length =
        std::min(Left, Rate ? LimitedPieceBytes : MaxPieceBytes);
    if (m_Faults.m_StallAfterBytes > Sent)
      Length = std::min(Length, m_Faults.m_StallAfterBytes - Sent);
    if (Rate == 0)
      co_return Length;
    const auto SentAt = m_BandwidthLimiter.reserve(Length, Rate);
    asio::steady_timer Timer(co_await asio::this_coro::executor, SentAt);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return Client.disconnected() ? 0 : Length;
  }

  bool isStalled(std::uint64_t Sent) const {
    return m_Faults.m_StallAfterBytes != 0 &&
           Sent >= m_Faults.m_StallAfterBytes;
  }

  std::string pieceBytes(const Content &Source, std::uint64_t Offset,
                         std::uint64_t Length) const {
    std::string Bytes = contentBytes(Source.m_Seed, Offset, Length);
    if (m_Faults.m_CorruptChunks.empty())
      return Bytes;
    for (std::uint64_t I = 0; I < Length; ++I) {
      const std::uint64_t Chunk = (Offset + I) / Source.m_Manifest.m_ChunkBytes;
      if (m_Faults.m_CorruptChunks.contains(Chunk))
        Bytes[I] = static_cast<char>(Bytes[I] ^ 1);
    }
    return Bytes;
  }

  StoreOptions m_Options;
  OriginFaults m_Faults;
  BandwidthLimiter m_BandwidthLimiter;
  RequestRate m_Rate;
  std::map<std::string, Content> m_Contents;
  std::map<std::string, std::uint64_t> m_BytesByWeights;
  std::uint64_t m_Calls = 0;
  std::uint64_t m_ManifestReads = 0;
  std::uint64_t m_ContentReads = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Bytes = 0;
};

} // namespace

std::unique_ptr<StandIn> makeOrigin(StoreOptions Options) {
  return std::make_unique<Origin>(Options);
}

} // namespace deckpitch::standins
