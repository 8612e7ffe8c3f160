// Writes lines to a descriptor without ever waiting for its reader.
#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace deckpitch::net {

/// Holds what the reader has not taken yet, up to a bound. What does not fit is
/// dropped whole lines at a time and counted. Any thread may add.
class LineSink {
public:
  /// Bytes: a second of lines of a busy process.
  explicit LineSink(int Descriptor,
                    std::size_t MostBytes = std::size_t{256} * 1024)
      : m_Descriptor(Descriptor), m_MostBytes(MostBytes) {}

  void add(std::string_view Line);
  /// Writes as much as the reader takes now.
  void flush();
  /// Lines dropped since the last call.
  std::uint64_t takeDropped();
  std::uint64_t bytesWritten() const;

private:
  mutable std::mutex m_Mutex;
  int m_Descriptor;
  std::size_t m_MostBytes;
  std::string m_Pending;
  std::uint64_t m_Dropped = 0;
  std::uint64_t m_Written = 0;
};

} // namespace deckpitch::net
