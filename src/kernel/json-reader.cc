#include "deckpitch/json-reader.h"

#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch {

namespace {

struct Position {
  std::size_t m_Line = 1;
  std::size_t m_Column = 1;
};

Position positionOf(std::string_view Text, std::size_t Offset) {
  Position At;
  for (std::size_t I = 0; I < std::min(Offset, Text.size()); ++I) {
    ++At.m_Column;
    if (Text[I] == '\n')
      At = {At.m_Line + 1, 1};
  }
  return At;
}

template <typename Number> std::string rangeText(Number Min, Number Max) {
  return "a whole number from " + std::to_string(Min) + " to " +
         std::to_string(Max);
}

} // namespace

Result<boost::json::value> parseJson(std::string_view Text) {
  boost::json::parse_options Options;
  Options.allow_comments = true;
  Options.allow_trailing_commas = true;
  boost::json::stream_parser Parser({}, Options);
  boost::json::error_code Ec;
  const std::size_t Consumed = Parser.write_some(Text.data(), Text.size(), Ec);
  if (!Ec && Consumed < Text.size() &&
      Text.find_first_not_of(" \t\r\n", Consumed) != std::string_view::npos)
    Ec = boost::json::error::extra_data;
  if (!Ec)
    Parser.finish(Ec);
  if (!Ec)
    return Parser.release();
  const Position At = positionOf(Text, Consumed);
  return fail(ErrorCode::InvalidInput,
              "line " + std::to_string(At.m_Line) + ", column " +
                  std::to_string(At.m_Column) + ": not JSON: " + Ec.message());
}

std::string formatProblems(const Problems &Found) {
  std::string Text;
  for (const Problem &Each : Found.m_List)
    Text += (Text.empty() ? "" : "\n") + Each.m_Path + ": found " +
            Each.m_Value + ", expected " + Each.m_Expected;
  return Text;
}

boost::leaf::error_id failWith(Problems Found) {
  std::string Message = formatProblems(Found);
  return boost::leaf::new_error(
      Error{ErrorCode::InvalidInput, std::move(Message)}, std::move(Found));
}

JsonObjectReader::JsonObjectReader(const boost::json::value &Value,
                                   std::string Path, Problems &Found,
                                   UnknownKeys Unknown)
    : m_Object(Value.if_object()), m_Path(std::move(Path)), m_Problems(&Found),
      m_Unknown(Unknown) {
  if (!m_Object)
    m_Problems->m_List.push_back({m_Path.empty() ? "document" : m_Path,
                                  boost::json::serialize(Value), "an object"});
}

std::string JsonObjectReader::pathOf(std::string_view Key) const {
  return m_Path.empty() ? std::string(Key) : m_Path + "." + std::string(Key);
}

bool JsonObjectReader::has(std::string_view Key) const {
  return m_Object && m_Object->contains(Key);
}

const boost::json::value *JsonObjectReader::takeValue(std::string_view Key) {
  m_ReadKeys.emplace_back(Key);
  return m_Object ? m_Object->if_contains(Key) : nullptr;
}

void JsonObjectReader::problem(std::string_view Key, std::string Expected) {
  const boost::json::value *Value =
      m_Object ? m_Object->if_contains(Key) : nullptr;
  m_Problems->m_List.push_back(
      {pathOf(Key), Value ? boost::json::serialize(*Value) : "nothing",
       std::move(Expected)});
}

void JsonObjectReader::required(std::string_view Key, std::string &Out) {
  const boost::json::value *Value = takeValue(Key);
  if (Value && Value->is_string() && !Value->get_string().empty())
    Out = std::string(Value->get_string());
  else if (m_Object)
    problem(Key, "a string that is not empty");
}

void JsonObjectReader::optional(std::string_view Key, std::string &Out) {
  const boost::json::value *Value = takeValue(Key);
  if (Value && Value->is_string())
    Out = std::string(Value->get_string());
  else if (Value)
    problem(Key, "a string");
}

void JsonObjectReader::optional(std::string_view Key, bool &Out) {
  const boost::json::value *Value = takeValue(Key);
  if (Value && Value->is_bool())
    Out = Value->get_bool();
  else if (Value)
    problem(Key, "true or false");
}

void JsonObjectReader::optional(std::string_view Key, std::uint64_t &Out,
                                std::uint64_t Min, std::uint64_t Max) {
  const boost::json::value *Value = takeValue(Key);
  if (!Value)
    return;
  boost::json::error_code Ec;
  const auto Number =
      Value->is_number() ? Value->to_number<std::uint64_t>(Ec) : 0;
  if (!Value->is_number() || Ec || Number < Min || Number > Max)
    return problem(Key, rangeText(Min, Max));
  Out = Number;
}

void JsonObjectReader::optional(std::string_view Key, double &Out, double Min,
                                double Max) {
  const boost::json::value *Value = takeValue(Key);
  if (!Value)
    return;
  boost::json::error_code Ec;
  const double Number = Value->is_number() ? Value->to_number<double>(Ec) : 0;
  if (!Value->is_number() || Ec || Number < Min || Number > Max)
    return problem(Key, "a number from " + std::to_string(Min) + " to " +
                            std::to_string(Max));
  Out = Number;
}

void JsonObjectReader::optional(std::string_view Key, std::uint32_t &Out,
                                std::uint32_t Min, std::uint32_t Max) {
  std::uint64_t Wide = Out;
  optional(Key, Wide, Min, Max);
  Out = static_cast<std::uint32_t>(Wide);
}

void JsonObjectReader::optional(std::string_view Key,
                                std::chrono::milliseconds &Out,
                                std::chrono::milliseconds Min,
                                std::chrono::milliseconds Max) {
  auto Count = static_cast<std::uint64_t>(Out.count());
  optional(Key, Count, static_cast<std::uint64_t>(Min.count()),
           static_cast<std::uint64_t>(Max.count()));
  Out = std::chrono::milliseconds(Count);
}

void JsonObjectReader::duration(std::string_view Key,
                                std::chrono::milliseconds &Out,
                                std::chrono::milliseconds Unit,
                                std::chrono::milliseconds Min,
                                std::chrono::milliseconds Max) {
  const auto PerUnit = static_cast<double>(Unit.count());
  const auto InUnits = [&](std::chrono::milliseconds Value) {
    return static_cast<double>(Value.count()) / PerUnit;
  };
  if (!has(Key))
    return;
  double Count = InUnits(Out);
  optional(Key, Count, InUnits(Min), InUnits(Max));
  Out = std::chrono::milliseconds(
      static_cast<std::chrono::milliseconds::rep>(Count * PerUnit));
}

void JsonObjectReader::rounded(std::string_view Key, std::uint32_t &Out,
                               std::uint32_t Min, std::uint32_t Max) {
  double Number = Out;
  optional(Key, Number, Min, Max);
  Out = static_cast<std::uint32_t>(Number);
}

void JsonObjectReader::optional(std::string_view Key,
                                std::map<std::string, std::string> &Out) {
  const boost::json::value *Value = takeValue(Key);
  if (!Value)
    return;
  std::map<std::string, std::string> Read;
  if (!Value->is_object())
    return problem(Key, "an object of strings");
  for (const auto &Each : Value->get_object()) {
    if (!Each.value().is_string())
      return problem(Key, "an object of strings");
    Read.emplace(Each.key(), Each.value().get_string());
  }
  Out = std::move(Read);
}

void JsonObjectReader::choice(std::string_view Key, std::size_t &Out,
                              const std::vector<std::string_view> &Words,
                              bool IsRequired) {
  const boost::json::value *Value = takeValue(Key);
  if (!Value && !IsRequired)
    return;
  if (Value && Value->is_string()) {
    const std::string_view Word(Value->get_string().data(),
                                Value->get_string().size());
    const auto Found = std::find(Words.begin(), Words.end(), Word);
    if (Found != Words.end()) {
      Out = static_cast<std::size_t>(Found - Words.begin());
      return;
    }
  }
  std::string Expected = "one of";
  for (std::string_view Word : Words)
    Expected += " \"" + std::string(Word) + "\"";
  if (m_Object)
    problem(Key, std::move(Expected));
}

void JsonObjectReader::object(
    std::string_view Key, const std::function<void(JsonObjectReader &)> &Read,
    UnknownKeys Unknown) {
  const boost::json::value *Value = takeValue(Key);
  if (!Value)
    return;
  JsonObjectReader Inner(*Value, pathOf(Key), *m_Problems, Unknown);
  Read(Inner);
  Inner.finish();
}

void JsonObjectReader::array(
    std::string_view Key,
    const std::function<void(const boost::json::value &,
                             const std::string &Path)> &ReadEach) {
  const boost::json::value *Value = takeValue(Key);
  if (!Value)
    return;
  if (!Value->is_array())
    return problem(Key, "an array");
  std::size_t Index = 0;
  for (const boost::json::value &Each : Value->get_array())
    ReadEach(Each, pathOf(Key) + "[" + std::to_string(Index++) + "]");
}

void JsonObjectReader::finish() {
  if (!m_Object || m_Unknown == UnknownKeys::Ignore)
    return;
  for (const auto &Each : *m_Object) {
    const std::string_view Key(Each.key().data(), Each.key().size());
    if (std::find(m_ReadKeys.begin(), m_ReadKeys.end(), Key) ==
        m_ReadKeys.end())
      m_Problems->m_List.push_back(
          {pathOf(Key), boost::json::serialize(Each.value()), "no such key"});
  }
}

} // namespace deckpitch
