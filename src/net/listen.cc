#include "net/listen.h"

#include "net/address.h"

#include <boost/asio.hpp>

namespace deckpitch::net {

namespace asio = boost::asio;

Error listenError(const std::string &Address,
                  const boost::system::error_code &Ec) {
  const bool IsLasting = Ec == asio::error::access_denied ||
                         Ec == asio::error::address_family_not_supported;
  return {IsLasting ? ErrorCode::InvalidInput : ErrorCode::Unavailable,
          "cannot listen on " + Address + ": " + Ec.message()};
}

Result<std::string> openAcceptor(asio::ip::tcp::acceptor &Acceptor,
                                 const std::string &Address) {
  boost::system::error_code Ec;
  if (!Acceptor.is_open()) {
    BOOST_LEAF_AUTO(Endpoint, parseEndpoint(Address));
    Acceptor.open(Endpoint.protocol(), Ec);
    if (!Ec)
      Acceptor.set_option(asio::socket_base::reuse_address(true), Ec);
    if (!Ec)
      Acceptor.bind(Endpoint, Ec);
    if (!Ec)
      Acceptor.listen(asio::socket_base::max_listen_connections, Ec);
  }
  if (!Ec)
    return formatEndpoint(Acceptor.local_endpoint(Ec));
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
  return boost::leaf::new_error(listenError(Address, Ec));
}

} // namespace deckpitch::net
