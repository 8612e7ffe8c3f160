// Inputs that are datagrams, as a process reads them from its link.
#pragma once

#include "fuzz/input-reader.h"
#include "proto/link.pb.h"

#include <cstddef>
#include <vector>

namespace deckpitch::fuzz {

/// What a process reads of one datagram.
inline constexpr std::size_t MostDatagramBytes = std::size_t{8} * 1024;
/// Of one input: more show nothing new, and take long.
inline constexpr std::size_t MostDatagrams = 32;

/// The messages of those datagrams that are any.
inline std::vector<wire::LinkMessage> messagesIn(Bytes Input) {
  constexpr std::size_t ByteValues = 256;
  InputReader Reader(Input);
  std::vector<wire::LinkMessage> Out;
  while (!Reader.atEnd() && Out.size() < MostDatagrams) {
    const std::size_t Low = Reader.byte();
    const std::size_t Size = Low + ByteValues * Reader.byte();
    const std::string Datagram = Reader.text(std::min(Size, MostDatagramBytes));
    wire::LinkMessage Message;
    if (Message.ParseFromString(Datagram))
      Out.push_back(Message);
  }
  return Out;
}

} // namespace deckpitch::fuzz
