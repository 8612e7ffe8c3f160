// Compares ways to give readers the latest snapshot while a writer publishes.
#include "deckpitch/snapshot.h"

#include <benchmark/benchmark.h>
#include <boost/smart_ptr/atomic_shared_ptr.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <chrono>
#include <mutex>
#include <shared_mutex>
#include <thread>

using namespace deckpitch;

namespace {

struct Routes {
  std::uint64_t m_Version = 0;
  std::uint64_t m_Copy = 0;
};

/// SnapshotCell with one reader per thread, as on the request path.
struct CachedReader {
  void publish(std::uint64_t Version) {
    m_Cell.publish(std::make_shared<const Routes>(Routes{Version, Version}));
  }
  std::uint64_t read() {
    thread_local SnapshotReader<Routes> Reader(m_Cell);
    return Reader.get()->m_Version;
  }
  SnapshotCell<Routes> m_Cell;
};

struct StdAtomic {
  void publish(std::uint64_t Version) {
    m_Pointer.store(std::make_shared<const Routes>(Routes{Version, Version}));
  }
  std::uint64_t read() { return m_Pointer.load()->m_Version; }
  std::atomic<std::shared_ptr<const Routes>> m_Pointer{
      std::make_shared<const Routes>()};
};

struct BoostAtomic {
  void publish(std::uint64_t Version) {
    m_Pointer.store(boost::make_shared<const Routes>(Routes{Version, Version}));
  }
  std::uint64_t read() { return m_Pointer.load()->m_Version; }
  boost::atomic_shared_ptr<const Routes> m_Pointer{
      boost::make_shared<const Routes>()};
};

struct MutexAndPointer {
  void publish(std::uint64_t Version) {
    auto Next = std::make_shared<const Routes>(Routes{Version, Version});
    std::lock_guard Lock(m_Mutex);
    m_Pointer = std::move(Next);
  }
  std::uint64_t read() {
    std::unique_lock Lock(m_Mutex);
    const auto Copy = m_Pointer;
    Lock.unlock();
    return Copy->m_Version;
  }
  std::mutex m_Mutex;
  std::shared_ptr<const Routes> m_Pointer = std::make_shared<const Routes>();
};

constexpr auto PublishInterval = std::chrono::milliseconds(1);

/// Reads on all benchmark threads while one more thread writes.
template <typename Implementation>
void readWhilePublishing(benchmark::State &State) {
  static Implementation Shared;
  std::jthread Writer;
  if (State.thread_index() == 0)
    Writer = std::jthread([](const std::stop_token &Stop) {
      for (std::uint64_t Version = 1; !Stop.stop_requested(); ++Version) {
        Shared.publish(Version);
        std::this_thread::sleep_for(PublishInterval);
      }
    });
  for (auto _ : State)
    benchmark::DoNotOptimize(Shared.read());
}

BENCHMARK(readWhilePublishing<CachedReader>)->Threads(1)->Threads(8);
BENCHMARK(readWhilePublishing<StdAtomic>)->Threads(1)->Threads(8);
BENCHMARK(readWhilePublishing<BoostAtomic>)->Threads(1)->Threads(8);
BENCHMARK(readWhilePublishing<MutexAndPointer>)->Threads(1)->Threads(8);

} // namespace
