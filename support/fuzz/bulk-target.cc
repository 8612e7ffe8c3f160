// Frames between agents: lengths and headers within their limits, or refused.
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
  // A wrong length must not hide the rest from the fuzzer.
  const std::string Head = Length ? Reader.text(*Length) : Reader.rest();
  const auto Header = outcomeOf([&] { return net::parseBulkHeader(Head); });
  if (!Header)
    return;
  require(Header->piece().length() <= net::MaxBulkPieceBytes,
          "a piece is no longer than the limit");
  const std::string Frame = net::formatBulkHeader(*Header);
  const auto Size = outcomeOf(
      [&] { return net::parseBulkLength(Frame.substr(0, PrefixBytes)); });
  require(Size && *Size == Frame.size() - PrefixBytes,
          "a frame tells its header's length");
  const auto Again = outcomeOf(
      [&] { return net::parseBulkHeader(Frame.substr(PrefixBytes)); });
  require(Again && Again->SerializeAsString() == Header->SerializeAsString(),
          "a header reads to the same message once written again");
}

} // namespace deckpitch::fuzz
