// Verifies that an engine's event stream belongs to the request it answers.
#pragma once

#include "deckpitch/id.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace deckpitch {

/// The values that every event of an answer must contain.
struct StreamBinding {
  std::string m_RequestId;
  WeightsId m_Weights;
  std::string m_Digest; ///< hex
  std::uint64_t m_FirstIndex = 0;

  friend bool operator==(const StreamBinding &,
                         const StreamBinding &) = default;
};

enum class StreamFault {
  None,
  Malformed,    ///< not in the event format, or too large
  OtherRequest, ///< an event of another request
  MixedWeights, ///< other weights or another digest
  WrongIndex,   ///< a duplicate or missing token
};

std::string_view toText(StreamFault Value);

/// The result of one piece of the stream: the complete events that passed every
/// check.
struct StreamStep {
  std::string m_Events;  ///< as server-sent events, without "[DONE]"
  std::string m_Content; ///< the text of these events
  StreamFault m_Fault = StreamFault::None;
};

/// Checks server-sent events as their bytes arrive, and passes on only complete
/// events that match the binding and are in order.
///
///   StreamStep Step = Checker.feed(Piece);
///   // Forward Step.m_Events; stop at Step.m_Fault or Checker.finished().
class TokenStreamChecker {
public:
  explicit TokenStreamChecker(StreamBinding Bound);

  StreamStep feed(std::string_view Piece);
  std::uint64_t nextIndex() const { return m_NextIndex; }
  /// Whether the last event ("[DONE]") has been received.
  bool finished() const { return m_Finished; }

private:
  StreamFault takeEvent(std::string_view Event, StreamStep &Step);
  StreamFault checkData(std::string_view Json, StreamStep &Step);

  StreamBinding m_Bound;
  std::uint64_t m_NextIndex;
  std::string m_Partial;
  bool m_Finished = false;
};

} // namespace deckpitch
