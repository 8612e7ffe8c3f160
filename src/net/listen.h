// Opening the ports of a process.
#pragma once

#include "deckpitch/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace deckpitch::net {

/// What the port at the address cannot be opened for. Unavailable if the same
/// attempt may succeed later: the address is not configured yet, or a former
/// process or another program's connection has the port.
Error listenError(const std::string &Address,
                  const boost::system::error_code &Ec);

/// Listens at "ip:port" and returns the bound address. The acceptor is closed
/// after a failure, so that the call can be repeated; an acceptor that is open
/// stays as it is. Errors: InvalidInput, Unavailable, as above.
Result<std::string> openAcceptor(boost::asio::ip::tcp::acceptor &Acceptor,
                                 const std::string &Address);

} // namespace deckpitch::net
