// A plain TCP connection that sends exactly what a test gives it.
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
  /// Takes no more from the server than this before it is read.
  RawConnection(const std::string &Address, int ReceiveBytes) {
    m_Socket.open(boost::asio::ip::tcp::v4());
    m_Socket.set_option(
        boost::asio::socket_base::receive_buffer_size(ReceiveBytes));
    m_Socket.connect(*net::parseEndpoint(Address));
  }

  /// False when the other side has closed already.
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
  /// Takes one byte; false at the end.
  bool readByte(std::string &To) {
    char Byte = 0;
    boost::system::error_code Ec;
    if (m_Socket.read_some(boost::asio::buffer(&Byte, 1), Ec) == 0)
      return false;
    To += Byte;
    return true;
  }

  /// Reads until what came contains the text; empty when the end came first.
  std::string readUntil(const std::string &Text) {
    while (m_Read.find(Text) == std::string::npos)
      if (!readSome())
        return {};
    return std::exchange(m_Read, {});
  }
  std::string readToEnd() {
    while (readSome())
      ;
    return std::exchange(m_Read, {});
  }

private:
  bool readSome() {
    std::string Piece(4096, '\0');
    boost::system::error_code Ec;
    Piece.resize(m_Socket.read_some(boost::asio::buffer(Piece), Ec));
    m_Read += Piece;
    return !Ec;
  }

  boost::asio::io_context m_Io;
  boost::asio::ip::tcp::socket m_Socket{m_Io};
  std::string m_Read;
};

} // namespace deckpitch::test
