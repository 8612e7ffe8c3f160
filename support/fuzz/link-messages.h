// Decodes an input into the datagrams that a process receives on its link.
#pragma once

#include "fuzz/input-reader.h"
#include "proto/link.pb.h"

#include <cstddef>
#include <vector>

namespace deckpitch::fuzz {

/// The longest datagram that a process reads.
inline constexpr std::size_t MaxDatagramBytes = std::size_t{8} * 1024;
/// Datagrams read of one input; more find nothing new and take long.
inline constexpr std::size_t MaxDatagrams = 32;

/// Returns the messages of those datagrams that parse.
inline std::vector<wire::LinkMessage> messagesIn(Bytes Input) {
  constexpr std::size_t ByteValues = 256;
  InputReader Reader(Input);
  std::vector<wire::LinkMessage> Out;
  while (!Reader.atEnd() && Out.size() < MaxDatagrams) {
    const std::size_t Low = Reader.byte();
    const std::size_t Size = Low + ByteValues * Reader.byte();
    const std::string Datagram = Reader.text(std::min(Size, MaxDatagramBytes));
    wire::LinkMessage Message;
    if (Message.ParseFromString(Datagram))
      Out.push_back(Message);
  }
  return Out;
}

} // namespace deckpitch::fuzz
