#include "deckpitch/token-stream.h"
#include "token-event.h"

namespace deckpitch {

namespace {

constexpr std::size_t MaxEventBytes = std::size_t{64} * 1024;
constexpr std::string_view DataField = "data:";
constexpr std::string_view LastData = "[DONE]";
constexpr std::string_view EventEnd = "\n\n";

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
  const auto Event =
      readTokenEvent(Json, {.m_Id = m_Bound.m_RequestId,
                            .m_Weights = m_Bound.m_Weights.m_Text,
                            .m_Digest = m_Bound.m_Digest});
  if (!Event)
    return StreamFault::Malformed;
  if (!Event->m_IdMatches)
    return StreamFault::OtherRequest;
  if (!Event->m_WeightsMatch || !Event->m_DigestMatches)
    return StreamFault::MixedWeights;
  if (Event->m_Index != m_NextIndex)
    return StreamFault::WrongIndex;
  ++m_NextIndex;
  Step.m_Content += Event->m_Content;
  return StreamFault::None;
}

} // namespace deckpitch
