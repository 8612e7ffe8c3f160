// Event streams: however their bytes are cut, the same events come out.
#include "deckpitch/event-stream.h"
#include "fuzz/check.h"
#include "fuzz/input-reader.h"
#include "fuzz/targets.h"

#include <vector>

namespace deckpitch::fuzz {

namespace {

struct Events {
  std::vector<StreamEvent> m_Whole;
  std::string m_Part; ///< of the one that did not end

  friend bool operator==(const Events &, const Events &) = default;
};

void takeWhole(EventStreamSplitter &Splitter, Events &To) {
  while (auto Event = Splitter.next())
    To.m_Whole.push_back(std::move(*Event));
}

/// NextSize gives the size of each piece.
template <typename Size> Events cut(std::string_view Text, Size &&NextSize) {
  EventStreamSplitter Splitter;
  Events Out;
  while (!Text.empty()) {
    const std::string_view Piece = Text.substr(0, NextSize());
    Splitter.add(Piece);
    Text.remove_prefix(Piece.size());
    takeWhole(Splitter, Out);
  }
  Out.m_Part = Splitter.part();
  require(Splitter.hasPartialEvent() == !Out.m_Part.empty(),
          "a part is held where some of an event has come");
  return Out;
}

std::string joined(const Events &Of) {
  std::string Out;
  for (const StreamEvent &Each : Of.m_Whole)
    Out += Each.m_Bytes;
  return Out + Of.m_Part;
}

/// Sizes from 1 to Most that seem random, the same for the same seed.
class PieceSizes {
public:
  PieceSizes(std::uint32_t Seed, std::uint32_t Most)
      : m_State(Seed), m_Most(Most) {}

  std::size_t operator()() {
    // A linear congruential generator; its high bits are the better ones.
    m_State = m_State * 1'664'525U + 1'013'904'223U;
    return 1 + (m_State >> 16) % m_Most;
  }

private:
  std::uint32_t m_State;
  std::uint32_t m_Most;
};

bool endsWithBlankLine(const std::string &Text) {
  return Text.ends_with("\n\n") || Text.ends_with("\n\r\n");
}

} // namespace

void fuzzEvents(Bytes Input) {
  constexpr std::uint32_t MostPieceBytes = 16;
  InputReader Reader(Input);
  const std::uint32_t Seed = Reader.byte();
  const std::string Text = Reader.rest();
  const Events Whole = cut(Text, [&] { return Text.size(); });
  require(joined(Whole) == Text, "no byte of a stream is lost or moved");
  for (const StreamEvent &Each : Whole.m_Whole)
    require(endsWithBlankLine(Each.m_Bytes), "an event ends with a blank line");
  require(cut(Text, [] { return 1; }) == Whole,
          "bytes that come one by one make the same events");
  require(cut(Text, PieceSizes(Seed, MostPieceBytes)) == Whole,
          "pieces of any size make the same events");
}

} // namespace deckpitch::fuzz
