// An in-process fake of an origin of weights.
#pragma once

#include "net/origin.h"
#include "standins/content.h"

#include <map>

namespace deckpitch::test {

class FakeOrigin : public net::Origin {
public:
  /// Adds weights whose content depends only on the seed and the size.
  void add(const WeightsId &Weights, std::uint64_t Bytes,
           std::uint32_t ChunkBytes, std::uint64_t Seed) {
    Content Made{{Weights, Bytes, ChunkBytes, {}, {}, {}},
                 standins::contentBytes(Seed, 0, Bytes)};
    for (std::uint64_t At = 0; At < Bytes; At += ChunkBytes) {
      const auto Chunk = std::string_view(Made.m_Bytes).substr(At, ChunkBytes);
      Made.m_Manifest.m_Chunks.push_back(
          digestOf({reinterpret_cast<const std::uint8_t *>(Chunk.data()),
                    Chunk.size()}));
    }
    Made.m_Manifest.m_Whole = wholeDigest(Made.m_Manifest.m_Chunks);
    m_Contents.insert_or_assign(Weights, std::move(Made));
  }
  void setOutage(bool On) { m_Outage = On; }

  net::asio::awaitable<Outcome<Manifest>> manifest(WeightsId Weights) override {
    if (m_Outage)
      co_return Error{ErrorCode::Unavailable, "outage"};
    const auto Found = m_Contents.find(Weights);
    if (Found == m_Contents.end())
      co_return Error{ErrorCode::NotFound, "no such weights"};
    co_return Found->second.m_Manifest;
  }

  net::asio::awaitable<Outcome<net::OriginChunk>>
  chunk(const Manifest &Of, std::uint32_t Index,
        net::OriginPacer Pacer) override {
    if (m_Outage)
      co_return Error{ErrorCode::Unavailable, "outage"};
    const auto Found = m_Contents.find(Of.m_Weights);
    if (Found == m_Contents.end())
      co_return Error{ErrorCode::NotFound, "no such weights"};
    const Content &From = Found->second;
    net::OriginChunk Out{
        From.m_Bytes.substr(Of.chunkOffset(Index), Of.chunkLength(Index)),
        toHex(From.m_Manifest.m_Whole)};
    co_await Pacer(Out.m_Bytes.size());
    co_return Out;
  }

private:
  struct Content {
    Manifest m_Manifest;
    std::string m_Bytes;
  };

  std::map<WeightsId, Content> m_Contents;
  bool m_Outage = false;
};

static_assert(net::OriginPort<FakeOrigin>);

} // namespace deckpitch::test
