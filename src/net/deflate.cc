#include "net/deflate.h"

#include <boost/beast/zlib.hpp>

#include <algorithm>

namespace deckpitch::net {

namespace zlib = boost::beast::zlib;

namespace {

/// The second fastest of zlib's nine levels; it already compresses a
/// declaration of 4,000 routes to a tenth.
constexpr int Level = 2;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
/// Text bytes decompressed in one iteration.
constexpr std::size_t StepBytes = std::size_t{64} * 1024;
/// Padding appended to the input. Boost's inflate looks up each code by nine
/// bits, even if the last code is shorter and ends the input, and would report
/// such a complete stream as truncated.
constexpr std::size_t LookAheadBytes = 2;
/// Mask for the number of bits that were read ahead but not used, in
/// z_params::data_type.
constexpr int UnusedBitsMask = 63;
constexpr std::size_t BitsPerByte = 8;

Error invalidStream(const std::string &Why) {
  return {ErrorCode::InvalidInput, "compressed text: " + Why};
}

/// Returns the length of the compressed stream, without bytes read ahead.
std::size_t usedBytes(const zlib::z_params &Ended) {
  const auto Unused =
      static_cast<std::size_t>(Ended.data_type & UnusedBitsMask) / BitsPerByte;
  return Ended.total_in - Unused;
}

} // namespace

std::string deflate(std::string_view Text) {
  zlib::deflate_stream Stream;
  Stream.reset(Level, WindowBits, MemoryLevel, zlib::Strategy::normal);
  std::string Out(Stream.upper_bound(Text.size()), '\0');
  zlib::z_params Params;
  Params.next_in = Text.data();
  Params.avail_in = Text.size();
  Params.next_out = Out.data();
  Params.avail_out = Out.size();
  boost::beast::error_code Ec;
  Stream.write(Params, zlib::Flush::finish, Ec);
  Out.resize(Params.total_out);
  return Out;
}

Outcome<std::string> inflate(std::string_view Bytes, std::size_t MaxBytes) {
  zlib::inflate_stream Stream;
  Stream.reset(WindowBits);
  std::string Padded(Bytes);
  Padded.append(LookAheadBytes, '\0');
  zlib::z_params Params;
  Params.next_in = Padded.data();
  Params.avail_in = Padded.size();
  std::string Out;
  while (true) {
    const std::size_t Before = Out.size();
    const std::size_t FreeBytes = std::min(StepBytes, MaxBytes - Before + 1);
    Out.resize(Before + FreeBytes);
    Params.next_out = Out.data() + Before;
    Params.avail_out = FreeBytes;
    boost::beast::error_code Ec;
    Stream.write(Params, zlib::Flush::sync, Ec);
    Out.resize(Before + FreeBytes - Params.avail_out);
    if (Out.size() > MaxBytes)
      return invalidStream("longer than " + std::to_string(MaxBytes) +
                           " bytes");
    const bool IsEnd = Ec == zlib::error::end_of_stream;
    if (IsEnd && usedBytes(Params) <= Bytes.size())
      return Out;
    if (IsEnd)
      return invalidStream("truncated");
    if (Ec && Ec != zlib::error::need_buffers)
      return invalidStream(Ec.message());
    if (Params.avail_out != 0)
      return invalidStream("truncated");
  }
}

} // namespace deckpitch::net
