#include "deckpitch/answer-meaning.h"

namespace deckpitch {

namespace {

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusMisdirected = 421;

} // namespace

AnswerMeaning meaningOf(const AnswerHead &Head) {
  if (Head.m_Names == AnsweredRequest::Another)
    return AnswerMeaning::Foreign;
  const bool IsNamed = Head.m_Names == AnsweredRequest::This;
  if (!IsNamed && !Head.m_IsFirstOnConnection)
    return AnswerMeaning::Unnamed;
  const bool IsMisdirected = Head.m_Status == StatusMisdirected;
  if (IsMisdirected && (Head.m_SaysNotRun || Head.m_IsFromOther))
    return AnswerMeaning::WrongInstance;
  if (Head.m_SaysNotRun)
    return AnswerMeaning::NotRun;
  if (Head.m_IsPromise)
    return AnswerMeaning::Unproven;
  // An instance that cannot parse the request cannot echo its id.
  const bool MayLackId =
      !Head.m_IsRequestNamed || Head.m_Status == StatusBadRequest;
  if (!IsNamed && !MayLackId)
    return AnswerMeaning::Unnamed;
  return AnswerMeaning::Answer;
}

const char *toText(AnsweredRequest Value) {
  switch (Value) {
  case AnsweredRequest::This:
    return "this";
  case AnsweredRequest::Another:
    return "another";
  case AnsweredRequest::None:
    break;
  }
  return "none";
}

} // namespace deckpitch
