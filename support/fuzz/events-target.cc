// Event streams: the events do not depend on how the bytes are split.
#include "deckpitch/event-stream.h"
#include "fuzz/check.h"
#include "fuzz/input-reader.h"
#include "fuzz/targets.h"

#include <vector>

namespace deckpitch::fuzz {

namespace {

struct Events {
  std::vector<StreamEvent> m_Complete;
  std::string m_Part; ///< bytes of the incomplete last event

  friend bool operator==(const Events &, const Events &) = default;
};

void takeComplete(EventStreamSplitter &Splitter, Events &To) {
  while (auto Event = Splitter.next())
    To.m_Complete.push_back(std::move(*Event));
}

/// Splits Text into pieces, whose sizes NextSize returns, and reads the events.
template <typename Size> Events split(std::string_view Text, Size &&NextSize) {
  EventStreamSplitter Splitter;
  Events Out;
  while (!Text.empty()) {
    const std::string_view Piece = Text.substr(0, NextSize());
    Splitter.add(Piece);
    Text.remove_prefix(Piece.size());
    takeComplete(Splitter, Out);
  }
  Out.m_Part = Splitter.part();
  require(!Splitter.hasEvent(), "no complete event is left");
  require(Splitter.partialBytes() == 0 ||
              Splitter.partialBytes() == Out.m_Part.size(),
          "bytes are left only after the last event");
  require(Splitter.hasPartialEvent() == !Out.m_Part.empty(),
          "a part is held if and only if an event is incomplete");
  return Out;
}

std::string joined(const Events &Of) {
  std::string Out;
  for (const StreamEvent &Each : Of.m_Complete)
    Out += Each.m_Bytes;
  return Out + Of.m_Part;
}

/// PieceSizes generates pseudo-random sizes from 1 to m_Max, reproducible from
/// the seed.
class PieceSizes {
public:
  PieceSizes(std::uint32_t Seed, std::uint32_t Max)
      : m_State(Seed), m_Max(Max) {}

  std::size_t operator()() {
    // A linear congruential generator; its high bits are more random.
    m_State = m_State * 1'664'525U + 1'013'904'223U;
    return 1 + (m_State >> 16) % m_Max;
  }

private:
  std::uint32_t m_State;
  std::uint32_t m_Max;
};

bool endsWithBlankLine(const std::string &Text) {
  return Text.ends_with("\n\n") || Text.ends_with("\n\r\n");
}

} // namespace

void fuzzEvents(Bytes Input) {
  constexpr std::uint32_t MaxPieceBytes = 16;
  InputReader Reader(Input);
  const std::uint32_t Seed = Reader.byte();
  const std::string Text = Reader.remainder();
  const Events Whole = split(Text, [&] { return Text.size(); });
  require(joined(Whole) == Text, "no byte of a stream is lost or reordered");
  for (const StreamEvent &Each : Whole.m_Complete)
    require(endsWithBlankLine(Each.m_Bytes), "an event ends with a blank line");
  require(split(Text, [] { return 1; }) == Whole,
          "bytes that arrive one by one make the same events");
  require(split(Text, PieceSizes(Seed, MaxPieceBytes)) == Whole,
          "pieces of any size make the same events");
}

} // namespace deckpitch::fuzz
