#include "net/bulk.h"

#include <boost/asio.hpp>

#include <array>

namespace deckpitch::net {

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PrefixBytes = 4;
constexpr int SocketBufferBytes = 128 * 1024;

Error connectionError(const boost::system::error_code &Ec) {
  return {ErrorCode::Unavailable, "bulk connection: " + Ec.message()};
}

} // namespace

Result<std::uint32_t> parseBulkLength(std::string_view Prefix,
                                      std::uint32_t MaxBytes) {
  if (Prefix.size() != PrefixBytes)
    return fail(ErrorCode::InvalidInput, "bulk frame length must be 4 bytes");
  std::uint32_t Length = 0;
  for (char Each : Prefix)
    Length = Length << 8 | static_cast<unsigned char>(Each);
  if (Length == 0 || Length > MaxBytes)
    return fail(ErrorCode::InvalidInput,
                "bulk frame header length is zero or exceeds the limit");
  return Length;
}

Result<wire::BulkFrame> parseBulkHeader(std::string_view Bytes) {
  wire::BulkFrame Header;
  if (!Header.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())) ||
      Header.kind_case() == wire::BulkFrame::KIND_NOT_SET)
    return fail(ErrorCode::InvalidInput, "malformed bulk frame header");
  if (Header.has_piece() && Header.piece().length() > MaxBulkPieceBytes)
    return fail(ErrorCode::InvalidInput,
                "bulk frame piece exceeds the size limit");
  return Header;
}

std::string formatBulkHeader(const wire::BulkFrame &Header) {
  const std::string Body = Header.SerializeAsString();
  const auto Length = static_cast<std::uint32_t>(Body.size());
  std::string Out;
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>(Length >> Shift & 0xff));
  return Out + Body;
}

asio::awaitable<Outcome<BulkMessage>> readBulk(asio::ip::tcp::socket &Socket,
                                               std::uint32_t MaxHeaderBytes) {
  std::array<char, PrefixBytes> Prefix{};
  auto [PrefixEc, PrefixRead] =
      co_await asio::async_read(Socket, asio::buffer(Prefix), UseAwaitable);
  if (PrefixEc)
    co_return connectionError(PrefixEc);
  const auto Length = outcomeOf([&] {
    return parseBulkLength({Prefix.data(), Prefix.size()}, MaxHeaderBytes);
  });
  if (!Length)
    co_return Length.error();
  std::string Bytes(*Length, '\0');
  auto [HeaderEc, HeaderRead] =
      co_await asio::async_read(Socket, asio::buffer(Bytes), UseAwaitable);
  if (HeaderEc)
    co_return connectionError(HeaderEc);
  auto Header = outcomeOf([&] { return parseBulkHeader(Bytes); });
  if (!Header)
    co_return Header.error();
  BulkMessage Out{std::move(*Header), {}};
  if (!Out.m_Header.has_piece())
    co_return Out;
  Out.m_Bytes.resize(Out.m_Header.piece().length());
  auto [PieceEc, PieceRead] = co_await asio::async_read(
      Socket, asio::buffer(Out.m_Bytes), UseAwaitable);
  if (PieceEc)
    co_return connectionError(PieceEc);
  co_return Out;
}

asio::awaitable<bool> writeBulk(asio::ip::tcp::socket &Socket,
                                wire::BulkFrame Header,
                                std::string_view Bytes) {
  const std::string FrameHeader = formatBulkHeader(Header);
  const std::array<asio::const_buffer, 2> Buffers{
      asio::buffer(FrameHeader), asio::buffer(Bytes.data(), Bytes.size())};
  auto [Ec, Written] =
      co_await asio::async_write(Socket, Buffers, UseAwaitable);
  co_return !Ec;
}

void tuneBulkSocket(asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(asio::socket_base::send_buffer_size(SocketBufferBytes),
                    Ignored);
  Socket.set_option(asio::socket_base::receive_buffer_size(SocketBufferBytes),
                    Ignored);
}

} // namespace deckpitch::net
