#include "net/line-sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace deckpitch::net {

void LineSink::add(std::string_view Line) {
  std::lock_guard Lock(m_Mutex);
  if (m_Pending.size() + Line.size() + 1 > m_MaxBytes) {
    ++m_Dropped;
    return;
  }
  m_Pending.append(Line).push_back('\n');
}

void LineSink::flush() {
  std::lock_guard Lock(m_Mutex);
  std::size_t Total = 0;
  while (Total < m_Pending.size()) {
    // A pipe that is ready for writing accepts PIPE_BUF bytes without blocking.
    // O_NONBLOCK is not set, since the descriptor may be shared.
    pollfd Ready{m_Descriptor, POLLOUT, 0};
    if (poll(&Ready, 1, 0) != 1 || (Ready.revents & POLLOUT) == 0)
      break;
    const std::size_t Length =
        std::min<std::size_t>(m_Pending.size() - Total, PIPE_BUF);
    const ssize_t Written =
        write(m_Descriptor, m_Pending.data() + Total, Length);
    if (Written <= 0) {
      ++m_Failures;
      break;
    }
    Total += static_cast<std::size_t>(Written);
  }
  m_Pending.erase(0, Total);
  m_Written += Total;
}

std::uint64_t LineSink::takeDropped() {
  std::lock_guard Lock(m_Mutex);
  return std::exchange(m_Dropped, 0);
}

std::uint64_t LineSink::takeFailures() {
  std::lock_guard Lock(m_Mutex);
  return std::exchange(m_Failures, 0);
}

std::uint64_t LineSink::bytesWritten() const {
  std::lock_guard Lock(m_Mutex);
  return m_Written;
}

} // namespace deckpitch::net
