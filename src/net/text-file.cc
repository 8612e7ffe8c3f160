#include "net/text-file.h"

#include <fstream>
#include <sstream>

namespace deckpitch::net {

std::optional<std::string> readTextFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

} // namespace deckpitch::net
