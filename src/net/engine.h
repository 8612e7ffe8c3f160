// The port to a model engine for staging and loading weights, as coroutines.
#pragma once

#include "deckpitch/engine-status.h"
#include "deckpitch/manifest.h"
#include "net/http.h"

#include <concepts>
#include <cstdint>
#include <string>

namespace deckpitch::net {

/// Interface that every adapter and every fake of an engine satisfies.
template <typename T>
concept EnginePort = requires(T &At, WeightsId Weights, std::uint32_t Index,
                              std::string Bytes, Manifest Wanted,
                              FencingNumber Fence) {
  { At.status() } -> std::same_as<asio::awaitable<Outcome<EngineStatus>>>;
  {
    At.stage(Weights, Index, Bytes)
    } -> std::same_as<asio::awaitable<Outcome<bool>>>;
  {
    At.staged(Weights, Index)
    } -> std::same_as<asio::awaitable<Outcome<std::string>>>;
  { At.dropStaging(Weights) } -> std::same_as<asio::awaitable<Outcome<bool>>>;
  { At.load(Wanted, Fence) } -> std::same_as<asio::awaitable<Outcome<bool>>>;
  {
    At.activate(Weights, Fence)
    } -> std::same_as<asio::awaitable<Outcome<bool>>>;
  { At.unload(Weights, Fence) } -> std::same_as<asio::awaitable<Outcome<bool>>>;
};

/// An engine's staging area and the orders that it takes. Errors of all calls:
/// Unavailable (not done), Timeout (may have taken effect).
class Engine {
public:
  Engine() = default;
  virtual ~Engine() = default;
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  virtual asio::awaitable<Outcome<EngineStatus>> status() = 0;
  /// Stores a verified chunk in staging.
  virtual asio::awaitable<Outcome<bool>>
  stage(WeightsId Weights, std::uint32_t Index, std::string Bytes) = 0;
  /// Returns the bytes of a staged chunk. Errors: NotFound.
  virtual asio::awaitable<Outcome<std::string>> staged(WeightsId Weights,
                                                       std::uint32_t Index) = 0;
  virtual asio::awaitable<Outcome<bool>> dropStaging(WeightsId Weights) = 0;
  /// Orders to load, activate and unload weights. Errors: StaleFence;
  /// CorruptData if staged chunks do not match the manifest; Unavailable if no
  /// slot is free; NotFound if the weights to activate are not loaded.
  virtual asio::awaitable<Outcome<bool>> load(Manifest Wanted,
                                              FencingNumber Fence) = 0;
  virtual asio::awaitable<Outcome<bool>> activate(WeightsId Weights,
                                                  FencingNumber Fence) = 0;
  virtual asio::awaitable<Outcome<bool>> unload(WeightsId Weights,
                                                FencingNumber Fence) = 0;
};

static_assert(EnginePort<Engine>);

} // namespace deckpitch::net
