#include "direct/staging-cache.h"

#include "daemon/weights-link.h"
#include "net/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <span>
#include <utility>

namespace deckpitch::direct {

namespace asio = boost::asio;

namespace {

/// Writes to the instance at once: one travels while another is stored.
constexpr std::size_t MostWriters = 3;
constexpr Duration WriteWait = std::chrono::milliseconds(5);

bool matches(const Digest &Wanted, const std::string &Bytes) {
  return digestOf({reinterpret_cast<const std::uint8_t *>(Bytes.data()),
                   Bytes.size()}) == Wanted;
}

} // namespace

void StagingCache::keepOnly(const WeightsId &Weights) {
  if (m_Weights == Weights)
    return;
  m_Weights = Weights;
  m_Chunks.clear();
  m_Unwritten.clear();
}

asio::awaitable<Outcome<EngineStatus>> StagingCache::status() {
  return m_Behind.status();
}

asio::awaitable<Outcome<bool>>
StagingCache::stage(WeightsId Weights, std::uint32_t Index, std::string Bytes) {
  if (Weights != m_Weights)
    co_return co_await m_Behind.stage(Weights, Index, std::move(Bytes));
  m_Chunks[Index] = std::move(Bytes);
  m_Unwritten.push_back(Index);
  if (m_Writers < MostWriters) {
    ++m_Writers;
    asio::co_spawn(m_Io, writeBehind(), asio::detached);
  }
  co_return true;
}

asio::awaitable<void> StagingCache::writeBehind() {
  while (!m_Unwritten.empty()) {
    const std::uint32_t Index = m_Unwritten.front();
    m_Unwritten.pop_front();
    const auto Kept = m_Chunks.find(Index);
    if (Kept == m_Chunks.end())
      continue;
    const auto Stored = co_await m_Behind.stage(m_Weights, Index, Kept->second);
    if (!Stored)
      net::log(Event::StagingFailed, {{"weights", m_Weights.m_Text},
                                      {"chunk", std::uint64_t{Index}},
                                      {"error", Stored.error().m_Message}});
  }
  --m_Writers;
}

asio::awaitable<Outcome<std::string>>
StagingCache::staged(WeightsId Weights, std::uint32_t Index) {
  const auto Found = m_Chunks.find(Index);
  if (Weights == m_Weights && Found != m_Chunks.end())
    co_return Found->second;
  auto Bytes = co_await m_Behind.staged(Weights, Index);
  if (Bytes && Weights == m_Weights)
    m_Chunks[Index] = *Bytes;
  co_return Bytes;
}

asio::awaitable<Outcome<bool>> StagingCache::dropStaging(WeightsId Weights) {
  return m_Behind.dropStaging(std::move(Weights));
}

asio::awaitable<Outcome<bool>> StagingCache::load(Manifest Wanted,
                                                  FencingNumber Fence) {
  return m_Behind.load(std::move(Wanted), Fence);
}

asio::awaitable<Outcome<bool>> StagingCache::activate(WeightsId Weights,
                                                      FencingNumber Fence) {
  return m_Behind.activate(std::move(Weights), Fence);
}

asio::awaitable<Outcome<bool>> StagingCache::unload(WeightsId Weights,
                                                    FencingNumber Fence) {
  return m_Behind.unload(std::move(Weights), Fence);
}

asio::awaitable<bool> StagingCache::repair(const Manifest &Wanted) {
  while (m_Writers > 0)
    co_await daemon::pauseFor(WriteWait);
  for (std::uint32_t Index = 0; Index < Wanted.chunkCount(); ++Index) {
    const Digest &Right = Wanted.m_Chunks[Index];
    const auto Staged = co_await m_Behind.staged(Wanted.m_Weights, Index);
    if (!Staged && Staged.error().m_Code != ErrorCode::NotFound)
      co_return false;
    if (Staged && matches(Right, *Staged))
      continue;
    net::log(Event::StagedChunkSpoilt, {{"weights", Wanted.m_Weights.m_Text},
                                        {"chunk", std::uint64_t{Index}}});
    const auto Kept = m_Chunks.find(Index);
    const bool IsKept = Wanted.m_Weights == m_Weights &&
                        Kept != m_Chunks.end() && matches(Right, Kept->second);
    if (!IsKept)
      co_return false;
    const auto Stored =
        co_await m_Behind.stage(Wanted.m_Weights, Index, Kept->second);
    if (!Stored)
      co_return false;
  }
  co_return true;
}

} // namespace deckpitch::direct
