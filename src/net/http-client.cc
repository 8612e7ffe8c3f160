#include "net/address.h"
#include "net/http.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <mutex>

namespace deckpitch::net {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t MaxIdlePerAddress = 256;
constexpr std::size_t ReadPieceBytes = std::size_t{64} * 1024;

struct Connection {
  explicit Connection(asio::any_io_executor Executor)
      : m_Stream(std::move(Executor)) {}
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
  /// Where pieces of bodies are parsed into; kept, since making and zeroing
  /// one for each piece costs more than the piece.
  std::unique_ptr<char[]> m_Piece;

  /// False when the server closed the connection or sent something unasked.
  bool usable() {
    if (m_Buffer.size() != 0)
      return false;
    char Byte = 0;
    boost::system::error_code Ec;
    m_Stream.socket().non_blocking(true, Ec);
    m_Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                              Ec);
    return Ec == asio::error::would_block;
  }
};

/// Kept connections belong to one loop and one server.
struct PoolKey {
  asio::execution_context *m_Loop;
  std::string m_Address;
  friend auto operator<=>(const PoolKey &, const PoolKey &) = default;
};

Error unavailable(const std::string &Address,
                  const boost::system::error_code &Ec) {
  return Error{ErrorCode::Unavailable, Address + ": " + Ec.message()};
}

Error unanswered(const std::string &Address,
                 const boost::system::error_code &Ec) {
  return Error{ErrorCode::Timeout, Address + ": " + Ec.message()};
}

} // namespace

struct HttpClient::Impl {
  std::unique_ptr<Connection> takeIdle(const PoolKey &Key) {
    std::lock_guard Lock(m_Mutex);
    auto &Idle = m_Idle[Key];
    while (!Idle.empty()) {
      auto Taken = std::move(Idle.back());
      Idle.pop_back();
      if (Taken->usable())
        return Taken;
    }
    return nullptr;
  }

  void giveBack(const PoolKey &Key, std::unique_ptr<Connection> Returned) {
    Returned->m_Stream.expires_never();
    std::lock_guard Lock(m_Mutex);
    auto &Idle = m_Idle[Key];
    if (Idle.size() < MaxIdlePerAddress)
      Idle.push_back(std::move(Returned));
  }

  std::mutex m_Mutex;
  std::map<PoolKey, std::vector<std::unique_ptr<Connection>>> m_Idle;
};

namespace {

class Stream final : public HttpStream {
public:
  Stream(std::weak_ptr<HttpClient::Impl> Pool, PoolKey Key,
         std::unique_ptr<Connection> Used, CallLimits Limits)
      : m_Pool(std::move(Pool)), m_Key(std::move(Key)),
        m_Connection(std::move(Used)), m_Limits(Limits) {
    m_Parser.body_limit(boost::none);
  }

  asio::awaitable<boost::system::error_code> readHeader() {
    m_Connection->m_Stream.expires_after(m_Limits.m_FirstByte);
    auto [Ec, Bytes] = co_await http::async_read_header(
        m_Connection->m_Stream, m_Connection->m_Buffer, m_Parser, UseAwaitable);
    if (Ec)
      co_return Ec;
    for (const auto &Field : m_Parser.get())
      m_Headers.add(std::string(Field.name_string()),
                    std::string(Field.value()));
    co_return boost::system::error_code{};
  }

  unsigned status() const override { return m_Parser.get().result_int(); }
  const HttpHeaders &headers() const override { return m_Headers; }

  asio::awaitable<Outcome<std::string>> read() override {
    while (true) {
      if (m_Parser.is_done()) {
        finish();
        co_return std::string();
      }
      if (!m_Connection->m_Piece)
        m_Connection->m_Piece =
            std::make_unique_for_overwrite<char[]>(ReadPieceBytes);
      m_Parser.get().body().data = m_Connection->m_Piece.get();
      m_Parser.get().body().size = ReadPieceBytes;
      m_Connection->m_Stream.expires_after(m_Limits.m_BetweenBytes);
      auto [Ec, Bytes] = co_await http::async_read_some(m_Connection->m_Stream,
                                                        m_Connection->m_Buffer,
                                                        m_Parser, UseAwaitable);
      if (Ec && Ec != http::error::need_buffer)
        co_return unanswered(m_Key.m_Address, Ec);
      const std::size_t Read = ReadPieceBytes - m_Parser.get().body().size;
      if (Read > 0)
        co_return std::string(m_Connection->m_Piece.get(), Read);
    }
  }

  void cancel() override {
    if (!m_Connection)
      return;
    boost::system::error_code Ignored;
    m_Connection->m_Stream.socket().shutdown(tcp::socket::shutdown_both,
                                             Ignored);
  }

private:
  void finish() {
    if (m_Connection && m_Parser.get().keep_alive())
      if (const auto Pool = m_Pool.lock())
        Pool->giveBack(m_Key, std::move(m_Connection));
    m_Connection.reset();
  }

  /// Not an owner: kept connections must end before their loops do.
  std::weak_ptr<HttpClient::Impl> m_Pool;
  PoolKey m_Key;
  std::unique_ptr<Connection> m_Connection;
  CallLimits m_Limits;
  http::response_parser<http::buffer_body> m_Parser;
  HttpHeaders m_Headers;
};

asio::awaitable<Outcome<std::unique_ptr<Connection>>>
connect(asio::any_io_executor Executor, const std::string &Address,
        std::chrono::milliseconds Limit) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint)
    co_return Error{ErrorCode::InvalidInput,
                    "'" + Address + "' is not ip:port"};
  auto Fresh = std::make_unique<Connection>(std::move(Executor));
  Fresh->m_Stream.expires_after(Limit);
  auto [Ec] = co_await Fresh->m_Stream.async_connect(*Endpoint, UseAwaitable);
  if (Ec)
    co_return unavailable(Address, Ec);
  Fresh->m_Stream.socket().set_option(tcp::no_delay(true), Ec);
  co_return std::move(Fresh);
}

} // namespace

HttpClient::HttpClient() : m_Impl(std::make_shared<Impl>()) {}
HttpClient::~HttpClient() = default;

asio::awaitable<Outcome<std::unique_ptr<HttpStream>>>
HttpClient::open(std::string Address, HttpRequest Request, CallLimits Limits) {
  const std::weak_ptr<Impl> Pool = m_Impl;
  auto Executor = co_await asio::this_coro::executor;
  const PoolKey Key{&Executor.context(), Address};
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.m_Method);
  Message.target(Request.m_Target);
  Message.set(http::field::host, Address);
  for (const HttpHeader &Header : Request.m_Headers.m_List)
    Message.set(Header.m_Name, Header.m_Value);
  Message.body() = std::move(Request.m_Body);
  Message.prepare_payload();
  const bool MayRepeat = Request.m_Method == "GET";
  while (true) {
    std::unique_ptr<Connection> Used;
    if (const auto Kept = Pool.lock())
      Used = Kept->takeIdle(Key);
    const bool Kept = Used != nullptr;
    if (!Kept) {
      auto Fresh = co_await connect(Executor, Address, Limits.m_Connect);
      if (!Fresh)
        co_return Fresh.error();
      Used = std::move(*Fresh);
    }
    Used->m_Stream.expires_after(Limits.m_FirstByte);
    auto [Ec, Bytes] =
        co_await http::async_write(Used->m_Stream, Message, UseAwaitable);
    auto Answer = std::make_unique<Stream>(Pool, Key, std::move(Used), Limits);
    if (!Ec)
      Ec = co_await Answer->readHeader();
    if (!Ec)
      co_return std::unique_ptr<HttpStream>(std::move(Answer));
    const bool Closed =
        Ec == http::error::end_of_stream || Ec == asio::error::connection_reset;
    if (!(Kept && MayRepeat && Closed))
      co_return unanswered(Address, Ec);
  }
}

asio::awaitable<Outcome<HttpResponse>>
HttpClient::call(std::string Address, HttpRequest Request, CallLimits Limits) {
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
    if (Response.m_Body.size() + Piece->size() > Limits.m_BodyBytes)
      co_return Error{ErrorCode::InvalidInput,
                      "the answer is larger than the limit"};
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
