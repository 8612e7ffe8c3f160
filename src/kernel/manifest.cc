#include "deckpitch/manifest.h"

#include "deckpitch/json-reader.h"

#include <boost/json.hpp>
#include <openssl/evp.h>

#include <algorithm>

namespace deckpitch {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr std::uint64_t MaxWeightsBytes = 1ULL << 44;
constexpr std::uint32_t MaxChunkBytes = 256U * 1024 * 1024;

} // namespace

Digest digestOf(std::span<const std::uint8_t> Data) {
  Digest Out;
  unsigned Length = 0;
  EVP_Digest(Data.data(), Data.size(), Out.m_Bytes.data(), &Length,
             EVP_sha256(), nullptr);
  return Out;
}

std::string toHex(const Digest &Value) {
  std::string Text;
  for (std::uint8_t Byte : Value.m_Bytes) {
    Text.push_back(HexDigits[Byte >> 4]);
    Text.push_back(HexDigits[Byte & 15]);
  }
  return Text;
}

Result<Digest> parseDigest(std::string_view Hex) {
  Digest Out;
  if (Hex.size() != 2 * Out.m_Bytes.size())
    return fail(ErrorCode::InvalidInput, "a digest has 64 hex digits");
  for (std::size_t I = 0; I < Hex.size(); ++I) {
    const std::size_t Nibble = HexDigits.find(Hex[I]);
    if (Nibble == std::string_view::npos)
      return fail(ErrorCode::InvalidInput, "a digest has 64 hex digits");
    Out.m_Bytes[I / 2] =
        static_cast<std::uint8_t>(Out.m_Bytes[I / 2] << 4 | Nibble);
  }
  return Out;
}

std::uint32_t Manifest::chunkLength(std::uint32_t Index) const {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(m_ChunkBytes, m_Bytes - chunkOffset(Index)));
}

Digest wholeDigest(const std::vector<Digest> &Chunks) {
  std::vector<std::uint8_t> Joined;
  Joined.reserve(Chunks.size() * sizeof(Digest::m_Bytes));
  for (const Digest &Each : Chunks)
    Joined.insert(Joined.end(), Each.m_Bytes.begin(), Each.m_Bytes.end());
  return digestOf(Joined);
}

Result<Manifest> parseManifest(std::string_view Json) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  Manifest Out;
  std::string Whole;
  JsonObjectReader Reader(Value, "", Found);
  Reader.required("weights", Out.m_Weights.m_Text);
  Reader.optional("base", Out.m_Base.m_Text);
  Reader.optional("bytes", Out.m_Bytes, 1, MaxWeightsBytes);
  Reader.optional("chunkBytes", Out.m_ChunkBytes, 1, MaxChunkBytes);
  Reader.required("whole", Whole);
  Reader.array(
      "chunks", [&](const boost::json::value &Each, const std::string &Path) {
        auto Parsed = Each.is_string()
                          ? parseDigest(std::string_view(Each.get_string()))
                          : fail(ErrorCode::InvalidInput, "");
        if (Parsed)
          Out.m_Chunks.push_back(*Parsed);
        else
          Found.m_List.push_back({Path, boost::json::serialize(Each),
                                  "a digest of 64 hex digits"});
      });
  Reader.finish();
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  BOOST_LEAF_ASSIGN(Out.m_Whole, parseDigest(Whole));
  if (Out.m_ChunkBytes == 0 || Out.m_Bytes == 0)
    return fail(ErrorCode::InvalidInput, "bytes and chunkBytes must be given");
  if (Out.m_Chunks.size() !=
      (Out.m_Bytes + Out.m_ChunkBytes - 1) / Out.m_ChunkBytes)
    return fail(ErrorCode::InvalidInput,
                "the number of chunks does not fit bytes and chunkBytes");
  if (wholeDigest(Out.m_Chunks) != Out.m_Whole)
    return fail(ErrorCode::CorruptData,
                "the whole digest disagrees with the chunks' digests");
  return Out;
}

std::string formatManifest(const Manifest &Value) {
  boost::json::array Chunks;
  for (const Digest &Each : Value.m_Chunks)
    Chunks.emplace_back(toHex(Each));
  boost::json::object Out{{"weights", Value.m_Weights.m_Text},
                          {"bytes", Value.m_Bytes},
                          {"chunkBytes", Value.m_ChunkBytes},
                          {"whole", toHex(Value.m_Whole)},
                          {"chunks", std::move(Chunks)}};
  if (!Value.m_Base.empty())
    Out["base"] = Value.m_Base.m_Text;
  return boost::json::serialize(Out);
}

} // namespace deckpitch
