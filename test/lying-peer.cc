#include "lying-peer.h"

#include "deckpitch/chunk-set.h"
#include "net/address.h"
#include "net/bulk.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <optional>
#include <thread>

namespace deckpitch::test {

namespace {

namespace asio = boost::asio;

constexpr std::size_t PrefixBytes = 4;
constexpr std::uint32_t MaxGrants = 200; ///< per connection
constexpr std::chrono::milliseconds GrantInterval{20};

class LyingPeer {
public:
  explicit LyingPeer(const Manifest &Of) : m_Manifest(Of) {}

  /// Returns whether a chunk was requested and sent corrupted.
  bool sendCorruptChunk(const std::string &Bulk) {
    boost::system::error_code Ec;
    m_Socket.connect(*net::parseEndpoint(Bulk), Ec);
    if (Ec || !sendHello())
      return false;
    std::uint32_t Granted = 0;
    while (const auto Frame = read()) {
      if (Frame->has_request())
        return sendCorruptPiece(Frame->request().chunk());
      const bool MayGrant = Frame->has_hello() || Frame->has_decline();
      if (!MayGrant)
        continue;
      if (Frame->has_decline())
        std::this_thread::sleep_for(GrantInterval);
      if (++Granted > MaxGrants || !sendGrant())
        return false;
    }
    return false;
  }

private:
  bool send(const wire::BulkFrame &Frame, const std::string &Bytes = "") {
    boost::system::error_code Ec;
    const std::string Text = net::formatBulkHeader(Frame) + Bytes;
    asio::write(m_Socket, asio::buffer(Text), Ec);
    return !Ec;
  }

  bool sendHello() {
    const std::uint32_t Chunks = m_Manifest.chunkCount();
    ChunkSet All(Chunks);
    for (std::uint32_t I = 0; I < Chunks; ++I)
      All.insert(I);
    const auto &Whole = m_Manifest.m_Whole.m_Bytes;
    wire::BulkFrame Frame;
    wire::BulkHello &Hello = *Frame.mutable_hello();
    Hello.set_instance("liar");
    Hello.set_data_centre("lahore");
    Hello.set_incarnation(1);
    Hello.set_weights(m_Manifest.m_Weights.m_Text);
    Hello.set_whole(std::string(Whole.begin(), Whole.end()));
    Hello.set_chunks(Chunks);
    Hello.set_here(All.toBytes());
    Hello.set_seen(All.toBytes());
    return send(Frame);
  }

  bool sendGrant() {
    wire::BulkFrame Frame;
    Frame.mutable_grant();
    return send(Frame);
  }

  bool sendCorruptPiece(std::uint32_t Chunk) {
    const std::uint32_t Length = m_Manifest.chunkLength(Chunk);
    wire::BulkFrame Frame;
    Frame.mutable_piece()->set_chunk(Chunk);
    Frame.mutable_piece()->set_length(Length);
    if (!send(Frame, std::string(Length, 'x')))
      return false;
    while (read())
      ; // Until the agent disconnects.
    return true;
  }

  std::optional<wire::BulkFrame> read() {
    const auto Prefix = readBytes(PrefixBytes);
    if (!Prefix)
      return std::nullopt;
    const auto Length =
        outcomeOf([&] { return net::parseBulkLength(*Prefix); });
    const auto Body = Length ? readBytes(*Length) : std::nullopt;
    if (!Body)
      return std::nullopt;
    const auto Frame = outcomeOf([&] { return net::parseBulkHeader(*Body); });
    if (!Frame)
      return std::nullopt;
    return *Frame;
  }

  std::optional<std::string> readBytes(std::size_t Count) {
    std::string Bytes(Count, '\0');
    boost::system::error_code Ec;
    asio::read(m_Socket, asio::buffer(Bytes), Ec);
    if (Ec)
      return std::nullopt;
    return Bytes;
  }

  const Manifest &m_Manifest;
  asio::io_context m_Io;
  asio::ip::tcp::socket m_Socket{m_Io};
};

} // namespace

std::uint32_t sendCorruptChunks(const std::string &Bulk, const Manifest &Of,
                                std::uint32_t Calls) {
  std::uint32_t Requested = 0;
  for (std::uint32_t I = 0; I < Calls; ++I)
    Requested += LyingPeer(Of).sendCorruptChunk(Bulk);
  return Requested;
}

} // namespace deckpitch::test
