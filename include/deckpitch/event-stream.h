// Cuts a server-sent event stream into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace deckpitch {

struct StreamEvent {
  std::string m_Bytes; ///< as they came, with the blank line that ends them
  std::optional<std::uint64_t> m_Id;

  friend bool operator==(const StreamEvent &, const StreamEvent &) = default;
};

/// Keeps what has come of an event until its end, so that a stream that breaks
/// in the middle of one can go on elsewhere with nothing torn.
///
///   Splitter.add(Piece);
///   while (auto Event = Splitter.next()) ...
class EventStreamSplitter {
public:
  void add(std::string_view Bytes) { m_Pending += Bytes; }
  std::optional<StreamEvent> next();
  /// Some of an event has come, but not its end.
  bool holdsPart() const { return !m_Pending.empty(); }
  /// What has come of the event that did not end.
  const std::string &part() const { return m_Pending; }
  void clear() {
    m_Pending.clear();
    m_Searched = 0;
  }

private:
  std::string m_Pending;
  std::size_t m_Searched = 0; ///< bytes that hold no end of an event
};

} // namespace deckpitch
