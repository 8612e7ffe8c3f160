#include "net/io-threads.h"

#include "net/log.h"

#include <exception>

namespace deckpitch::net {

namespace {

/// An exception ends the process: the coroutine that it ended would be missing
/// for good. The last line of the log says why.
void runUntilStopped(boost::asio::io_context &Io) {
  try {
    Io.run();
  } catch (const std::exception &Fault) {
    log(Event::UnhandledException, {{"error", Fault.what()}});
    flushLog();
    throw;
  }
}

} // namespace

IoThreads::IoThreads(unsigned Workers) {
  for (unsigned I = 0; I <= Workers; ++I)
    m_Loops.push_back(std::make_unique<Loop>());
}

IoThreads::~IoThreads() { stop(); }

void IoThreads::start() {
  for (auto &Each : m_Loops)
    Each->m_Thread = std::thread([&Io = Each->m_Io] { runUntilStopped(Io); });
}

void IoThreads::stop() {
  for (auto &Each : m_Loops)
    Each->m_Io.stop();
  for (auto &Each : m_Loops)
    if (Each->m_Thread.joinable())
      Each->m_Thread.join();
  for (auto &Each : m_Loops)
    Each->m_Io.destroyHandlers();
}

boost::asio::io_context &IoThreads::nextWorker() {
  if (m_Loops.size() == 1)
    return control();
  const std::size_t Index = m_Next.fetch_add(1, std::memory_order_relaxed);
  return m_Loops[1 + Index % (m_Loops.size() - 1)]->m_Io;
}

} // namespace deckpitch::net
