// The interface of the origin of weights and of the weight store.
#pragma once

#include "deckpitch/manifest.h"
#include "net/http.h"

#include <functional>
#include <string>

namespace deckpitch::net {

/// A chunk as the origin gave it; not yet verified.
struct OriginChunk {
  std::string m_Bytes;
  std::string m_Tag; ///< names the whole content it was read from; may be empty
};

/// Reads weights over HTTP. Errors: NotFound, Unavailable (refused for now),
/// Timeout.
class Origin {
public:
  Origin(HttpClient &Http, std::string Address)
      : m_Http(Http), m_Address(std::move(Address)) {}

  bool configured() const { return !m_Address.empty(); }
  asio::awaitable<Outcome<Manifest>> manifest(WeightsId Weights);
  /// Pace is awaited for each piece of that many bytes, so that the reader's
  /// link is shaped.
  using Pace = std::function<asio::awaitable<void>(std::size_t Bytes)>;
  asio::awaitable<Outcome<OriginChunk>> chunk(const Manifest &Of,
                                              std::uint32_t Index, Pace Paced);

private:
  HttpClient &m_Http;
  std::string m_Address;
};

} // namespace deckpitch::net
