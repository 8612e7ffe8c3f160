#include "net/deflate.h"

#include <boost/beast/zlib.hpp>

#include <algorithm>

namespace deckpitch::net {

namespace zlib = boost::beast::zlib;

namespace {

/// Of zlib's nine: the second fastest. A declaration of 4,000 routes shrinks to
/// a tenth already.
constexpr int Level = 2;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;
/// Text that one round unpacks.
constexpr std::size_t Step = std::size_t{64} * 1024;
/// The library looks up each code by nine bits, also a last one that is shorter
/// and ends the bytes, and would take a whole stream for cut off.
constexpr std::size_t LookAheadBytes = 2;
/// Of z_params::data_type: bits that were read ahead and not used.
constexpr int UnusedBitsMask = 63;
constexpr std::size_t BitsPerByte = 8;

Error broken(const std::string &Why) {
  return {ErrorCode::InvalidInput, "compressed text: " + Why};
}

/// Bytes that the stream's codes take: what was read ahead is no part of it.
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

Outcome<std::string> inflate(std::string_view Bytes, std::size_t MostBytes) {
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
    const std::size_t Room = std::min(Step, MostBytes - Before + 1);
    Out.resize(Before + Room);
    Params.next_out = Out.data() + Before;
    Params.avail_out = Room;
    boost::beast::error_code Ec;
    Stream.write(Params, zlib::Flush::sync, Ec);
    Out.resize(Before + Room - Params.avail_out);
    if (Out.size() > MostBytes)
      return broken("more than " + std::to_string(MostBytes) + " bytes");
    const bool IsEnd = Ec == zlib::error::end_of_stream;
    if (IsEnd && usedBytes(Params) <= Bytes.size())
      return Out;
    if (IsEnd)
      return broken("cut off");
    if (Ec && Ec != zlib::error::need_buffers)
      return broken(Ec.message());
    if (Params.avail_out != 0)
      return broken("cut off");
  }
}

} // namespace deckpitch::net
