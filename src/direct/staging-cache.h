// Keeps chunks in memory beside the instance's staging.
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

/// What a look at all staged chunks came to.
enum class StagedState {
  Right, ///< all are as declared, and were looked at just now
  Lost,  ///< one is missing here too, or staging cannot be read
  Unsure ///< what lies there may differ from what was looked at
};

/// An engine port in front of another. A verified chunk counts as staged once
/// it is here, so that it is passed on to peers without waiting for the
/// instance. Staging holds one version, so only that one is written behind.
/// Before an order each staged chunk is compared with its digest: a write may
/// have failed, or staging gone bad since. The instance takes what lies there
/// as it accepts the order, so the look must be young then, and nothing on its
/// way there that could change it.
class StagingCache final : public net::Engine {
public:
  using Clock = std::function<TimePoint()>;

  StagingCache(net::asio::io_context &Io, net::Engine &Behind,
               Clock Now = daemon::now)
      : m_Io(Io), m_Behind(Behind), m_Now(std::move(Now)) {}

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
  /// From now on chunks of these weights are written to the instance, unless
  /// an order of others may still be accepted.
  void writeBehind(const WeightsId &Weights);
  /// Writes again each staged chunk that differs from its digest. Where the
  /// state is right, an order is to be sent at once.
  net::asio::awaitable<StagedState> repair(const Manifest &Wanted);
  /// An order to load these had no answer: the instance may accept it later.
  void orderUnanswered(const WeightsId &Ordered);

private:
  /// A write that had no answer, and may be stored later.
  struct UnansweredWrite {
    std::uint32_t m_Index = 0;
    Digest m_Content;
    TimePoint m_Until; ///< then it is stored, or never is
  };

  /// Chunks that were wrong and are written again; nothing where one is lost.
  net::asio::awaitable<std::optional<std::uint32_t>>
  rewriteWrong(const Manifest &Wanted);
  bool mayChange(const Manifest &Wanted);
  bool isHeldForOther(const WeightsId &Weights) const;
  net::asio::awaitable<void> write();
  void startWriters();
  const std::string *find(const WeightsId &Weights, std::uint32_t Index) const;

  net::asio::io_context &m_Io;
  net::Engine &m_Behind;
  Clock m_Now;
  std::map<WeightsId, std::map<std::uint32_t, std::string>> m_Chunks;
  WeightsId m_Written; ///< whose chunks go to the instance
  std::deque<std::uint32_t> m_Unwritten;
  std::size_t m_Writers = 0;
  std::vector<UnansweredWrite> m_UnansweredWrites;
  WeightsId m_Ordered; ///< by an order that had no answer
  TimePoint m_OrderedUntil{};
};

} // namespace deckpitch::direct
