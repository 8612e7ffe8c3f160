// Bulk frames between agents: lengths and headers stay within their limits, or
// are rejected.
#include "fuzz/check.h"
#include "fuzz/input-reader.h"
#include "fuzz/targets.h"
#include "net/bulk.h"

namespace deckpitch::fuzz {

void fuzzBulk(Bytes Input) {
  constexpr std::size_t PrefixBytes = 4;
  InputReader Reader(Input);
  const std::string Prefix = Reader.text(PrefixBytes);
  const auto Length = outcomeOf([&] { return net::parseBulkLength(Prefix); });
  require(!Length || (*Length > 0 && *Length <= net::MaxBulkHeaderBytes),
          "a header is no longer than the limit");
  // With an invalid length, all that follows is parsed as the header, so that
  // the fuzzer still reaches the header's parser.
  const std::string HeaderText =
      Length ? Reader.text(*Length) : Reader.remainder();
  const auto Header =
      outcomeOf([&] { return net::parseBulkHeader(HeaderText); });
  if (!Header)
    return;
  require(Header->piece().length() <= net::MaxBulkPieceBytes,
          "a piece is no longer than the limit");
  const std::string Frame = net::formatBulkHeader(*Header);
  const auto Size = outcomeOf(
      [&] { return net::parseBulkLength(Frame.substr(0, PrefixBytes)); });
  require(Size && *Size == Frame.size() - PrefixBytes,
          "a frame starts with the length of its header");
  const auto Again = outcomeOf(
      [&] { return net::parseBulkHeader(Frame.substr(PrefixBytes)); });
  require(Again && Again->SerializeAsString() == Header->SerializeAsString(),
          "a header survives a round trip through its frame");
}

} // namespace deckpitch::fuzz
