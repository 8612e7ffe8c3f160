#include "net/address.h"

#include <charconv>

namespace deckpitch::net {

Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return fail(ErrorCode::InvalidInput, "'" + Text + "' is not ip:port");
  boost::system::error_code Ec;
  std::string Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  const auto Ip = boost::asio::ip::make_address(Host, Ec);
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, PortError] =
      std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Ec || PortError != std::errc{} || Last != End)
    return fail(ErrorCode::InvalidInput, "'" + Text + "' is not ip:port");
  return boost::asio::ip::tcp::endpoint(Ip, Port);
}

std::string formatEndpoint(const boost::asio::ip::tcp::endpoint &Endpoint) {
  const std::string Ip = Endpoint.address().to_string();
  const std::string Host = Endpoint.address().is_v6() ? "[" + Ip + "]" : Ip;
  return Host + ":" + std::to_string(Endpoint.port());
}

} // namespace deckpitch::net
