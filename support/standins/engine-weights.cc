#include "standins/engine-weights.h"

#include "standins/standin.h"

#include <boost/json.hpp>

#include <charconv>

namespace deckpitch::standins {

namespace json = boost::json;

namespace {

constexpr std::string_view StagingPrefix = "/v1/engine/staging/";
constexpr std::string_view ChunksSegment = "/chunks/";

std::string textOf(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  return Found && Found->is_string() ? std::string(Found->get_string().c_str())
                                     : std::string();
}

net::HttpResponse noContent() {
  net::HttpResponse Response;
  Response.m_Status = 204;
  return Response;
}

} // namespace

net::HttpResponse EngineWeights::staging(net::HttpRequest Request) {
  const std::string Rest = pathAfter(Request.path(), StagingPrefix);
  const std::size_t At = Rest.find(ChunksSegment);
  const std::string Weights = Rest.substr(0, At);
  if (At == std::string::npos) {
    if (Request.m_Method != "DELETE")
      return errorResponse(405, "method not allowed");
    dropStaging(Weights);
    return noContent();
  }
  std::uint32_t Index = 0;
  const char *First = Rest.data() + At + ChunksSegment.size();
  const char *End = Rest.data() + Rest.size();
  const auto Read = std::from_chars(First, End, Index);
  if (Read.ec != std::errc() || Read.ptr != End)
    return errorResponse(404, "no such chunk");
  if (Request.m_Method == "PUT")
    return putChunk(Weights, Index, std::move(Request.m_Body));
  if (Request.m_Method == "GET")
    return getChunk(Weights, Index);
  return errorResponse(405, "method not allowed");
}

net::HttpResponse EngineWeights::putChunk(const std::string &Weights,
                                          std::uint32_t Index,
                                          std::string Bytes) {
  auto &Chunks = m_Staging[Weights];
  const auto Before = Chunks.find(Index);
  const std::uint64_t ReplacedBytes =
      Before == Chunks.end() ? 0 : Before->second.m_Bytes->size();
  const std::uint64_t BytesAfter = m_StagedBytes - ReplacedBytes + Bytes.size();
  if (m_StagingLimitBytes != 0 && BytesAfter > m_StagingLimitBytes)
    return errorResponse(507, "staging is full");
  m_StagedBytes = BytesAfter;
  Chunks.insert_or_assign(Index, ChunkPool::instance().add(std::move(Bytes)));
  return noContent();
}

net::HttpResponse EngineWeights::getChunk(const std::string &Weights,
                                          std::uint32_t Index) const {
  const auto Chunks = m_Staging.find(Weights);
  if (Chunks == m_Staging.end())
    return errorResponse(404, "no such chunk");
  const auto Found = Chunks->second.find(Index);
  if (Found == Chunks->second.end())
    return errorResponse(404, "no such chunk");
  net::HttpResponse Response;
  Response.m_Headers.add("Content-Type", "application/octet-stream");
  Response.m_Body = *Found->second.m_Bytes;
  return Response;
}

void EngineWeights::dropStaging(const std::string &Weights) {
  const auto Found = m_Staging.find(Weights);
  if (Found == m_Staging.end())
    return;
  for (const auto &[Index, Chunk] : Found->second)
    m_StagedBytes -= Chunk.m_Bytes->size();
  m_Staging.erase(Found);
}

std::uint32_t EngineWeights::slotsUsed() const {
  std::uint32_t Used = 0;
  for (const auto &[Weights, Each] : m_Loaded)
    Used += Each.m_IsAdapter ? 0 : 1;
  return Used;
}

net::HttpResponse EngineWeights::load(const json::object &Order) {
  const std::string Weights = textOf(Order, "weights");
  const json::value *Given = Order.if_contains("manifest");
  if (!Given || !Given->is_object())
    return errorResponse(400, "load needs a manifest");
  json::object Plain = Given->get_object();
  const std::string Base = textOf(Plain, "base");
  Plain.erase("base");
  const auto Parsed =
      outcomeOf([&] { return parseManifest(json::serialize(Plain)); });
  if (!Parsed)
    return errorResponse(422, Parsed.error().m_Message);
  if (Parsed->m_Weights.m_Text != Weights)
    return errorResponse(422, "the manifest is of other weights");
  if (!Base.empty() && !m_Loaded.contains(Base))
    return errorResponse(422, "the base weights are not loaded");
  json::array Bad;
  const auto &Chunks = m_Staging[Weights];
  for (std::uint32_t I = 0; I < Parsed->chunkCount(); ++I) {
    const auto Found = Chunks.find(I);
    if (Found == Chunks.end() || Found->second.m_Digest != Parsed->m_Chunks[I])
      Bad.emplace_back(I);
  }
  if (!Bad.empty())
    return jsonObjectResponse(
        422, {{"error", "bad chunks"}, {"chunks", std::move(Bad)}});
  const std::string Digest = toHex(Parsed->m_Whole);
  const auto Same = m_Loaded.find(Weights);
  if (Same != m_Loaded.end() && Same->second.m_Digest != Digest &&
      (m_Active == Weights || m_IsRunning(Weights)))
    return errorResponse(409, "other content of these weights is in use");
  if (Same == m_Loaded.end() && Base.empty() && slotsUsed() >= m_Slots)
    return errorResponse(507, "no slot is free");
  m_Loaded.insert_or_assign(Weights, Loaded{Digest, !Base.empty()});
  return jsonObjectResponse(200, {{"weights", Weights}, {"digest", Digest}});
}

net::HttpResponse EngineWeights::activate(const json::object &Order) {
  const std::string Weights = textOf(Order, "weights");
  const auto Found = m_Loaded.find(Weights);
  if (Found == m_Loaded.end())
    return errorResponse(404, "not loaded");
  m_Active = Weights;
  return jsonObjectResponse(
      200, {{"weights", Weights}, {"digest", Found->second.m_Digest}});
}

net::HttpResponse EngineWeights::unload(const json::object &Order) {
  const std::string Weights = textOf(Order, "weights");
  if (m_IsRunning(Weights))
    return errorResponse(409, "requests run on these weights");
  m_Loaded.erase(Weights);
  dropStaging(Weights);
  if (m_Active == Weights)
    m_Active.clear();
  return jsonObjectResponse(200, {{"weights", Weights}});
}

std::string EngineWeights::activeDigest() const {
  const auto Found = m_Loaded.find(m_Active);
  return Found == m_Loaded.end() ? std::string() : Found->second.m_Digest;
}

void EngineWeights::describe(json::object &Status) const {
  json::array Held;
  for (const auto &[Weights, Each] : m_Loaded)
    Held.push_back(
        json::object{{"weights", Weights},
                     {"digest", Each.m_Digest},
                     {"state", Weights == m_Active ? "active" : "loaded"}});
  json::array Staged;
  for (const auto &[Weights, Chunks] : m_Staging) {
    json::array Indices;
    for (const auto &[Index, Chunk] : Chunks)
      Indices.emplace_back(Index);
    Staged.push_back(
        json::object{{"weights", Weights}, {"chunks", std::move(Indices)}});
  }
  Status["slots"] = m_Slots;
  Status["loaded"] = std::move(Held);
  Status["staging"] = std::move(Staged);
}

} // namespace deckpitch::standins
