// What the head of an instance's answer proves about the request that was sent,
// over all heads.
#include "deckpitch/answer-meaning.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

using namespace deckpitch;

namespace {

constexpr unsigned StatusMisdirected = 421;

/// Number of values of the four flags of a head.
constexpr unsigned FlagCombinations = 16;

/// Heads with one status of each kind, and all values of the other members.
std::vector<AnswerHead> allHeads() {
  std::vector<AnswerHead> Out;
  for (const unsigned Status :
       {200U, 204U, 301U, 400U, 404U, 408U, 421U, 429U, 500U, 503U, 504U})
    for (const auto Names : {AnsweredRequest::This, AnsweredRequest::Another,
                             AnsweredRequest::None})
      for (unsigned Flags = 0; Flags < FlagCombinations; ++Flags) {
        AnswerHead Head;
        Head.m_Status = Status;
        Head.m_Names = Names;
        Head.m_SaysNotRun = (Flags & 1U) != 0;
        Head.m_IsFromOther = (Flags & 2U) != 0;
        Head.m_IsFirstOnConnection = (Flags & 4U) != 0;
        Head.m_IsRequestNamed = (Flags & 8U) != 0;
        Head.m_IsPromise = Status == 408 || Status == StatusMisdirected ||
                           Status == 429 || Status == 503;
        Out.push_back(Head);
      }
  return Out;
}

bool isProof(AnswerMeaning Value) {
  return Value == AnswerMeaning::NotRun ||
         Value == AnswerMeaning::WrongInstance;
}

/// Whether the answer can only belong to the request that was sent.
bool isOwn(const AnswerHead &Head) {
  if (Head.m_Names == AnsweredRequest::None)
    return Head.m_IsFirstOnConnection;
  return Head.m_Names == AnsweredRequest::This;
}

/// Late copies of rejections, and statuses alone, were taken for the statement
/// that a request had not run.
TEST(AnswerMeaning, OnlyAnOwnStatementProvesThatARequestDidNotRun) {
  for (const AnswerHead &Head : allHeads()) {
    const bool IsStated =
        Head.m_SaysNotRun ||
        (Head.m_Status == StatusMisdirected && Head.m_IsFromOther);
    EXPECT_EQ(isProof(meaningOf(Head)), isOwn(Head) && IsStated)
        << Head.m_Status;
  }
}

/// An instance's own 503 was forwarded to a caller that may take it for a
/// promise.
TEST(AnswerMeaning, NoStatusThatPromisesIsForwarded) {
  for (const AnswerHead &Head : allHeads())
    if (Head.m_IsPromise) {
      EXPECT_NE(meaningOf(Head), AnswerMeaning::Answer) << Head.m_Status;
    }
}

/// A rule that doubts too much would replace sound answers by 502.
TEST(AnswerMeaning, AnswersOfThisRequestAreForwarded) {
  for (const AnswerHead &Head : allHeads())
    if (Head.m_Names == AnsweredRequest::This && !Head.m_IsPromise &&
        !Head.m_SaysNotRun) {
      EXPECT_EQ(meaningOf(Head), AnswerMeaning::Answer) << Head.m_Status;
    }
}

} // namespace
