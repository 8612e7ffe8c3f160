// Keeps chunks in memory beside the instance's staging.
#pragma once

#include "net/engine.h"

#include <deque>
#include <map>
#include <set>
#include <string>

namespace deckpitch::direct {

/// An engine port in front of another. A verified chunk counts as staged once
/// it is here, so that it is passed on to peers without waiting for the
/// instance. Staging holds one version, so only that one is written behind.
/// Before an order each staged chunk is compared with its digest: a write may
/// have failed, or staging gone bad since.
class StagingCache final : public net::Engine {
public:
  StagingCache(net::asio::io_context &Io, net::Engine &Behind)
      : m_Io(Io), m_Behind(Behind) {}

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
  void keepOnly(std::set<WeightsId> Weights);
  /// From now on chunks of these weights are written to the instance.
  void writeBehind(const WeightsId &Weights);
  /// Writes again each staged chunk that differs from its digest. False while
  /// one is missing here too, or staging cannot be read.
  net::asio::awaitable<bool> repair(const Manifest &Wanted);

private:
  net::asio::awaitable<void> write();
  void startWriters();
  const std::string *find(const WeightsId &Weights, std::uint32_t Index) const;

  net::asio::io_context &m_Io;
  net::Engine &m_Behind;
  std::map<WeightsId, std::map<std::uint32_t, std::string>> m_Chunks;
  WeightsId m_Written; ///< whose chunks go to the instance
  std::deque<std::uint32_t> m_Unwritten;
  std::size_t m_Writers = 0;
};

} // namespace deckpitch::direct
