#include "direct/staging-cache.h"

#include "daemon/weights-link.h"
#include "net/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <span>
#include <utility>

namespace deckpitch::direct {

namespace asio = boost::asio;

namespace {

/// Concurrent writes to the instance: one is sent while another is stored.
constexpr std::size_t MaxWriters = 3;
constexpr Duration WriteWait = std::chrono::milliseconds(5);
/// Longest time from the first read of a verification to the load order: half
/// of the time for which the platform tolerates a chunk that became corrupt.
constexpr Duration VerificationLifetime = std::chrono::milliseconds(1'500);
/// Passes before the order is left to a later step: one that rewrites, one that
/// verifies the result, and one in case the instance was slow.
constexpr int MaxPasses = 3;
/// A call that timed out may still be executed for this long: its bytes may be
/// queued, or the instance may be paused.
constexpr Duration UnansweredLifetime = std::chrono::seconds(3);

Digest digestOfText(const std::string &Bytes) {
  return digestOf(
      {reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size()});
}

bool matches(const Digest &Wanted, const std::string &Bytes) {
  return digestOfText(Bytes) == Wanted;
}

} // namespace

void StagingCache::keepOnly(std::set<WeightsId> Weights) {
  std::erase_if(m_Chunks, [&](const auto &Each) {
    return !Weights.contains(Each.first);
  });
  for (const WeightsId &Each : Weights)
    m_Chunks[Each];
}

void StagingCache::writeBehind(const WeightsId &Weights) {
  if (m_WriteBehindWeights == Weights || isReservedForOther(Weights))
    return;
  m_WriteBehindWeights = Weights;
  m_WriteQueue.clear();
  const auto Kept = m_Chunks.find(Weights);
  if (Kept == m_Chunks.end())
    return;
  for (const auto &[Index, Bytes] : Kept->second)
    m_WriteQueue.push_back(Index);
  startWriters();
}

const std::string *StagingCache::find(const WeightsId &Weights,
                                      std::uint32_t Index) const {
  const auto Kept = m_Chunks.find(Weights);
  if (Kept == m_Chunks.end())
    return nullptr;
  const auto Found = Kept->second.find(Index);
  return Found == Kept->second.end() ? nullptr : &Found->second;
}

asio::awaitable<Outcome<EngineStatus>> StagingCache::status() {
  return m_Backing.status();
}

asio::awaitable<Outcome<bool>>
StagingCache::stage(WeightsId Weights, std::uint32_t Index, std::string Bytes) {
  const auto Kept = m_Chunks.find(Weights);
  if (Kept == m_Chunks.end())
    co_return co_await m_Backing.stage(Weights, Index, std::move(Bytes));
  Kept->second[Index] = std::move(Bytes);
  if (Weights == m_WriteBehindWeights) {
    m_WriteQueue.push_back(Index);
    startWriters();
  }
  co_return true;
}

void StagingCache::startWriters() {
  while (m_Writers < std::min(MaxWriters, m_WriteQueue.size())) {
    ++m_Writers;
    asio::co_spawn(m_Io, write(), asio::detached);
  }
}

asio::awaitable<void> StagingCache::write() {
  while (!m_WriteQueue.empty()) {
    const WeightsId Weights = m_WriteBehindWeights;
    const std::uint32_t Index = m_WriteQueue.front();
    m_WriteQueue.pop_front();
    const std::string *Kept = find(Weights, Index);
    if (!Kept)
      continue;
    const std::string Bytes = *Kept;
    const auto Stored = co_await m_Backing.stage(Weights, Index, Bytes);
    if (Stored)
      continue;
    net::log(Event::StagingFailed, {{"weights", Weights.m_Text},
                                    {"chunk", std::uint64_t{Index}},
                                    {"error", Stored.error().m_Message}});
    if (Stored.error().m_Code == ErrorCode::Timeout)
      m_UnansweredWrites.push_back(
          {Index, digestOfText(Bytes), m_Now() + UnansweredLifetime});
  }
  --m_Writers;
}

asio::awaitable<Outcome<std::string>>
StagingCache::staged(WeightsId Weights, std::uint32_t Index) {
  if (const std::string *Found = find(Weights, Index))
    co_return *Found;
  auto Bytes = co_await m_Backing.staged(Weights, Index);
  const auto Kept = m_Chunks.find(Weights);
  if (Bytes && Kept != m_Chunks.end())
    Kept->second.emplace(Index, *Bytes);
  co_return Bytes;
}

asio::awaitable<Outcome<bool>> StagingCache::dropStaging(WeightsId Weights) {
  return m_Backing.dropStaging(std::move(Weights));
}

asio::awaitable<Outcome<bool>> StagingCache::load(Manifest Wanted,
                                                  FencingNumber Fence) {
  return m_Backing.load(std::move(Wanted), Fence);
}

asio::awaitable<Outcome<bool>> StagingCache::activate(WeightsId Weights,
                                                      FencingNumber Fence) {
  return m_Backing.activate(std::move(Weights), Fence);
}

asio::awaitable<Outcome<bool>> StagingCache::unload(WeightsId Weights,
                                                    FencingNumber Fence) {
  return m_Backing.unload(std::move(Weights), Fence);
}

asio::awaitable<StagedState>
StagingCache::verifyAndRepair(const Manifest &Wanted) {
  while (m_Writers > 0)
    co_await daemon::sleepFor(WriteWait);
  Duration Took{};
  std::uint32_t Rewritten = 0;
  for (int Pass = 0; Pass < MaxPasses && !mayStagingChange(Wanted); ++Pass) {
    const TimePoint Begin = m_Now();
    const std::optional<std::uint32_t> Corrupt =
        co_await rewriteCorrupt(Wanted);
    if (!Corrupt)
      co_return StagedState::Unrepairable;
    Took = m_Now() - Begin;
    Rewritten = *Corrupt;
    // Only a read proves what staging holds: a write may be acknowledged and
    // not be stored.
    if (Rewritten == 0 && Took <= VerificationLifetime)
      co_return StagedState::Verified;
  }
  net::log(Event::StagingUncertain,
           {{"weights", Wanted.m_Weights.m_Text},
            {"tookMs", msOf(Took)},
            {"rewritten", std::uint64_t{Rewritten}},
            {"unansweredWrites", std::uint64_t{m_UnansweredWrites.size()}},
            {"heldFor", isReservedForOther(Wanted.m_Weights)
                            ? m_UnansweredOrder.m_Text
                            : std::string()}});
  co_return StagedState::Uncertain;
}

/// Whether a call in flight may still make staging differ from the manifest.
bool StagingCache::mayStagingChange(const Manifest &Wanted) {
  const TimePoint Now = m_Now();
  std::erase_if(m_UnansweredWrites, [Now](const UnansweredWrite &Each) {
    return Now >= Each.m_Until;
  });
  const auto Differs = [&Wanted](const UnansweredWrite &Each) {
    return Each.m_Index < Wanted.chunkCount() &&
           Each.m_Content != Wanted.m_Chunks[Each.m_Index];
  };
  return isReservedForOther(Wanted.m_Weights) ||
         std::any_of(m_UnansweredWrites.begin(), m_UnansweredWrites.end(),
                     Differs);
}

void StagingCache::noteUnansweredOrder(const WeightsId &Ordered) {
  m_UnansweredOrder = Ordered;
  m_UnansweredOrderUntil = m_Now() + UnansweredLifetime;
}

/// Whether the instance may still accept a load order for other weights, and
/// would then load what staging holds as those.
bool StagingCache::isReservedForOther(const WeightsId &Weights) const {
  return Weights != m_UnansweredOrder && m_Now() < m_UnansweredOrderUntil;
}

asio::awaitable<std::optional<std::uint32_t>>
StagingCache::rewriteCorrupt(const Manifest &Wanted) {
  std::uint32_t Rewritten = 0;
  for (std::uint32_t Index = 0; Index < Wanted.chunkCount(); ++Index) {
    const Digest &ExpectedDigest = Wanted.m_Chunks[Index];
    const auto Staged = co_await m_Backing.staged(Wanted.m_Weights, Index);
    if (!Staged && Staged.error().m_Code != ErrorCode::NotFound)
      co_return std::nullopt;
    if (Staged && matches(ExpectedDigest, *Staged))
      continue;
    net::log(Event::StagedChunkCorrupt, {{"weights", Wanted.m_Weights.m_Text},
                                         {"chunk", std::uint64_t{Index}}});
    const std::string *Kept = find(Wanted.m_Weights, Index);
    if (!Kept || !matches(ExpectedDigest, *Kept))
      co_return std::nullopt;
    const auto Stored =
        co_await m_Backing.stage(Wanted.m_Weights, Index, *Kept);
    if (!Stored)
      co_return std::nullopt;
    ++Rewritten;
  }
  co_return Rewritten;
}

} // namespace deckpitch::direct
