// A fixed set of event loops, each run by one thread of its own.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace deckpitch::net {

/// Each io_context is run by exactly one thread, so what lives on one needs
/// no lock and no strand. The control loop runs the decisions; the workers
/// run requests and bulk transfers.
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
  /// Ends all loops, joins the threads and destroys every handler and
  /// coroutine that still waits, while what they refer to is alive; safe to
  /// repeat.
  void stop();

  boost::asio::io_context &control() { return m_Loops.front()->m_Io; }
  /// Workers in turn; the control loop when there are none.
  boost::asio::io_context &nextWorker();

private:
  /// Lets handlers be destroyed before any loop is: those of one loop may own
  /// sockets of another.
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
