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

/// Number of buffered bytes up to the end of the last complete event, with
/// those that were taken.
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
  const std::size_t Complete = std::max(completeBytes(), m_Taken);
  const bool HasText =
      m_Pending.find_first_not_of("\r\n", Complete) != std::string::npos;
  return HasText ? m_Pending.size() - Complete : 0;
}

/// Position after the blank line that ends the first event that was not
/// searched yet.
std::optional<std::size_t> EventStreamSplitter::findEventEnd() const {
  const std::string_view All = m_Pending;
  for (std::size_t At = All.find('\n', m_Searched); At != std::string::npos;
       At = All.find('\n', At + 1))
    for (const std::string_view End : Ends)
      if (All.substr(At).starts_with(End))
        return At + End.size();
  return std::nullopt;
}

std::optional<StreamEvent> EventStreamSplitter::next() {
  const std::optional<std::size_t> End = findEventEnd();
  if (!End) {
    m_Pending.erase(0, m_Taken);
    m_Taken = 0;
    m_Searched = m_Pending.size() - std::min(m_Pending.size(), LongestEnd - 1);
    return std::nullopt;
  }
  StreamEvent Event{m_Pending.substr(m_Taken, *End - m_Taken), std::nullopt};
  m_Taken = *End;
  m_Searched = *End;
  Event.m_Id = idOf(Event.m_Bytes);
  return Event;
}

} // namespace deckpitch
