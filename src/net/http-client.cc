#include "net/endless-answers.h"
#include "net/http-connection.h"
#include "net/http.h"
#include "net/metrics.h"
#include "net/process-check.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>

namespace deckpitch::net {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

using detail::AbortOnCancel;
using detail::connect;
using detail::Connection;
using detail::PoolKey;
using detail::UseAwaitable;

namespace {

constexpr std::size_t MaxReadBytes = std::size_t{64} * 1024;
/// Bound on the head of a response.
constexpr std::uint32_t MaxHeadBytes = 16 * 1024;
/// Bound on what frames a body: the line before a chunk, or the trailers.
constexpr std::size_t MaxFramingBytes = std::size_t{16} * 1024;
/// Bound on the body of a response that is skipped to read the next one.
constexpr std::size_t MaxSkippedBytes = std::size_t{1024} * 1024;
/// Bound on all interim responses (1xx) before the final one. A server may send
/// one now and then to show that it is at work.
constexpr std::size_t MaxInterimBytes = std::size_t{64} * 1024;
constexpr unsigned FirstInterimStatus = 100;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastFinalStatus = 599;
constexpr unsigned StatusSwitchingProtocols = 101;

/// Parses the idle timeout from the value of a Keep-Alive header.
std::optional<std::chrono::milliseconds>
parseKeepAliveTimeout(std::string_view KeepAlive) {
  constexpr std::string_view Field = "timeout=";
  const std::size_t At = KeepAlive.find(Field);
  if (At == std::string_view::npos)
    return std::nullopt;
  const std::string_view Text = KeepAlive.substr(At + Field.size());
  unsigned Seconds = 0;
  const auto Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  if (Read.ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

Error outcomeUnknown(const std::string &Address,
                     const boost::system::error_code &Ec) {
  return Error{ErrorCode::Timeout, Address + ": " + Ec.message(),
               detail::isClosedByPeer(Ec)};
}

using Message = http::request<http::string_body>;

/// Whether a request of that method states a length though it has no body.
bool statesEmptyBody(http::verb Method) {
  return Method == http::verb::options || Method == http::verb::put ||
         Method == http::verb::post;
}

/// The request as it is written. Errors: InvalidInput if it cannot be, as with
/// a header of more than 64 KiB.
Outcome<Message> makeMessage(HttpRequest Request, const std::string &Address,
                             bool KeepsConnection) {
  Message Out;
  try {
    Out.version(11);
    Out.method_string(Request.m_Method);
    Out.target(Request.m_Target);
    for (const HttpHeader &Header : Request.m_Headers.m_List)
      Out.insert(Header.m_Name, Header.m_Value);
    if (Request.m_Headers.find("Host").empty())
      Out.set(http::field::host, Address);
    if (!KeepsConnection)
      Out.set(http::field::connection, "close");
  } catch (const std::logic_error &Thrown) {
    return Error{ErrorCode::InvalidInput,
                 std::string("the request cannot be sent: ") + Thrown.what()};
  }
  Out.body() = std::move(Request.m_Body);
  // Not prepare_payload(), which throws for a TRACE with a body: whether a
  // method may have one is for the server to decide.
  if (!Out.body().empty() || statesEmptyBody(Out.method()))
    Out.content_length(Out.body().size());
  return Out;
}

/// Time left until End, at least 1 ms.
std::chrono::milliseconds timeUntil(std::chrono::steady_clock::time_point End) {
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      End - std::chrono::steady_clock::now());
  return std::max(Left, std::chrono::milliseconds(1));
}

} // namespace

struct HttpClient::Impl : detail::ConnectionPool {};

namespace {

class Stream final : public HttpStream {
public:
  Stream(std::weak_ptr<HttpClient::Impl> Pool, PoolKey Key,
         std::unique_ptr<Connection> Conn, CallLimits Limits, bool IsToHead)
      : m_Pool(std::move(Pool)), m_Key(std::move(Key)),
        m_Connection(std::move(Conn)), m_Limits(Limits), m_IsToHead(IsToHead),
        m_IsFirst(!std::exchange(m_Connection->m_HasCarriedRequest, true)) {
    startParser();
  }

  /// Reads the head of the final response. The time limit covers the interim
  /// responses before it as well.
  asio::awaitable<boost::system::error_code> readHeader() {
    m_Headers = {};
    m_Connection->m_Deadline.expiresAfter(m_Limits.m_FirstByte);
    std::size_t InterimBytes = 0;
    while (true) {
      auto [Ec, Bytes] = co_await http::async_read_header(
          m_Connection->m_Socket, m_Connection->m_Buffer, *m_Parser,
          UseAwaitable);
      InterimBytes += Bytes;
      const bool IsTooLong =
          Ec == http::error::header_limit ||
          (!Ec && isInterim() && InterimBytes > MaxInterimBytes);
      if (IsTooLong) {
        countEndlessAnswer();
        co_return http::error::header_limit;
      }
      if (Ec)
        co_return Ec;
      if (isMalformed())
        co_return http::error::bad_status;
      if (!isInterim())
        break;
      startParser();
    }
    for (const auto &Field : m_Parser->get())
      m_Headers.add(std::string(Field.name_string()),
                    std::string(Field.value()));
    m_Connection->m_ServerKeepAlive =
        parseKeepAliveTimeout(m_Headers.find("Keep-Alive"));
    co_return boost::system::error_code{};
  }

  unsigned status() const override { return m_Parser->get().result_int(); }
  const HttpHeaders &headers() const override { return m_Headers; }
  BodyFraming framing() const override {
    return m_Parser->need_eof() ? BodyFraming::UntilClose
                                : BodyFraming::Delimited;
  }
  bool isFirstOnConnection() const override { return m_IsFirst; }

  asio::awaitable<Outcome<std::string>> read() override {
    const auto End = readEnd();
    while (m_Connection) {
      boost::system::error_code Fault;
      std::string Piece = consumeBuffered(Fault);
      if (Fault)
        co_return outcomeUnknown(m_Key.m_Address, Fault);
      if (!Piece.empty() && std::chrono::steady_clock::now() > End)
        co_return closeEndless("the body does not end in time");
      if (!Piece.empty())
        co_return Piece;
      if (m_Parser->is_done() && m_ExpectsNext)
        break;
      if (m_Parser->is_done()) {
        finish();
        if (framing() == BodyFraming::UntilClose)
          co_await confirmEnd();
        break;
      }
      Connection &From = *m_Connection;
      // Received bytes are read without waiting, so that the timer alone would
      // not end a body whose bytes keep arriving.
      const auto Now = std::chrono::steady_clock::now();
      if (Now >= End)
        co_return closeEndless("the body does not end in time");
      if (From.m_Buffer.size() > MaxFramingBytes)
        co_return closeEndless("the framing of the body does not end");
      From.m_Deadline.expiresAfter(End - Now);
      auto [Ec, Bytes] = co_await From.m_Socket.async_read_some(
          From.m_Buffer.prepare(From.m_ReadBytes), UseAwaitable);
      if (m_Cancelled)
        Ec = asio::error::operation_aborted;
      else if (Ec == asio::error::eof)
        m_Parser->put_eof(Ec);
      else if (From.m_Deadline.expired())
        Ec = beast::error::timeout;
      if (Ec)
        co_return outcomeUnknown(m_Key.m_Address, Ec);
      From.m_Buffer.commit(Bytes);
      if (Bytes == From.m_ReadBytes)
        From.m_ReadBytes = std::min(2 * Bytes, MaxReadBytes);
    }
    if (m_EndError)
      co_return *m_EndError;
    co_return std::string();
  }

  asio::awaitable<Outcome<bool>>
  discardRest(std::size_t MaxBytes, std::chrono::milliseconds Limit) override {
    const auto End = std::chrono::steady_clock::now() + Limit;
    std::size_t Discarded = 0;
    while (true) {
      if (std::chrono::steady_clock::now() >= End)
        co_return close("the body that is discarded does not end in time");
      setReadTimeout(timeUntil(End));
      const auto Piece = co_await read();
      if (!Piece)
        co_return Piece.error();
      if (Piece->empty())
        co_return true;
      Discarded += Piece->size();
      if (Discarded > MaxBytes)
        co_return closeEndless("the body that is discarded is too long");
    }
  }

  asio::awaitable<Outcome<bool>>
  readNext(std::chrono::milliseconds Limit) override {
    const auto End = std::chrono::steady_clock::now() + Limit;
    m_ExpectsNext = true;
    const auto Discarded = co_await discardRest(MaxSkippedBytes, Limit);
    m_ExpectsNext = false;
    if (!Discarded)
      co_return Discarded.error();
    m_BodyEnd.reset();
    if (!m_Connection || !m_Parser->get().keep_alive())
      co_return Error{ErrorCode::Timeout,
                      m_Key.m_Address + ": no other response can follow", true};
    startParser();
    m_Limits.m_FirstByte = timeUntil(End);
    const auto Ec = co_await readHeader();
    if (Ec)
      co_return outcomeUnknown(m_Key.m_Address, Ec);
    co_return true;
  }

  void setReadTimeout(std::chrono::milliseconds Limit) override {
    m_Limits.m_ReadTimeout = Limit;
  }

  void cancel() override {
    m_CheckCancel.cancel();
    if (!m_Connection)
      return;
    m_Cancelled = true;
    boost::system::error_code Ignored;
    m_Connection->m_Socket.shutdown(tcp::socket::shutdown_both, Ignored);
  }

private:
  /// Whether a final response follows this one.
  bool isInterim() const { return status() < FirstFinalStatus; }

  /// Whether the status is none in the protocol, or one that nothing has asked
  /// for.
  bool isMalformed() const {
    return status() < FirstInterimStatus || status() > LastFinalStatus ||
           status() == StatusSwitchingProtocols;
  }

  /// Deadline of a read that begins now: that of the read or, if earlier, that
  /// of the body, which starts with the first read.
  std::chrono::steady_clock::time_point readEnd() {
    const auto Now = std::chrono::steady_clock::now();
    if (m_Limits.m_BodyTimeout && !m_BodyEnd)
      m_BodyEnd = Now + *m_Limits.m_BodyTimeout;
    const auto End = Now + m_Limits.m_ReadTimeout;
    return m_BodyEnd ? std::min(*m_BodyEnd, End) : End;
  }

  void startParser() {
    m_Parser.emplace();
    m_Parser->header_limit(MaxHeadBytes);
    m_Parser->body_limit(boost::none);
    // A response to HEAD may announce a body, and has none.
    m_Parser->skip(m_IsToHead);
  }

  /// Closes the connection of a response that exceeds a bound. The reason
  /// becomes the end of the error's message.
  Error closeEndless(const char *Reason) {
    countEndlessAnswer();
    return close(Reason);
  }

  Error close(const char *Reason) {
    m_Connection.reset();
    m_EndError =
        Error{ErrorCode::Timeout, m_Key.m_Address + ": " + std::string(Reason)};
    return *m_EndError;
  }

  /// Parses all buffered bytes and returns the body data in them. Several
  /// chunks are merged into one piece.
  std::string consumeBuffered(boost::system::error_code &Fault) {
    beast::flat_buffer &Buffer = m_Connection->m_Buffer;
    std::string Piece(Buffer.size(), '\0');
    std::size_t Taken = 0;
    while (Buffer.size() > 0 && !m_Parser->is_done()) {
      m_Parser->get().body().data = Piece.data() + Taken;
      m_Parser->get().body().size = Piece.size() - Taken;
      Buffer.consume(m_Parser->put(Buffer.data(), Fault));
      Taken = Piece.size() - m_Parser->get().body().size;
      if (Fault)
        break;
    }
    if (Fault == http::error::need_more)
      Fault = {};
    Piece.resize(Taken);
    return Piece;
  }

  /// Tells the end of a body that ends with its connection from a crash, which
  /// ends the connections of the server's process as well.
  asio::awaitable<void> confirmEnd() {
    const auto Limit =
        std::min(m_Limits.m_ConnectTimeout, m_Limits.m_ReadTimeout);
    const auto Running =
        co_await detail::checkProcess(co_await asio::this_coro::executor,
                                      m_Key.m_Address, Limit, &m_CheckCancel);
    if (Running)
      co_return;
    metrics().counter("deckpitch_unconfirmed_ends_total").add();
    m_EndError = Error{ErrorCode::Timeout,
                       "the end of the body is not confirmed: " +
                           Running.error().m_Message,
                       Running.error().m_IsPeerEnd};
  }

  void finish() {
    if (m_Connection && m_Limits.m_KeepsConnection &&
        m_Parser->get().keep_alive())
      if (const auto Pool = m_Pool.lock())
        Pool->release(m_Key, std::move(m_Connection));
    m_Connection.reset();
  }

  /// A weak reference, since pooled connections must be destroyed before their
  /// event loops.
  std::weak_ptr<HttpClient::Impl> m_Pool;
  PoolKey m_Key;
  std::unique_ptr<Connection> m_Connection;
  CallLimits m_Limits;
  bool m_IsToHead;
  bool m_IsFirst;
  std::optional<http::response_parser<http::buffer_body>> m_Parser;
  HttpHeaders m_Headers;
  bool m_Cancelled = false;
  bool m_ExpectsNext = false; ///< keeps the connection for the next response
  /// Deadline of the body; set by its first read.
  std::optional<std::chrono::steady_clock::time_point> m_BodyEnd;
  CallCancel m_CheckCancel;
  std::optional<Error> m_EndError; ///< why the body may not be complete
};

} // namespace

HttpClient::HttpClient() : m_Impl(std::make_shared<Impl>()) {}
HttpClient::~HttpClient() = default;

asio::awaitable<Outcome<std::unique_ptr<HttpStream>>>
HttpClient::open(std::string Address, HttpRequest Request, CallLimits Limits,
                 CallCancel *Cancel) {
  const std::weak_ptr<Impl> Pool = m_Impl;
  auto Executor = co_await asio::this_coro::executor;
  const PoolKey Key{&Executor.context(), Address};
  const bool IsToHead = Request.m_Method == "HEAD";
  const bool MayRetry = Request.m_Method == "GET" && Limits.m_RetriesGet;
  auto Written =
      makeMessage(std::move(Request), Address, Limits.m_KeepsConnection);
  if (!Written)
    co_return Written.error();
  Message &Sending = *Written;
  bool Sent = false;
  while (!Cancel || !Cancel->cancelled()) {
    std::unique_ptr<Connection> Conn;
    const bool MayReuse = Limits.m_MaxIdle > std::chrono::milliseconds::zero();
    if (const auto LivePool = MayReuse ? Pool.lock() : nullptr)
      Conn = LivePool->acquire(Key, Limits.m_MaxIdle);
    const bool IsReused = Conn != nullptr;
    if (!IsReused) {
      auto NewConn =
          co_await connect(Executor, Address, Limits.m_ConnectTimeout, Cancel);
      // An earlier attempt on a pooled connection may have been processed.
      if (!NewConn && Sent)
        co_return Error{ErrorCode::Timeout, NewConn.error().m_Message};
      if (!NewConn)
        co_return NewConn.error();
      Conn = std::move(*NewConn);
    }
    const AbortOnCancel Abort(Cancel, *Conn);
    Sent = true;
    Conn->m_Deadline.expiresAfter(Limits.m_FirstByte);
    auto [Ec, Bytes] =
        co_await http::async_write(Conn->m_Socket, Sending, UseAwaitable);
    auto Answer =
        std::make_unique<Stream>(Pool, Key, std::move(Conn), Limits, IsToHead);
    if (!Ec)
      Ec = co_await Answer->readHeader();
    if (!Ec)
      co_return std::unique_ptr<HttpStream>(std::move(Answer));
    const bool Closed =
        Ec == http::error::end_of_stream || Ec == asio::error::connection_reset;
    if (!(IsReused && MayRetry && Closed))
      co_return outcomeUnknown(Address, Ec);
  }
  co_return Error{Sent ? ErrorCode::Timeout : ErrorCode::Unavailable,
                  Address + ": cancelled"};
}

asio::awaitable<Outcome<HttpResponse>>
HttpClient::call(std::string Address, HttpRequest Request, CallLimits Limits) {
  Limits.m_BodyTimeout = Limits.m_BodyTimeout.value_or(MaxBodyTime);
  auto Opened = co_await open(std::move(Address), std::move(Request), Limits);
  if (!Opened)
    co_return Opened.error();
  HttpStream &Body = **Opened;
  HttpResponse Response;
  Response.m_Status = Body.status();
  Response.m_Headers = Body.headers();
  while (true) {
    auto Piece = co_await Body.read();
    if (!Piece)
      co_return Piece.error();
    if (Piece->empty())
      co_return Response;
    if (Response.m_Body.size() + Piece->size() > Limits.m_BodyBytes) {
      countEndlessAnswer();
      co_return Error{ErrorCode::Timeout,
                      "the answer is larger than the limit"};
    }
    Response.m_Body += *Piece;
  }
}

Outcome<HttpResponse> callAndWait(const std::string &Address,
                                  HttpRequest Request, CallLimits Limits) {
  asio::io_context Io;
  HttpClient Client;
  Outcome<HttpResponse> Answer =
      Error{ErrorCode::Unavailable, "the call did not end"};
  asio::co_spawn(
      Io,
      [&]() -> asio::awaitable<void> {
        Answer = co_await Client.call(Address, std::move(Request), Limits);
      },
      asio::detached);
  Io.run();
  return Answer;
}

} // namespace deckpitch::net
