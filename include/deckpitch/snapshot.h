// Read-copy-update of one immutable value.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace deckpitch {

/// Holds the current version of an immutable value. While it does not change,
/// readers access only a generation counter; see SnapshotReader.
///
///   SnapshotCell<Routes> Cell(std::make_shared<const Routes>());
///   Cell.publish(std::make_shared<const Routes>(NewRoutes));
template <typename T> class SnapshotCell {
public:
  explicit SnapshotCell(
      std::shared_ptr<const T> Initial = std::make_shared<const T>())
      : m_Current(std::move(Initial)) {}

  void publish(std::shared_ptr<const T> Next) {
    {
      std::lock_guard Lock(m_Mutex);
      m_Current.swap(Next);
    }
    m_Generation.fetch_add(1, std::memory_order_release);
  }

  /// Returns the current value. The lock is held only to copy a pointer.
  std::shared_ptr<const T> load() const {
    std::lock_guard Lock(m_Mutex);
    return m_Current;
  }

  std::uint64_t generation() const {
    return m_Generation.load(std::memory_order_acquire);
  }

private:
  mutable std::mutex m_Mutex;
  std::shared_ptr<const T> m_Current;
  std::atomic<std::uint64_t> m_Generation{1};
};

/// Caches the value of a cell for one thread and reloads it only after a newer
/// one has been published. Not thread-safe.
template <typename T> class SnapshotReader {
public:
  explicit SnapshotReader(const SnapshotCell<T> &Cell) : m_Cell(&Cell) {}

  const std::shared_ptr<const T> &get() {
    const std::uint64_t Generation = m_Cell->generation();
    if (Generation != m_CachedGeneration) {
      m_Value = m_Cell->load();
      m_CachedGeneration = Generation;
    }
    return m_Value;
  }

private:
  const SnapshotCell<T> *m_Cell;
  std::uint64_t m_CachedGeneration = 0;
  std::shared_ptr<const T> m_Value;
};

} // namespace deckpitch
