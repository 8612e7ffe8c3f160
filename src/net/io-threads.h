// A fixed set of event loops, each run by a dedicated thread.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace deckpitch::net {

/// Runs one control loop and a number of worker loops. Each io_context is run
/// by exactly one thread, so objects confined to one need no lock and no
/// strand. The control loop makes the decisions; the workers handle requests
/// and bulk transfers.
///
///   IoThreads Threads(4);
///   Threads.start();
///   co_spawn(Threads.nextWorker(), serve(), detached);
class IoThreads {
public:
  explicit IoThreads(unsigned Workers);
  ~IoThreads();
  IoThreads(const IoThreads &) = delete;
  IoThreads &operator=(const IoThreads &) = delete;

  void start();
  /// Stops all loops, joins the threads and destroys every pending handler and
  /// coroutine, so that the objects they refer to may be destroyed afterwards.
  /// May be called repeatedly.
  void stop();

  boost::asio::io_context &control() { return m_Loops.front()->m_Io; }
  /// Returns the workers in round-robin order, or the control loop if there are
  /// no workers.
  boost::asio::io_context &nextWorker();

private:
  /// Allows destroying handlers before any loop is destroyed, since a handler
  /// of one loop may own sockets of another.
  struct LoopContext : boost::asio::io_context {
    LoopContext() : io_context(1) {}
    void destroyHandlers() { shutdown(); }
  };
  struct Loop {
    LoopContext m_Io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
        m_Work{m_Io.get_executor()};
    std::thread m_Thread;
  };
  std::vector<std::unique_ptr<Loop>> m_Loops;
  std::atomic<std::size_t> m_Next{0};
};

} // namespace deckpitch::net
