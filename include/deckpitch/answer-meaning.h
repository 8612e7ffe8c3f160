// What the head of an instance's answer proves about the request that was sent.
#pragma once

namespace deckpitch {

/// Which request an answer names as its own.
enum class AnsweredRequest {
  This,    ///< the one that was sent
  Another, ///< an earlier one of the connection
  None     ///< it names no request
};

/// The head of an instance's answer, as far as it tells whether the request
/// that was sent has run.
struct AnswerHead {
  unsigned m_Status = 0; ///< HTTP status; 0: no head was received
  AnsweredRequest m_Names = AnsweredRequest::None; ///< as its own request
  bool m_SaysNotRun = false;                       ///< marked as not run
  /// A caller that got this status would take its request for one that has not
  /// run and will not.
  bool m_IsPromise = false;
  /// The process at the address names itself as another instance than the one
  /// that the request was sent to.
  bool m_IsFromOther = false;
  bool m_IsFirstOnConnection = true; ///< nothing was sent there before
  bool m_IsRequestNamed = true;      ///< the request itself has an id

  friend bool operator==(const AnswerHead &, const AnswerHead &) = default;
};

/// What an instance's answer says about the request that was sent.
enum class AnswerMeaning {
  Answer,        ///< the request ran; this is its answer
  NotRun,        ///< the instance reports that it did not run the request
  WrongInstance, ///< another instance has the address and did not run it
  /// Its status promises that the request did not run, but neither a mark nor
  /// the name of the instance shows it: the request may have run.
  Unproven,
  Foreign, ///< the answer names another request
  Unnamed  ///< it names no request, and may belong to an earlier one
};

/// Returns what an answer with that head says about the request. Whose answer
/// it is comes first: a rejection that arrives late, or twice, says nothing
/// about this request.
AnswerMeaning meaningOf(const AnswerHead &Head);

/// Name of what the answer names, for log lines.
const char *toText(AnsweredRequest Value);

} // namespace deckpitch
