// A plain TCP connection that sends exactly the bytes that a test provides.
#pragma once

#include "net/address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>

namespace deckpitch::test {

class RawConnection {
public:
  explicit RawConnection(const std::string &Address) {
    m_Socket.connect(*net::parseEndpoint(Address));
  }
  /// Limits the receive buffer, so that the server cannot send much more than
  /// this before the test reads.
  RawConnection(const std::string &Address, int ReceiveBytes) {
    m_Socket.open(boost::asio::ip::tcp::v4());
    m_Socket.set_option(
        boost::asio::socket_base::receive_buffer_size(ReceiveBytes));
    m_Socket.connect(*net::parseEndpoint(Address));
  }

  /// Returns false if the peer has already closed the connection.
  bool send(const std::string &Bytes) {
    boost::system::error_code Ec;
    boost::asio::write(m_Socket, boost::asio::buffer(Bytes), Ec);
    return !Ec;
  }
  void closeSending() {
    boost::system::error_code Ignored;
    m_Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  }
  void close() { m_Socket.close(); }

  bool hasAnswer() { return m_Socket.available() > 0; }
  /// Appends one byte to To. Returns false at the end of the stream.
  bool readByte(std::string &To) {
    char Byte = 0;
    boost::system::error_code Ec;
    if (m_Socket.read_some(boost::asio::buffer(&Byte, 1), Ec) == 0)
      return false;
    To += Byte;
    return true;
  }

  /// Reads until the received data contains the text, and returns that data, or
  /// an empty string if the stream ends first.
  std::string readUntil(const std::string &Text) {
    while (m_Received.find(Text) == std::string::npos)
      if (!readSome())
        return {};
    return std::exchange(m_Received, {});
  }
  /// Returns all data up to the end of the stream.
  std::string readToEnd() {
    while (readSome())
      ;
    return std::exchange(m_Received, {});
  }

  /// Reads to the end of the stream. Returns whether that was a reset.
  bool endsWithReset() {
    boost::system::error_code Ec;
    std::string Sink(4096, '\0');
    while (!Ec)
      m_Socket.read_some(boost::asio::buffer(Sink), Ec);
    return Ec == boost::asio::error::connection_reset;
  }

private:
  bool readSome() {
    std::string Piece(4096, '\0');
    boost::system::error_code Ec;
    Piece.resize(m_Socket.read_some(boost::asio::buffer(Piece), Ec));
    m_Received += Piece;
    return !Ec;
  }

  boost::asio::io_context m_Io;
  boost::asio::ip::tcp::socket m_Socket{m_Io};
  std::string m_Received;
};

} // namespace deckpitch::test
