// Shares equal chunks among the engine stand-ins of one process, so that each
// is kept in memory once.
#pragma once

#include "deckpitch/manifest.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace deckpitch::standins {

struct StagedChunk {
  Digest m_Digest;
  std::shared_ptr<const std::string> m_Bytes;
};

/// Deduplicates chunks by digest. Thread-safe, as the engines run on event
/// loops of their own.
class ChunkPool {
public:
  /// Returns the pooled copy of the bytes; it lives as long as any engine holds
  /// it.
  StagedChunk add(std::string Bytes) {
    StagedChunk Out;
    Out.m_Digest = digestOf(
        {reinterpret_cast<const std::uint8_t *>(Bytes.data()), Bytes.size()});
    std::lock_guard Lock(m_Mutex);
    std::weak_ptr<const std::string> &Known = m_Chunks[Out.m_Digest];
    Out.m_Bytes = Known.lock();
    if (!Out.m_Bytes) {
      Out.m_Bytes = std::make_shared<const std::string>(std::move(Bytes));
      Known = Out.m_Bytes;
    }
    return Out;
  }

  static ChunkPool &instance() {
    static ChunkPool Pool;
    return Pool;
  }

private:
  std::mutex m_Mutex;
  std::map<Digest, std::weak_ptr<const std::string>> m_Chunks;
};

} // namespace deckpitch::standins
