#include "deckpitch/token-stream.h"

#include <boost/json.hpp>

namespace deckpitch {

namespace {

constexpr std::size_t MaxEventBytes = std::size_t{64} * 1024;
constexpr std::string_view DataField = "data:";
constexpr std::string_view LastData = "[DONE]";
constexpr std::string_view EventEnd = "\n\n";

std::string_view textOf(const boost::json::object &Object,
                        std::string_view Key) {
  const boost::json::value *Found = Object.if_contains(Key);
  if (!Found || !Found->is_string())
    return {};
  return Found->get_string();
}

/// choices[0].delta.content, or empty.
std::string_view contentOf(const boost::json::object &Event) {
  const boost::json::value *Choices = Event.if_contains("choices");
  if (!Choices || !Choices->is_array() || Choices->get_array().empty())
    return {};
  const boost::json::value &First = Choices->get_array().front();
  if (!First.is_object())
    return {};
  const boost::json::value *Delta = First.get_object().if_contains("delta");
  if (!Delta || !Delta->is_object())
    return {};
  return textOf(Delta->get_object(), "content");
}

std::string_view trimLeft(std::string_view Text) {
  return Text.starts_with(' ') ? Text.substr(1) : Text;
}

} // namespace

std::string_view toText(StreamFault Value) {
  switch (Value) {
  case StreamFault::None:
    return "none";
  case StreamFault::Malformed:
    return "malformed";
  case StreamFault::OtherRequest:
    return "other request";
  case StreamFault::MixedWeights:
    return "mixed weights";
  case StreamFault::WrongIndex:
    break;
  }
  return "wrong index";
}

TokenStreamChecker::TokenStreamChecker(StreamBinding Bound)
    : m_Bound(std::move(Bound)), m_NextIndex(m_Bound.m_FirstIndex) {}

StreamStep TokenStreamChecker::feed(std::string_view Piece) {
  StreamStep Step;
  m_Partial += Piece;
  std::size_t Begin = 0;
  while (Step.m_Fault == StreamFault::None) {
    const std::size_t End = m_Partial.find(EventEnd, Begin);
    if (End == std::string::npos)
      break;
    const std::string_view All = m_Partial;
    Step.m_Fault = takeEvent(All.substr(Begin, End - Begin), Step);
    Begin = End + EventEnd.size();
  }
  m_Partial.erase(0, Begin);
  if (m_Partial.size() > MaxEventBytes)
    Step.m_Fault = StreamFault::Malformed;
  return Step;
}

StreamFault TokenStreamChecker::takeEvent(std::string_view Event,
                                          StreamStep &Step) {
  if (Event.empty() || Event.starts_with(':'))
    return StreamFault::None;
  if (!Event.starts_with(DataField) || m_Finished)
    return StreamFault::Malformed;
  const std::string_view Data = trimLeft(Event.substr(DataField.size()));
  if (Data == LastData) {
    m_Finished = true;
    return StreamFault::None;
  }
  const StreamFault Fault = checkData(Data, Step);
  if (Fault != StreamFault::None)
    return Fault;
  Step.m_Events += Event;
  Step.m_Events += EventEnd;
  return StreamFault::None;
}

StreamFault TokenStreamChecker::checkData(std::string_view Json,
                                          StreamStep &Step) {
  unsigned char Buffer[4096];
  boost::json::monotonic_resource Memory(Buffer);
  boost::json::error_code Ec;
  const boost::json::value Parsed =
      boost::json::parse({Json.data(), Json.size()}, Ec, &Memory);
  if (Ec || !Parsed.is_object())
    return StreamFault::Malformed;
  const boost::json::object &Event = Parsed.get_object();
  if (textOf(Event, "id") != m_Bound.m_RequestId)
    return StreamFault::OtherRequest;
  if (textOf(Event, "weights") != m_Bound.m_Weights.m_Text ||
      textOf(Event, "digest") != m_Bound.m_Digest)
    return StreamFault::MixedWeights;
  const boost::json::value *Index = Event.if_contains("index");
  boost::json::error_code NotNumber;
  const auto Number =
      Index ? Index->to_number<std::uint64_t>(NotNumber) : std::uint64_t{0};
  if (!Index || NotNumber || Number != m_NextIndex)
    return StreamFault::WrongIndex;
  ++m_NextIndex;
  Step.m_Content += contentOf(Event);
  return StreamFault::None;
}

} // namespace deckpitch
