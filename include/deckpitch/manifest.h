// The manifest of a version of weights: its chunks and their digests.
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

/// A SHA-256 digest.
struct Digest {
  std::array<std::uint8_t, 32> m_Bytes{};
  friend auto operator<=>(const Digest &, const Digest &) = default;
};

Digest digestOf(std::span<const std::uint8_t> Data);
std::string toHex(const Digest &Value);
Result<Digest> parseDigest(std::string_view Hex);

/// The chunks of a version of weights, numbered from 0. All but the last have
/// m_ChunkBytes bytes.
struct Manifest {
  WeightsId m_Weights;
  std::uint64_t m_Bytes = 0;
  std::uint32_t m_ChunkBytes = 0;
  /// Digest of the concatenated chunk digests, which identifies the content.
  Digest m_Whole;
  std::vector<Digest> m_Chunks;
  WeightsId m_Base; ///< for adapters: the weights they apply to

  std::uint32_t chunkCount() const {
    return static_cast<std::uint32_t>(m_Chunks.size());
  }
  std::uint64_t chunkOffset(std::uint32_t Index) const {
    return std::uint64_t{Index} * m_ChunkBytes;
  }
  std::uint32_t chunkLength(std::uint32_t Index) const;

  friend bool operator==(const Manifest &, const Manifest &) = default;
};

/// Parses and validates a manifest in JSON (docs/INTERFACES.md). Errors:
/// InvalidInput if malformed, CorruptData if the whole digest does not match.
Result<Manifest> parseManifest(std::string_view Json);
std::string formatManifest(const Manifest &Value);

/// Computes Manifest::m_Whole of the given chunk digests.
Digest wholeDigest(const std::vector<Digest> &Chunks);

} // namespace deckpitch
