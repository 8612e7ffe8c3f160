// Transfer of weights between agents: framed messages with raw bytes over TCP.
#pragma once

#include "deckpitch/error.h"
#include "proto/weights.pb.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace deckpitch::net {

namespace asio = boost::asio;

/// One frame. On the wire: the header's length (4 bytes, big-endian), the
/// header (a BulkFrame), and the raw bytes whose length a BulkPiece header
/// gives.
struct BulkMessage {
  wire::BulkFrame m_Header;
  std::string m_Bytes;
};

/// Limits of a frame. A frame that exceeds one ends the connection.
constexpr std::uint32_t MaxBulkHeaderBytes = 512 * 1024;
constexpr std::uint32_t MaxBulkPieceBytes = 256 * 1024;

/// Decodes the four-byte length that precedes a header. Errors: InvalidInput if
/// the length is zero or exceeds the limit.
Result<std::uint32_t>
parseBulkLength(std::string_view Prefix,
                std::uint32_t MaxBytes = MaxBulkHeaderBytes);
/// Parses a header. Errors: InvalidInput if it is malformed or its piece
/// exceeds MaxBulkPieceBytes.
Result<wire::BulkFrame> parseBulkHeader(std::string_view Bytes);
std::string formatBulkHeader(const wire::BulkFrame &Header);

/// Reads the next frame, with a header of at most that size. Errors:
/// Unavailable if the connection ends, InvalidInput if the frame is malformed.
asio::awaitable<Outcome<BulkMessage>>
readBulk(asio::ip::tcp::socket &Socket,
         std::uint32_t MaxHeaderBytes = MaxBulkHeaderBytes);
asio::awaitable<bool> writeBulk(asio::ip::tcp::socket &Socket,
                                wire::BulkFrame Header, std::string_view Bytes);

/// Disables Nagle's algorithm and sets small socket buffers, so that rate
/// limiting at one end takes effect at the other without delay.
void tuneBulkSocket(asio::ip::tcp::socket &Socket);

} // namespace deckpitch::net
