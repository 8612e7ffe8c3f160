#include "daemon/weights-link.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>

namespace deckpitch::daemon {

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PieceBytes = std::size_t{32} * 1024;
constexpr std::uint64_t MinBurstBytes = std::uint64_t{64} * 1024;
constexpr std::uint64_t BurstsPerSecond = 50;

std::shared_ptr<TokenBucket> makeShaper(std::uint64_t Rate) {
  return std::make_shared<TokenBucket>(
      Rate, std::max(MinBurstBytes, Rate / BurstsPerSecond));
}

} // namespace

ShapedLink makeShapedLink(const WeightsSettings &Settings) {
  ShapedLink Link;
  Link.m_Down = makeShaper(Settings.m_DownloadBytesPerSecond);
  Link.m_Up = Settings.m_SharedLink
                  ? Link.m_Down
                  : makeShaper(Settings.m_UploadBytesPerSecond);
  return Link;
}

BulkConnection::BulkConnection(asio::ip::tcp::socket Socket)
    : m_Socket(std::move(Socket)), m_Wake(m_Socket.get_executor()) {
  m_Wake.expires_at(asio::steady_timer::time_point::max());
}

void BulkConnection::start() {
  auto Run = [](std::shared_ptr<BulkConnection> Self) -> asio::awaitable<void> {
    co_await Self->write();
  };
  asio::co_spawn(m_Socket.get_executor(), Run(shared_from_this()),
                 asio::detached);
}

void BulkConnection::send(wire::BulkFrame Message) {
  m_Messages.push_back(std::move(Message));
  m_Wake.cancel();
}

void BulkConnection::sendPiece(wire::BulkFrame Header, std::string Bytes) {
  m_Piece = net::BulkMessage{std::move(Header), std::move(Bytes)};
  m_Wake.cancel();
}

void BulkConnection::close() {
  if (m_Closed)
    return;
  m_Closed = true;
  boost::system::error_code Ignored;
  m_Socket.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  m_Socket.close(Ignored);
  m_Wake.cancel();
  if (m_OnPieceDone)
    m_OnPieceDone();
}

asio::awaitable<void> BulkConnection::write() {
  while (!m_Closed) {
    bool Written = true;
    if (!m_Messages.empty()) {
      wire::BulkFrame Next = std::move(m_Messages.front());
      m_Messages.pop_front();
      Written = co_await net::writeBulk(m_Socket, std::move(Next), {});
    } else if (m_Piece) {
      Written = co_await net::writeBulk(m_Socket, m_Piece->m_Header,
                                        m_Piece->m_Bytes);
      m_Piece.reset();
      if (m_OnPieceDone)
        m_OnPieceDone();
    } else {
      co_await m_Wake.async_wait(UseAwaitable);
    }
    if (!Written)
      close();
  }
}

Uplink::Uplink(asio::io_context &Io, std::shared_ptr<TokenBucket> Shaper)
    : m_Wake(Io), m_Shaper(std::move(Shaper)) {
  m_Wake.expires_at(asio::steady_timer::time_point::max());
}

void Uplink::start() {
  auto Run = [](std::shared_ptr<Uplink> Self) -> asio::awaitable<void> {
    co_await Self->run();
  };
  asio::co_spawn(m_Wake.get_executor(), Run(shared_from_this()),
                 asio::detached);
}

void Uplink::stop() {
  m_Stopped = true;
  m_Wake.cancel();
}

void Uplink::send(std::shared_ptr<BulkConnection> To, std::uint32_t Chunk,
                  std::shared_ptr<const std::string> Bytes,
                  std::function<void()> OnDone) {
  m_Uploads.push_back(
      {std::move(To), Chunk, std::move(Bytes), 0, std::move(OnDone)});
  wake();
}

std::list<Uplink::Upload>::iterator Uplink::findReady() {
  return std::find_if(
      m_Uploads.begin(), m_Uploads.end(),
      [](const Upload &Each) { return !Each.m_To->piecePending(); });
}

void Uplink::dropClosed() {
  for (auto It = m_Uploads.begin(); It != m_Uploads.end();) {
    if (!It->m_To->closed()) {
      ++It;
      continue;
    }
    const auto OnDone = std::move(It->m_OnDone);
    It = m_Uploads.erase(It);
    OnDone();
  }
}

void Uplink::sendPiece(Upload &Next, std::size_t Length) {
  wire::BulkFrame Header;
  Header.mutable_piece()->set_chunk(Next.m_Chunk);
  Header.mutable_piece()->set_offset(Next.m_Offset);
  Header.mutable_piece()->set_length(static_cast<std::uint32_t>(Length));
  Next.m_To->sendPiece(std::move(Header),
                       Next.m_Bytes->substr(Next.m_Offset, Length));
  Next.m_Offset += Length;
  m_BytesSent += Length;
}

asio::awaitable<void> Uplink::run() {
  while (!m_Stopped) {
    dropClosed();
    const auto Next = findReady();
    if (Next == m_Uploads.end()) {
      co_await m_Wake.async_wait(UseAwaitable);
      continue;
    }
    const std::size_t Left = Next->m_Bytes->size() - Next->m_Offset;
    const std::size_t Length = std::min(PieceBytes, Left);
    const Duration Wait = m_Shaper->take(Length, now());
    if (Wait > Duration::zero())
      co_await sleepFor(Wait);
    if (Next->m_To->closed())
      continue;
    sendPiece(*Next, Length);
    if (Next->m_Offset < Next->m_Bytes->size())
      continue;
    const auto OnDone = std::move(Next->m_OnDone);
    m_Uploads.erase(Next);
    OnDone();
  }
}

} // namespace deckpitch::daemon
