#include "net/adapters.h"

namespace deckpitch::net {

PortAddress parsePortAddress(const std::string &Text) {
  constexpr std::string_view Separator = "://";
  const std::size_t At = Text.find(Separator);
  if (At == std::string::npos)
    return {"http", Text};
  return {Text.substr(0, At), Text.substr(At + Separator.size())};
}

} // namespace deckpitch::net
