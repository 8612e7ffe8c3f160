#include "net/server-connection.h"

#include <boost/beast/http.hpp>

#include <algorithm>

namespace deckpitch::net::detail {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr unsigned Http11 = 11;
constexpr std::size_t ReadBytes = std::size_t{4} * 1024;
/// Bytes that the buffer holds beyond the limit of a head: what one read may
/// receive. A line or trailers that do not fit end the request.
constexpr std::size_t BufferSlack = std::size_t{8} * 1024;
/// Limit of a head, whatever is declared. Beast throws out of the event loop
/// for a field of 64 KiB, and the slack may hold one of a trailer.
constexpr std::size_t MostHeaderBytes = std::size_t{56} * 1024;

/// To receive a request that begins once unread ones are refused: in the same
/// packets, or hardly later.
constexpr std::chrono::milliseconds StoppingReceiveTime{100};

constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusTimeout = 408;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusHeadTooLarge = 431;
constexpr unsigned StatusUnavailable = 503;

/// A body in a string that grows as data arrives: the length that a client
/// announces takes no memory.
struct GrowingBody {
  // NOLINTBEGIN(readability-identifier-naming): Beast's names for a body.
  using value_type = std::string;

  class reader {
  public:
    template <bool IsRequest, typename Fields>
    reader(http::header<IsRequest, Fields> &, value_type &Body)
        : m_Body(Body) {}

    void init(const boost::optional<std::uint64_t> &, beast::error_code &Ec) {
      Ec = {};
    }
    template <typename Buffers>
    std::size_t put(const Buffers &From, beast::error_code &Ec) {
      for (auto It = asio::buffer_sequence_begin(From);
           It != asio::buffer_sequence_end(From); ++It) {
        const asio::const_buffer Piece = *It;
        m_Body.append(static_cast<const char *>(Piece.data()), Piece.size());
      }
      Ec = {};
      return beast::buffer_bytes(From);
    }
    void finish(beast::error_code &Ec) { Ec = {}; }

  private:
    value_type &m_Body;
  };
  // NOLINTEND(readability-identifier-naming)
};

using Parser = http::request_parser<GrowingBody>;

ReceiveError evictedError() {
  return {ClientRefusal::Evicted, StatusUnavailable,
          "stalled while other clients waited"};
}

ReceiveError noBytesError() {
  return {ClientRefusal::NoBytes, StatusUnavailable,
          "too many large requests in progress"};
}

ReceiveError stoppingError() {
  return {ClientRefusal::Stopping, StatusUnavailable,
          "not received before the end of the process"};
}

ReceiveError errorOf(const ServerConnection &Conn,
                     const beast::error_code &Ec) {
  if (Conn.m_IsEvicted)
    return evictedError();
  if (Conn.m_IsStopping)
    return stoppingError();
  if (Conn.m_Deadline.expired())
    return {ClientRefusal::TooSlow, StatusTimeout,
            "the request was not complete in time"};
  if (Ec == http::error::body_limit)
    return {ClientRefusal::BodyTooLarge, StatusTooLarge, Ec.message()};
  if (Ec == http::error::header_limit || Ec == http::error::buffer_overflow)
    return {ClientRefusal::HeadTooLarge, StatusHeadTooLarge, Ec.message()};
  const bool IsGone =
      Ec == http::error::end_of_stream || Ec == asio::error::connection_reset;
  return {ClientRefusal::Malformed, IsGone ? 0 : StatusBadRequest,
          Ec.message()};
}

HttpRequest headOf(const http::request<GrowingBody> &Message) {
  HttpRequest Out;
  Out.m_Method = std::string(Message.method_string());
  Out.m_Target = std::string(Message.target());
  for (const auto &Field : Message)
    Out.m_Headers.add(std::string(Field.name_string()),
                      std::string(Field.value()));
  return Out;
}

/// Bytes of a body in memory: as received, and as it is sent on.
std::size_t bytesOf(const std::string &Body) {
  return Body.capacity() + Body.size();
}

/// Reads on until the head is complete.
asio::awaitable<std::optional<ReceiveError>>
readHead(ServerConnection &Conn, Parser &Into, std::size_t &HeadBytes) {
  while (!Into.is_header_done()) {
    auto [Ec, Bytes] = co_await http::async_read_some(
        Conn.m_Socket, Conn.m_Buffer, Into, UseAwaitable);
    HeadBytes += Bytes;
    if (Ec)
      co_return errorOf(Conn, Ec);
    if (Conn.m_IsStopping && !Into.is_header_done())
      co_return stoppingError();
    if (!Conn.holdBuffered(2 * HeadBytes)) // as parsed, and in the request
      co_return noBytesError();
  }
  co_return std::nullopt;
}

} // namespace

void ServerConnection::evict() {
  m_IsEvicted = true;
  boost::system::error_code Ignored;
  if (!m_IsAnswering)
    m_Socket.cancel(Ignored);
}

void ServerConnection::refuseUnread() {
  m_IsStopping = true;
  boost::system::error_code Ignored;
  // A refusal that is being written, or read past, must reach its client.
  if (m_IsReceiving)
    m_Socket.cancel(Ignored);
}

bool ServerConnection::hasMore() const {
  boost::system::error_code Ec;
  return m_Buffer.size() != 0 || (m_Socket.available(Ec) != 0 && !Ec);
}

asio::awaitable<bool> waitForRequest(ServerConnection &Conn,
                                     std::chrono::milliseconds IdleTimeout) {
  if (Conn.m_Buffer.size() != 0)
    co_return true;
  // A buffer that has grown is not kept for the time between two requests.
  if (Conn.m_Buffer.capacity() > ReadBytes)
    Conn.m_Buffer.shrink_to_fit();
  Conn.m_Deadline.expiresAfter(IdleTimeout);
  auto [Ec, Bytes] = co_await Conn.m_Socket.async_read_some(
      Conn.m_Buffer.prepare(ReadBytes), UseAwaitable);
  if (Ec)
    co_return false;
  Conn.m_Buffer.commit(Bytes);
  co_return true;
}

asio::awaitable<ReceivedRequest>
receiveRequest(ServerConnection &Conn, HttpLimits Limits,
               const std::function<bool(const HttpRequest &)> &AcceptsBody) {
  Parser Into;
  Limits.m_HeaderBytes = std::min(Limits.m_HeaderBytes, MostHeaderBytes);
  Into.header_limit(static_cast<std::uint32_t>(Limits.m_HeaderBytes));
  Into.body_limit(Limits.m_BodyBytes);
  Conn.m_Buffer.max_size(
      std::max(Limits.m_HeaderBytes + BufferSlack, Conn.m_Buffer.size()));
  Conn.m_Deadline.expiresAfter(
      Conn.m_IsStopping ? std::min(Limits.m_HeaderTimeout, StoppingReceiveTime)
                        : Limits.m_HeaderTimeout);
  ReceivedRequest Out;
  std::size_t HeadBytes = 0;
  Out.m_Error = co_await readHead(Conn, Into, HeadBytes);
  if (Out.m_Error)
    co_return Out;
  // Taken before the trailers are read, which would be added to the fields.
  Out.m_Request = headOf(Into.get());
  Out.m_KeepAlive = Into.keep_alive();
  Out.m_IsHttp11 = Into.get().version() >= Http11;
  std::string &Body = Into.get().body();
  Into.eager(true);
  bool IsAccepted = !AcceptsBody;
  while (!Into.is_done()) {
    auto [Ec, Bytes] = co_await http::async_read_some(
        Conn.m_Socket, Conn.m_Buffer, Into, UseAwaitable);
    if (Ec)
      Out.m_Error = errorOf(Conn, Ec);
    else if (Conn.m_IsStopping && !Into.is_done())
      Out.m_Error = stoppingError();
    else if (!Conn.holdBuffered(2 * HeadBytes + bytesOf(Body)))
      Out.m_Error = noBytesError();
    if (Out.m_Error)
      co_return Out;
    if (IsAccepted || Into.is_done() || Body.size() <= SmallBodyBytes)
      continue;
    IsAccepted = AcceptsBody(Out.m_Request);
    if (!IsAccepted) {
      Out.m_Request.m_IsBodyRead = false;
      Out.m_KeepAlive = false;
      co_return Out;
    }
  }
  Out.m_Request.m_Body = std::move(Body);
  co_return Out;
}

} // namespace deckpitch::net::detail
