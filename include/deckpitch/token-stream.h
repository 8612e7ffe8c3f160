// Checks an engine's event stream against the request it must answer.
#pragma once

#include "deckpitch/id.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace deckpitch {

/// What every event of one answer must carry.
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
  Malformed,    ///< not the event format, or too large
  OtherRequest, ///< an event of another request
  MixedWeights, ///< other weights or another digest
  WrongIndex,   ///< a token doubled or missing
};

std::string_view toText(StreamFault Value);

/// What one piece of the stream gave: whole events that passed every check.
struct StreamStep {
  std::string m_Events;  ///< as server-sent events, without the last one
  std::string m_Content; ///< their text
  StreamFault m_Fault = StreamFault::None;
};

/// Takes the bytes of server-sent events as they come, and lets through only
/// whole events that belong to the bound answer, in order.
///
///   StreamStep Step = Checker.feed(Piece);
///   pass on Step.m_Events; break on Step.m_Fault; end on Checker.finished()
class TokenStreamChecker {
public:
  explicit TokenStreamChecker(StreamBinding Bound);

  StreamStep feed(std::string_view Piece);
  std::uint64_t nextIndex() const { return m_NextIndex; }
  /// The last event ("[DONE]") has come.
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
