// Conversion between "ip:port" text and endpoints.
#pragma once

#include "deckpitch/error.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace deckpitch::net {

/// Parses "ip:port"; an IPv6 address may be in brackets. Errors: InvalidInput
/// if the text is not an IP address and a port.
Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &Text);
/// Formats an endpoint as "ip:port", with an IPv6 address in brackets.
std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint);

} // namespace deckpitch::net
