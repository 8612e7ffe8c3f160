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

/// Writes to the instance at once: one travels while another is stored.
constexpr std::size_t MostWriters = 3;
constexpr Duration WriteWait = std::chrono::milliseconds(5);
/// From the first look at a chunk to the order: half of the time for which the
/// platform excuses a chunk that has turned bad.
constexpr Duration LookLifetime = std::chrono::milliseconds(1'500);
/// Looks before the order is left to a later step: one that writes again, one
/// that sees what became of it, and one in case the machine was slow.
constexpr int MostLooks = 3;
/// A call that had no answer may still be carried out for so long after it was
/// given up: its bytes may wait behind others, or the instance stand still.
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
  if (m_Written == Weights || isHeldForOther(Weights))
    return;
  m_Written = Weights;
  m_Unwritten.clear();
  const auto Kept = m_Chunks.find(Weights);
  if (Kept == m_Chunks.end())
    return;
  for (const auto &[Index, Bytes] : Kept->second)
    m_Unwritten.push_back(Index);
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
  return m_Behind.status();
}

asio::awaitable<Outcome<bool>>
StagingCache::stage(WeightsId Weights, std::uint32_t Index, std::string Bytes) {
  const auto Kept = m_Chunks.find(Weights);
  if (Kept == m_Chunks.end())
    co_return co_await m_Behind.stage(Weights, Index, std::move(Bytes));
  Kept->second[Index] = std::move(Bytes);
  if (Weights == m_Written) {
    m_Unwritten.push_back(Index);
    startWriters();
  }
  co_return true;
}

void StagingCache::startWriters() {
  while (m_Writers < std::min(MostWriters, m_Unwritten.size())) {
    ++m_Writers;
    asio::co_spawn(m_Io, write(), asio::detached);
  }
}

asio::awaitable<void> StagingCache::write() {
  while (!m_Unwritten.empty()) {
    const WeightsId Weights = m_Written;
    const std::uint32_t Index = m_Unwritten.front();
    m_Unwritten.pop_front();
    const std::string *Kept = find(Weights, Index);
    if (!Kept)
      continue;
    const std::string Bytes = *Kept;
    const auto Stored = co_await m_Behind.stage(Weights, Index, Bytes);
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
  auto Bytes = co_await m_Behind.staged(Weights, Index);
  const auto Kept = m_Chunks.find(Weights);
  if (Bytes && Kept != m_Chunks.end())
    Kept->second.emplace(Index, *Bytes);
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

asio::awaitable<StagedState> StagingCache::repair(const Manifest &Wanted) {
  while (m_Writers > 0)
    co_await daemon::pauseFor(WriteWait);
  Duration Took{};
  std::uint32_t Rewritten = 0;
  for (int Look = 0; Look < MostLooks && !mayChange(Wanted); ++Look) {
    const TimePoint Begin = m_Now();
    const std::optional<std::uint32_t> Wrong = co_await rewriteWrong(Wanted);
    if (!Wrong)
      co_return StagedState::Lost;
    Took = m_Now() - Begin;
    Rewritten = *Wrong;
    // Only what was read proves what lies there: a write may be answered and
    // not be stored.
    if (Rewritten == 0 && Took <= LookLifetime)
      co_return StagedState::Right;
  }
  net::log(Event::StagingUnsure,
           {{"weights", Wanted.m_Weights.m_Text},
            {"tookMs", msOf(Took)},
            {"rewritten", std::uint64_t{Rewritten}},
            {"unansweredWrites", std::uint64_t{m_UnansweredWrites.size()}},
            {"heldFor", isHeldForOther(Wanted.m_Weights) ? m_Ordered.m_Text
                                                         : std::string()}});
  co_return StagedState::Unsure;
}

/// Whether something that is on its way may make staging differ from this.
bool StagingCache::mayChange(const Manifest &Wanted) {
  const TimePoint Now = m_Now();
  std::erase_if(m_UnansweredWrites, [Now](const UnansweredWrite &Each) {
    return Now >= Each.m_Until;
  });
  const auto Differs = [&Wanted](const UnansweredWrite &Each) {
    return Each.m_Index < Wanted.chunkCount() &&
           Each.m_Content != Wanted.m_Chunks[Each.m_Index];
  };
  return isHeldForOther(Wanted.m_Weights) ||
         std::any_of(m_UnansweredWrites.begin(), m_UnansweredWrites.end(),
                     Differs);
}

void StagingCache::orderUnanswered(const WeightsId &Ordered) {
  m_Ordered = Ordered;
  m_OrderedUntil = m_Now() + UnansweredLifetime;
}

/// Whether the instance may yet take what lies there as other weights.
bool StagingCache::isHeldForOther(const WeightsId &Weights) const {
  return Weights != m_Ordered && m_Now() < m_OrderedUntil;
}

asio::awaitable<std::optional<std::uint32_t>>
StagingCache::rewriteWrong(const Manifest &Wanted) {
  std::uint32_t Rewritten = 0;
  for (std::uint32_t Index = 0; Index < Wanted.chunkCount(); ++Index) {
    const Digest &Right = Wanted.m_Chunks[Index];
    const auto Staged = co_await m_Behind.staged(Wanted.m_Weights, Index);
    if (!Staged && Staged.error().m_Code != ErrorCode::NotFound)
      co_return std::nullopt;
    if (Staged && matches(Right, *Staged))
      continue;
    net::log(Event::StagedChunkSpoilt, {{"weights", Wanted.m_Weights.m_Text},
                                        {"chunk", std::uint64_t{Index}}});
    const std::string *Kept = find(Wanted.m_Weights, Index);
    if (!Kept || !matches(Right, *Kept))
      co_return std::nullopt;
    const auto Stored = co_await m_Behind.stage(Wanted.m_Weights, Index, *Kept);
    if (!Stored)
      co_return std::nullopt;
    ++Rewritten;
  }
  co_return Rewritten;
}

} // namespace deckpitch::direct
