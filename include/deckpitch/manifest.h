// What a version of weights consists of.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch {

/// SHA-256.
struct Digest {
  std::array<std::uint8_t, 32> m_Bytes{};
  friend auto operator<=>(const Digest &, const Digest &) = default;
};

Digest digestOf(std::span<const std::uint8_t> Data);
std::string toHex(const Digest &Value);
Result<Digest> parseDigest(std::string_view Hex);

/// Chunks are numbered from 0; all but the last have m_ChunkBytes bytes.
struct Manifest {
  WeightsId m_Weights;
  std::uint64_t m_Bytes = 0;
  std::uint32_t m_ChunkBytes = 0;
  /// Digest of the concatenated chunk digests: names the whole content.
  Digest m_Whole;
  std::vector<Digest> m_Chunks;
  WeightsId m_Base; ///< adapters: the weights they are used over

  std::uint32_t chunkCount() const {
    return static_cast<std::uint32_t>(m_Chunks.size());
  }
  std::uint64_t chunkOffset(std::uint32_t Index) const {
    return std::uint64_t{Index} * m_ChunkBytes;
  }
  std::uint32_t chunkLength(std::uint32_t Index) const;

  friend bool operator==(const Manifest &, const Manifest &) = default;
};

/// Reads and checks a manifest (JSON; docs/INTERFACES.md). Errors:
/// InvalidInput when malformed, CorruptData when the whole digest disagrees.
Result<Manifest> parseManifest(std::string_view Json);
std::string formatManifest(const Manifest &Value);

/// The digest that a manifest of these chunks must carry.
Digest wholeDigest(const std::vector<Digest> &Chunks);

} // namespace deckpitch
