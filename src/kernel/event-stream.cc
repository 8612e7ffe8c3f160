#include "deckpitch/event-stream.h"

#include <algorithm>
#include <charconv>

namespace deckpitch {

namespace {

/// Returns the number in an event's "id:" line.
std::optional<std::uint64_t> idOf(std::string_view Event) {
  constexpr std::string_view Field = "id:";
  while (!Event.empty()) {
    const std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    Event = End == std::string_view::npos ? "" : Event.substr(End + 1);
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    std::uint64_t Value = 0;
    const auto Read =
        std::from_chars(Line.data(), Line.data() + Line.size(), Value);
    if (Read.ec == std::errc())
      return Value;
  }
  return std::nullopt;
}

/// The blank line after an event, with the end of the line before it.
constexpr std::string_view Ends[] = {"\n\n", "\n\r\n"};
constexpr std::size_t LongestEnd = 3;

} // namespace

/// Number of buffered bytes up to the end of the last complete event.
std::size_t EventStreamSplitter::completeBytes() const {
  std::size_t Last = 0;
  for (const std::string_view End : Ends) {
    const std::size_t At = m_Pending.rfind(End);
    if (At != std::string::npos)
      Last = std::max(Last, At + End.size());
  }
  return Last;
}

std::size_t EventStreamSplitter::partialBytes() const {
  const std::size_t Complete = completeBytes();
  const bool HasText =
      m_Pending.find_first_not_of("\r\n", Complete) != std::string::npos;
  return HasText ? m_Pending.size() - Complete : 0;
}

std::optional<StreamEvent> EventStreamSplitter::next() {
  std::size_t Cut = std::string::npos;
  for (const std::string_view End : Ends) {
    const std::size_t At = m_Pending.find(End, m_Searched);
    if (At != std::string::npos)
      Cut = std::min(Cut, At + End.size());
  }
  if (Cut == std::string::npos) {
    m_Searched = m_Pending.size() - std::min(m_Pending.size(), LongestEnd - 1);
    return std::nullopt;
  }
  StreamEvent Event{m_Pending.substr(0, Cut), std::nullopt};
  m_Pending.erase(0, Cut);
  m_Searched = 0;
  Event.m_Id = idOf(Event.m_Bytes);
  return Event;
}

} // namespace deckpitch
