// Buffered line output to a file descriptor that never blocks on its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace deckpitch::net {

/// Buffers lines that are not written yet, up to a limit. Lines that do not fit
/// are dropped as a whole and counted. Thread-safe.
class LineSink {
public:
  /// The default limit holds about one second of output of a busy process.
  explicit LineSink(int Descriptor,
                    std::size_t MaxBytes = std::size_t{256} * 1024)
      : m_Descriptor(Descriptor), m_MaxBytes(MaxBytes) {}

  void add(std::string_view Line);
  /// Writes as much as the descriptor accepts without blocking. What a failed
  /// write leaves is tried again next time: another reader may follow.
  void flush();
  /// Returns the number of lines dropped since the last call.
  std::uint64_t takeDropped();
  std::uint64_t bytesWritten() const;
  /// Returns the number of writes that failed since the last call.
  std::uint64_t takeFailures();

private:
  mutable std::mutex m_Mutex;
  int m_Descriptor;
  std::size_t m_MaxBytes;
  std::string m_Pending;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_Written = 0;
  std::uint64_t m_Failures = 0;
};

} // namespace deckpitch::net
