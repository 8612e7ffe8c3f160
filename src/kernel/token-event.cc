#include "token-event.h"

#include <boost/json/basic_parser_impl.hpp>

#include <array>

namespace deckpitch {

namespace {

using boost::json::error_code;
using boost::json::string_view;

constexpr std::size_t MaxDepth = 32;
constexpr double LargestExactDouble = 9007199254740992.0;

/// The part of the event that the parser is in.
enum class ParserPosition { Event, Choices, FirstChoice, Delta, Other };

/// The key that the next value belongs to.
enum class Field { None, Id, Weights, Digest, Index, Choices, Delta, Content };

Field fieldOf(ParserPosition At, std::string_view Key) {
  if (At == ParserPosition::Delta)
    return Key == "content" ? Field::Content : Field::None;
  if (At == ParserPosition::FirstChoice)
    return Key == "delta" ? Field::Delta : Field::None;
  if (At != ParserPosition::Event)
    return Field::None;
  if (Key == "id")
    return Field::Id;
  if (Key == "weights")
    return Field::Weights;
  if (Key == "digest")
    return Field::Digest;
  if (Key == "index")
    return Field::Index;
  return Key == "choices" ? Field::Choices : Field::None;
}

// NOLINTBEGIN(readability-identifier-naming): the names are Boost.JSON's.

/// Handles the parser's callbacks and fills in a TokenEvent.
class EventHandler {
public:
  static constexpr std::size_t max_object_size = SIZE_MAX;
  static constexpr std::size_t max_array_size = SIZE_MAX;
  static constexpr std::size_t max_key_size = SIZE_MAX;
  static constexpr std::size_t max_string_size = SIZE_MAX;

  explicit EventHandler(const ExpectedEvent &Expected) : m_Expected(Expected) {}

  bool isObject() const { return m_IsObject; }
  TokenEvent take() { return std::move(m_Event); }

  bool on_document_begin(error_code &) { return true; }
  bool on_document_end(error_code &) { return true; }
  bool on_object_begin(error_code &) {
    enter(positionOfObject());
    return true;
  }
  bool on_object_end(std::size_t, error_code &) {
    --m_Depth;
    return true;
  }
  bool on_array_begin(error_code &) {
    const bool IsChoices =
        at(ParserPosition::Event) && m_Field == Field::Choices;
    countChoice();
    if (IsChoices)
      m_Choices = 0;
    enter(IsChoices ? ParserPosition::Choices : ParserPosition::Other);
    return true;
  }
  bool on_array_end(std::size_t, error_code &) {
    --m_Depth;
    return true;
  }
  bool on_key_part(string_view Part, std::size_t, error_code &) {
    m_Parts += Part;
    return true;
  }
  bool on_key(string_view Last, std::size_t, error_code &) {
    m_Field = fieldOf(m_Positions[m_Depth - 1], joinParts(Last));
    m_Parts.clear();
    resetField(m_Field);
    return true;
  }
  bool on_string_part(string_view Part, std::size_t, error_code &) {
    m_Parts += Part;
    return true;
  }
  bool on_string(string_view Last, std::size_t, error_code &) {
    countChoice();
    readText(joinParts(Last));
    m_Parts.clear();
    return true;
  }
  bool on_number_part(string_view, error_code &) { return true; }
  bool on_int64(std::int64_t Value, string_view, error_code &) {
    if (Value >= 0)
      readNumber(static_cast<std::uint64_t>(Value));
    countChoice();
    return true;
  }
  bool on_uint64(std::uint64_t Value, string_view, error_code &) {
    readNumber(Value);
    countChoice();
    return true;
  }
  bool on_double(double Value, string_view, error_code &) {
    if (Value >= 0 && Value <= LargestExactDouble &&
        Value == static_cast<double>(static_cast<std::uint64_t>(Value)))
      readNumber(static_cast<std::uint64_t>(Value));
    countChoice();
    return true;
  }
  bool on_bool(bool, error_code &) {
    countChoice();
    return true;
  }
  bool on_null(error_code &) {
    countChoice();
    return true;
  }
  bool on_comment_part(string_view, error_code &) { return true; }
  bool on_comment(string_view, error_code &) { return true; }

  // NOLINTEND(readability-identifier-naming)

private:
  bool at(ParserPosition Wanted) const {
    return m_Depth > 0 && m_Positions[m_Depth - 1] == Wanted;
  }
  void enter(ParserPosition Next) {
    m_IsObject = m_IsObject || Next == ParserPosition::Event;
    m_Positions[m_Depth++] = Next;
    m_Field = Field::None;
  }
  ParserPosition positionOfObject() {
    if (m_Depth == 0)
      return ParserPosition::Event;
    if (at(ParserPosition::Choices))
      return m_Choices++ == 0 ? ParserPosition::FirstChoice
                              : ParserPosition::Other;
    const bool IsDelta =
        at(ParserPosition::FirstChoice) && m_Field == Field::Delta;
    return IsDelta ? ParserPosition::Delta : ParserPosition::Other;
  }
  void countChoice() { m_Choices += at(ParserPosition::Choices) ? 1 : 0; }
  std::string_view joinParts(string_view Last) {
    if (m_Parts.empty())
      return Last;
    m_Parts += Last;
    return m_Parts;
  }

  void resetField(Field Repeated) {
    if (Repeated == Field::Id)
      m_Event.m_IdMatches = false;
    else if (Repeated == Field::Weights)
      m_Event.m_WeightsMatch = false;
    else if (Repeated == Field::Digest)
      m_Event.m_DigestMatches = false;
    else if (Repeated == Field::Index)
      m_Event.m_Index.reset();
    else if (Repeated != Field::None)
      m_Event.m_Content.clear();
  }
  void readText(std::string_view Text) {
    if (at(ParserPosition::Delta) && m_Field == Field::Content)
      m_Event.m_Content = Text;
    if (!at(ParserPosition::Event))
      return;
    if (m_Field == Field::Id)
      m_Event.m_IdMatches = Text == m_Expected.m_Id;
    else if (m_Field == Field::Weights)
      m_Event.m_WeightsMatch = Text == m_Expected.m_Weights;
    else if (m_Field == Field::Digest)
      m_Event.m_DigestMatches = Text == m_Expected.m_Digest;
  }
  void readNumber(std::uint64_t Value) {
    if (at(ParserPosition::Event) && m_Field == Field::Index)
      m_Event.m_Index = Value;
  }

  ExpectedEvent m_Expected;
  TokenEvent m_Event;
  std::array<ParserPosition, MaxDepth + 1> m_Positions{};
  std::size_t m_Depth = 0;
  Field m_Field = Field::None;
  std::size_t m_Choices = 0;
  bool m_IsObject = false;
  std::string m_Parts; ///< of a key or string that arrives in several parts
};

} // namespace

std::optional<TokenEvent> readTokenEvent(std::string_view Json,
                                         const ExpectedEvent &Expected) {
  boost::json::parse_options Options;
  Options.max_depth = MaxDepth;
  boost::json::basic_parser<EventHandler> Parser(Options, Expected);
  error_code Ec;
  const std::size_t Read =
      Parser.write_some(false, Json.data(), Json.size(), Ec);
  if (Ec || Read < Json.size() || !Parser.handler().isObject())
    return std::nullopt;
  return Parser.handler().take();
}

} // namespace deckpitch
