// The port to the origin of weights and to the weight store.
#pragma once

#include "deckpitch/manifest.h"
#include "net/http.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>

namespace deckpitch::net {

/// A chunk as received from the origin, not yet verified.
struct OriginChunk {
  std::string m_Bytes;
  std::string m_Tag; ///< identifies the complete content; may be empty
};

/// Awaited with the size of each piece received, to limit the rate at which the
/// reader uses its link.
using OriginPacer = std::function<asio::awaitable<void>(std::size_t Bytes)>;

/// Interface that every adapter and every fake of an origin satisfies.
template <typename T>
concept OriginPort = requires(T &At, WeightsId Weights, const Manifest &Of,
                              std::uint32_t Index, OriginPacer Pacer) {
  { At.manifest(Weights) } -> std::same_as<asio::awaitable<Outcome<Manifest>>>;
  {
    At.chunk(Of, Index, Pacer)
    } -> std::same_as<asio::awaitable<Outcome<OriginChunk>>>;
};

/// The origin of weights, or the weight store. Errors: NotFound, Unavailable
/// (temporarily refused), Timeout, CorruptData (manifest of different weights,
/// or too many bytes).
class Origin {
public:
  Origin() = default;
  virtual ~Origin() = default;
  Origin(const Origin &) = delete;
  Origin &operator=(const Origin &) = delete;

  virtual asio::awaitable<Outcome<Manifest>> manifest(WeightsId Weights) = 0;
  virtual asio::awaitable<Outcome<OriginChunk>>
  chunk(const Manifest &Of, std::uint32_t Index, OriginPacer Pacer) = 0;
};

static_assert(OriginPort<Origin>);

} // namespace deckpitch::net
