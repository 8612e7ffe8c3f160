// An in-process fake of an engine, which checks fencing numbers.
#pragma once

#include "net/engine.h"

#include <algorithm>
#include <map>
#include <optional>

namespace deckpitch::test {

class FakeEngine : public net::Engine {
public:
  explicit FakeEngine(std::uint32_t Slots) { m_Status.m_Slots = Slots; }

  net::asio::awaitable<Outcome<EngineStatus>> status() override {
    EngineStatus Out = m_Status;
    for (const auto &[Weights, Chunks] : m_Staging) {
      StagedWeights &Listed = Out.m_Staging.emplace_back();
      Listed.m_Weights = Weights;
      for (const auto &[Index, Bytes] : Chunks)
        Listed.m_Chunks.push_back(Index);
    }
    co_return Out;
  }

  net::asio::awaitable<Outcome<bool>>
  stage(WeightsId Weights, std::uint32_t Index, std::string Bytes) override {
    m_Staging[Weights].insert_or_assign(Index, std::move(Bytes));
    co_return true;
  }

  net::asio::awaitable<Outcome<std::string>>
  staged(WeightsId Weights, std::uint32_t Index) override {
    const std::string *Found = find(Weights, Index);
    if (!Found)
      co_return Error{ErrorCode::NotFound, "no such chunk"};
    co_return *Found;
  }

  net::asio::awaitable<Outcome<bool>> dropStaging(WeightsId Weights) override {
    m_Staging.erase(Weights);
    co_return true;
  }

  net::asio::awaitable<Outcome<bool>> load(Manifest Wanted,
                                           FencingNumber Fence) override {
    if (const auto Fault = fenceFault(Fence))
      co_return *Fault;
    for (std::uint32_t I = 0; I < Wanted.chunkCount(); ++I) {
      const std::string *Chunk = find(Wanted.m_Weights, I);
      if (!Chunk || digestOfText(*Chunk) != Wanted.m_Chunks[I])
        co_return Error{ErrorCode::CorruptData, "bad chunk"};
    }
    const bool IsNew = !m_Status.find(Wanted.m_Weights);
    if (IsNew && m_Status.m_Loaded.size() >= m_Status.m_Slots)
      co_return Error{ErrorCode::Unavailable, "no slot is free"};
    if (IsNew)
      m_Status.m_Loaded.push_back({Wanted.m_Weights, Wanted.m_Whole, false});
    co_return true;
  }

  net::asio::awaitable<Outcome<bool>> activate(WeightsId Weights,
                                               FencingNumber Fence) override {
    if (const auto Fault = fenceFault(Fence))
      co_return *Fault;
    if (!m_Status.find(Weights))
      co_return Error{ErrorCode::NotFound, "not loaded"};
    for (LoadedWeights &Each : m_Status.m_Loaded)
      Each.m_Active = Each.m_Weights == Weights;
    co_return true;
  }

  net::asio::awaitable<Outcome<bool>> unload(WeightsId Weights,
                                             FencingNumber Fence) override {
    if (const auto Fault = fenceFault(Fence))
      co_return *Fault;
    std::erase_if(m_Status.m_Loaded, [&](const LoadedWeights &Each) {
      return Each.m_Weights == Weights;
    });
    m_Staging.erase(Weights);
    co_return true;
  }

private:
  static Digest digestOfText(const std::string &Bytes) {
    return digestOf(
        {reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size()});
  }

  const std::string *find(const WeightsId &Weights, std::uint32_t Index) const {
    const auto Chunks = m_Staging.find(Weights);
    if (Chunks == m_Staging.end())
      return nullptr;
    const auto Found = Chunks->second.find(Index);
    return Found == Chunks->second.end() ? nullptr : &Found->second;
  }

  std::optional<Error> fenceFault(FencingNumber Fence) {
    if (Fence.m_Value < m_Status.m_Fence.m_Value)
      return Error{ErrorCode::StaleFence, "stale fence"};
    m_Status.m_Fence = Fence;
    return std::nullopt;
  }

  EngineStatus m_Status; ///< without m_Staging, which status() fills in
  std::map<WeightsId, std::map<std::uint32_t, std::string>> m_Staging;
};

static_assert(net::EnginePort<FakeEngine>);

} // namespace deckpitch::test
