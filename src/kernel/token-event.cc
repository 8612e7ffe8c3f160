#include "token-event.h"

#include <boost/json/basic_parser_impl.hpp>

#include <array>

namespace deckpitch {

namespace {

using boost::json::error_code;
using boost::json::string_view;

constexpr std::size_t MaxDepth = 32;
constexpr double LargestExactDouble = 9007199254740992.0;

/// Where in the event the parser stands.
enum class Place { Event, Choices, FirstChoice, Delta, Other };

/// The key that the next value belongs to.
enum class Field { None, Id, Weights, Digest, Index, Choices, Delta, Content };

Field fieldOf(Place At, std::string_view Key) {
  if (At == Place::Delta)
    return Key == "content" ? Field::Content : Field::None;
  if (At == Place::FirstChoice)
    return Key == "delta" ? Field::Delta : Field::None;
  if (At != Place::Event)
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

/// Takes the parser's events.
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
    enter(placeOfObject());
    return true;
  }
  bool on_object_end(std::size_t, error_code &) {
    --m_Depth;
    return true;
  }
  bool on_array_begin(error_code &) {
    const bool IsChoices = at(Place::Event) && m_Field == Field::Choices;
    countChoice();
    if (IsChoices)
      m_Choices = 0;
    enter(IsChoices ? Place::Choices : Place::Other);
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
    m_Field = fieldOf(m_Places[m_Depth - 1], whole(Last));
    m_Parts.clear();
    forget(m_Field);
    return true;
  }
  bool on_string_part(string_view Part, std::size_t, error_code &) {
    m_Parts += Part;
    return true;
  }
  bool on_string(string_view Last, std::size_t, error_code &) {
    countChoice();
    takeText(whole(Last));
    m_Parts.clear();
    return true;
  }
  bool on_number_part(string_view, error_code &) { return true; }
  bool on_int64(std::int64_t Value, string_view, error_code &) {
    if (Value >= 0)
      takeNumber(static_cast<std::uint64_t>(Value));
    countChoice();
    return true;
  }
  bool on_uint64(std::uint64_t Value, string_view, error_code &) {
    takeNumber(Value);
    countChoice();
    return true;
  }
  bool on_double(double Value, string_view, error_code &) {
    if (Value >= 0 && Value <= LargestExactDouble &&
        Value == static_cast<double>(static_cast<std::uint64_t>(Value)))
      takeNumber(static_cast<std::uint64_t>(Value));
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
  bool at(Place Wanted) const {
    return m_Depth > 0 && m_Places[m_Depth - 1] == Wanted;
  }
  void enter(Place Next) {
    m_IsObject = m_IsObject || Next == Place::Event;
    m_Places[m_Depth++] = Next;
    m_Field = Field::None;
  }
  Place placeOfObject() {
    if (m_Depth == 0)
      return Place::Event;
    if (at(Place::Choices))
      return m_Choices++ == 0 ? Place::FirstChoice : Place::Other;
    const bool IsDelta = at(Place::FirstChoice) && m_Field == Field::Delta;
    return IsDelta ? Place::Delta : Place::Other;
  }
  void countChoice() { m_Choices += at(Place::Choices) ? 1 : 0; }
  std::string_view whole(string_view Last) {
    if (m_Parts.empty())
      return Last;
    m_Parts += Last;
    return m_Parts;
  }

  void forget(Field Again) {
    if (Again == Field::Id)
      m_Event.m_IdFits = false;
    else if (Again == Field::Weights)
      m_Event.m_WeightsFit = false;
    else if (Again == Field::Digest)
      m_Event.m_DigestFits = false;
    else if (Again == Field::Index)
      m_Event.m_Index.reset();
    else if (Again != Field::None)
      m_Event.m_Content.clear();
  }
  void takeText(std::string_view Text) {
    if (at(Place::Delta) && m_Field == Field::Content)
      m_Event.m_Content = Text;
    if (!at(Place::Event))
      return;
    if (m_Field == Field::Id)
      m_Event.m_IdFits = Text == m_Expected.m_Id;
    else if (m_Field == Field::Weights)
      m_Event.m_WeightsFit = Text == m_Expected.m_Weights;
    else if (m_Field == Field::Digest)
      m_Event.m_DigestFits = Text == m_Expected.m_Digest;
  }
  void takeNumber(std::uint64_t Value) {
    if (at(Place::Event) && m_Field == Field::Index)
      m_Event.m_Index = Value;
  }

  ExpectedEvent m_Expected;
  TokenEvent m_Event;
  std::array<Place, MaxDepth + 1> m_Places{};
  std::size_t m_Depth = 0;
  Field m_Field = Field::None;
  std::size_t m_Choices = 0;
  bool m_IsObject = false;
  std::string m_Parts; ///< of a key or string that comes in several
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
