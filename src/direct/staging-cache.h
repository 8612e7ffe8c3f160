// Keeps the chunks of one version in memory beside the instance's staging.
#pragma once

#include "net/engine.h"

#include <map>
#include <string>

namespace deckpitch::direct {

/// An engine port in front of another. Chunks that peers ask for come from
/// memory, and before an order each staged chunk is compared with the one kept
/// here: staging may have gone bad since it was written.
class StagingCache final : public net::Engine {
public:
  explicit StagingCache(net::Engine &Behind) : m_Behind(Behind) {}

  net::asio::awaitable<Outcome<EngineStatus>> status() override;
  net::asio::awaitable<Outcome<bool>>
  stage(WeightsId Weights, std::uint32_t Index, std::string Bytes) override;
  net::asio::awaitable<Outcome<std::string>>
  staged(WeightsId Weights, std::uint32_t Index) override;
  net::asio::awaitable<Outcome<bool>> dropStaging(WeightsId Weights) override;
  net::asio::awaitable<Outcome<bool>> load(Manifest Wanted,
                                           FencingNumber Fence) override;
  net::asio::awaitable<Outcome<bool>> activate(WeightsId Weights,
                                               FencingNumber Fence) override;
  net::asio::awaitable<Outcome<bool>> unload(WeightsId Weights,
                                             FencingNumber Fence) override;

  /// Forgets what is not of these weights.
  void keepOnly(const WeightsId &Weights);
  /// Writes again each staged chunk that differs from its digest. False while
  /// one is missing here too, or staging cannot be read.
  net::asio::awaitable<bool> repair(const Manifest &Wanted);

private:
  net::Engine &m_Behind;
  WeightsId m_Weights;
  std::map<std::uint32_t, std::string> m_Chunks;
};

} // namespace deckpitch::direct
