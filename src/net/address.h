// "ip:port" text to and from endpoints.
#pragma once

#include "deckpitch/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace deckpitch::net {

/// Errors: InvalidInput unless the text is an IP number and a port.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &Text);
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace deckpitch::net
