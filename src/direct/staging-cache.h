// A write-behind cache of chunks in front of the instance's staging.
#pragma once

#include "daemon/clock.h"
#include "net/engine.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace deckpitch::direct {

/// The result of verifying all staged chunks.
enum class StagedState {
  Verified,     ///< all matched their digests just now
  Unrepairable, ///< a chunk is missing in the cache too, or staging fails
  Uncertain     ///< staging may differ from what was read
};

/// An engine port in front of another. A verified chunk counts as staged once
/// it is in the cache, so that it is served to peers without waiting for the
/// instance. Staging holds one version, so only that one is written behind.
/// Before a load order each staged chunk is compared with its digest: a write
/// may have failed, or staging may have become corrupt. The instance loads what
/// staging holds when it accepts the order, so the verification must be recent
/// then, and no write in flight may change what was verified.
class StagingCache final : public net::Engine {
public:
  using Clock = std::function<TimePoint()>;

  StagingCache(net::asio::io_context &Io, net::Engine &Backing,
               Clock Now = daemon::now)
      : m_Io(Io), m_Backing(Backing), m_Now(std::move(Now)) {}

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

  /// Drops chunks of all other weights.
  void keepOnly(std::set<WeightsId> Weights);
  /// From now on writes chunks of these weights to the instance, unless an
  /// order to load others may still be accepted.
  void writeBehind(const WeightsId &Weights);
  /// Rewrites each staged chunk that does not match its digest. Verified holds
  /// for a short time only: send the load order at once.
  net::asio::awaitable<StagedState> verifyAndRepair(const Manifest &Wanted);
  /// Records that a load order timed out: the instance may still accept it.
  void noteUnansweredOrder(const WeightsId &Ordered);

private:
  /// A write that timed out and may still be stored.
  struct UnansweredWrite {
    std::uint32_t m_Index = 0;
    Digest m_Content;
    TimePoint m_Until; ///< not stored any more after this
  };

  /// Number of corrupt chunks that were rewritten; nothing if one could not be.
  net::asio::awaitable<std::optional<std::uint32_t>>
  rewriteCorrupt(const Manifest &Wanted);
  bool mayStagingChange(const Manifest &Wanted);
  bool isReservedForOther(const WeightsId &Weights) const;
  net::asio::awaitable<void> write();
  void startWriters();
  const std::string *find(const WeightsId &Weights, std::uint32_t Index) const;

  net::asio::io_context &m_Io;
  net::Engine &m_Backing;
  Clock m_Now;
  std::map<WeightsId, std::map<std::uint32_t, std::string>> m_Chunks;
  WeightsId m_WriteBehindWeights; ///< weights whose chunks go to the instance
  std::deque<std::uint32_t> m_WriteQueue;
  std::size_t m_Writers = 0;
  std::vector<UnansweredWrite> m_UnansweredWrites;
  WeightsId m_UnansweredOrder; ///< named by a load order that timed out
  TimePoint m_UnansweredOrderUntil{};
};

} // namespace deckpitch::direct
