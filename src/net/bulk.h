// Weights between agents: framed messages with raw bytes over TCP.
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

/// A frame is: length of the header (4 bytes, big-endian), the header (a
/// BulkFrame), and the raw bytes that a BulkPiece announces.
struct BulkMessage {
  wire::BulkFrame m_Header;
  std::string m_Bytes;
};

/// Larger frames end the connection.
constexpr std::uint32_t MaxBulkHeaderBytes = 512 * 1024;
constexpr std::uint32_t MaxBulkPieceBytes = 256 * 1024;

/// The length of a header, as its first four bytes tell. Errors: InvalidInput
/// beyond the limit.
Result<std::uint32_t> parseBulkLength(std::string_view Prefix);
/// Errors: InvalidInput when malformed or announcing too many bytes.
Result<wire::BulkFrame> parseBulkHeader(std::string_view Bytes);
std::string formatBulkHeader(const wire::BulkFrame &Header);

/// Reads the next frame. Errors: Unavailable when the connection ends,
/// InvalidInput on garbage.
asio::awaitable<Outcome<BulkMessage>> readBulk(asio::ip::tcp::socket &Socket);
asio::awaitable<bool> writeBulk(asio::ip::tcp::socket &Socket,
                                wire::BulkFrame Header, std::string_view Bytes);

/// Small buffers, so that pacing shows where it happens.
void tuneBulkSocket(asio::ip::tcp::socket &Socket);

} // namespace deckpitch::net
