#include "deckpitch/chunk-set.h"

namespace deckpitch {

std::string ChunkSet::toBytes() const {
  std::string Bytes((m_Size + 7) / 8, '\0');
  for (std::size_t I = 0; I < Bytes.size(); ++I)
    Bytes[I] = static_cast<char>(m_Words[I / 8] >> (I % 8 * 8) & 0xff);
  return Bytes;
}

ChunkSet ChunkSet::fromBytes(std::uint32_t Size, std::string_view Bytes) {
  ChunkSet Out(Size);
  for (std::uint32_t Index = 0; Index < Size && Index / 8 < Bytes.size();
       ++Index)
    if ((static_cast<unsigned char>(Bytes[Index / 8]) >> (Index % 8) & 1) != 0)
      Out.insert(Index);
  return Out;
}

} // namespace deckpitch
