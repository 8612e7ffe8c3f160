// The model engine's interface for weights, as coroutines.
#pragma once

#include "deckpitch/engine-status.h"
#include "deckpitch/manifest.h"
#include "net/http.h"

#include <string>

namespace deckpitch::net {

/// Errors of all calls: Unavailable (not done), Timeout (may be done).
class Engine {
public:
  Engine(HttpClient &Http, std::string Address)
      : m_Http(Http), m_Address(std::move(Address)) {}

  asio::awaitable<Outcome<EngineStatus>> status();
  /// Puts a verified chunk into staging.
  asio::awaitable<Outcome<bool>> stage(WeightsId Weights, std::uint32_t Index,
                                       std::string Bytes);
  /// A staged chunk's bytes. Errors: NotFound.
  asio::awaitable<Outcome<std::string>> staged(WeightsId Weights,
                                               std::uint32_t Index);
  asio::awaitable<Outcome<bool>> dropStaging(WeightsId Weights);
  /// Orders. Errors: StaleFence; CorruptData when the engine finds staged
  /// chunks that do not match; Unavailable when no slot is free.
  asio::awaitable<Outcome<bool>> load(Manifest Wanted, FencingNumber Fence);
  asio::awaitable<Outcome<bool>> activate(WeightsId Weights,
                                          FencingNumber Fence);
  asio::awaitable<Outcome<bool>> unload(WeightsId Weights, FencingNumber Fence);

private:
  asio::awaitable<Outcome<bool>> order(std::string Body);

  HttpClient &m_Http;
  std::string m_Address;
};

/// The path of one staged chunk.
std::string stagingPath(const WeightsId &Weights, std::uint32_t Index);

} // namespace deckpitch::net
