// Splits a server-sent event stream into complete events.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace deckpitch {

struct StreamEvent {
  std::string m_Bytes; ///< as received, including the final blank line
  std::optional<std::uint64_t> m_Id;

  friend bool operator==(const StreamEvent &, const StreamEvent &) = default;
};

/// Buffers an event until it is complete, so that a stream that breaks in the
/// middle of one can be resumed elsewhere without a partial event.
///
///   Splitter.add(Piece);
///   while (auto Event = Splitter.next()) ...
class EventStreamSplitter {
public:
  void add(std::string_view Bytes) { m_Pending += Bytes; }
  std::optional<StreamEvent> next();
  /// Whether part of an incomplete event is buffered.
  bool hasPartialEvent() const { return !part().empty(); }
  /// The buffered bytes that were not taken: once next() finds no event, the
  /// part of the incomplete one. Valid until the next call.
  std::string_view part() const {
    return std::string_view(m_Pending).substr(m_Taken);
  }
  /// Whether a complete event is buffered.
  bool hasEvent() const { return completeBytes() > m_Taken; }
  /// Number of buffered bytes after the last complete event; 0 if these are
  /// line ends only, which belong to no event.
  std::size_t partialBytes() const;
  void clear() {
    m_Pending.clear();
    m_Taken = 0;
    m_Searched = 0;
  }

private:
  std::size_t completeBytes() const;
  std::optional<std::size_t> findEventEnd() const;

  std::string m_Pending;
  /// Leading bytes of events that were taken. They are erased once for all, as
  /// erasing each event moves the rest of the buffer.
  std::size_t m_Taken = 0;
  std::size_t m_Searched = 0; ///< leading bytes without an end of an event
};

} // namespace deckpitch
