#include "net/address.h"
#include "net/dead-peer.h"
#include "net/http.h"
#include "net/listen.h"
#include "net/server-connection.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <atomic>
#include <charconv>
#include <mutex>
#include <unordered_map>

namespace deckpitch::net {

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using detail::ReceivedRequest;
using Connection = detail::ServerConnection;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view InterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::chrono::seconds ProbeInterval{1};
constexpr unsigned StatusUnavailable = 503;
/// What is still read after a refusal, so that the client receives it: closing
/// a socket with unread data sends a reset, which may overtake the answer.
constexpr std::chrono::seconds DiscardTime{1};
/// In which a refusal is written, or the client does not read.
constexpr std::chrono::seconds RefusalTime{1};
constexpr std::size_t DiscardBytes = std::size_t{1024} * 1024;

void setHeaders(http::fields &Fields, const HttpHeaders &Headers) {
  for (const HttpHeader &Header : Headers.m_List)
    Fields.insert(Header.m_Name, Header.m_Value);
}

/// Whether responses with the status never have a body.
bool hasNoBody(unsigned Status) {
  constexpr unsigned NoContent = 204;
  constexpr unsigned NotModified = 304;
  return Status == NoContent || Status == NotModified;
}

class Responder final : public HttpResponder {
public:
  /// IsClosing: whether the server closes connections after their answers;
  /// null: it does.
  Responder(Connection &Conn, std::chrono::milliseconds WriteTimeout,
            bool KeepAlive, bool IsHttp11 = false, bool IsToHead = false,
            const std::atomic<bool> *IsClosing = nullptr)
      : m_Conn(Conn), m_WriteTimeout(WriteTimeout), m_KeepAlive(KeepAlive),
        m_IsHttp11(IsHttp11), m_IsToHead(IsToHead), m_IsClosing(IsClosing) {}

  asio::awaitable<bool> send(HttpResponse Response) override {
    if (m_Started || m_Failed)
      co_return false;
    m_Started = true;
    decideKeepAlive();
    http::response<http::string_body> Message;
    Message.version(11);
    Message.result(Response.m_Status);
    setHeaders(Message.base(), Response.m_Headers);
    Message.body() = std::move(Response.m_Body);
    Message.keep_alive(m_KeepAlive);
    if (hasNoBody(Response.m_Status))
      Message.body().clear();
    else if (!m_IsToHead || !Message.body().empty())
      Message.prepare_payload();
    m_Conn.m_Deadline.expiresAfter(m_WriteTimeout);
    http::response_serializer<http::string_body> Serializer(Message);
    boost::system::error_code Ec;
    if (m_IsToHead)
      std::tie(Ec, std::ignore) = co_await http::async_write_header(
          m_Conn.m_Socket, Serializer, UseAwaitable);
    else
      std::tie(Ec, std::ignore) =
          co_await http::async_write(m_Conn.m_Socket, Serializer, UseAwaitable);
    m_Conn.m_Deadline.pause();
    m_Failed = static_cast<bool>(Ec);
    m_Ended = !Ec;
    co_return !Ec;
  }

  asio::awaitable<bool> begin(unsigned Status, HttpHeaders Headers) override {
    if (m_Started || m_Failed)
      co_return false;
    m_Started = true;
    decideKeepAlive();
    http::response<http::empty_body> Message;
    Message.version(11);
    Message.result(Status);
    setHeaders(Message.base(), Headers);
    m_HasNoBody = m_IsToHead || hasNoBody(Status);
    // HTTP/1.0 has no chunks: the end of the connection ends the body.
    m_KeepAlive = m_KeepAlive && m_IsHttp11;
    Message.keep_alive(m_KeepAlive);
    Message.chunked(m_IsHttp11 && !hasNoBody(Status));
    http::response_serializer<http::empty_body> Serializer(Message);
    m_Conn.m_Deadline.expiresAfter(m_WriteTimeout);
    auto [Ec, Bytes] = co_await http::async_write_header(
        m_Conn.m_Socket, Serializer, UseAwaitable);
    m_Conn.m_Deadline.pause();
    m_Failed = static_cast<bool>(Ec);
    co_return !Ec;
  }

  asio::awaitable<bool> write(std::string_view Data) override {
    if (!m_Started || m_Ended || m_Failed)
      co_return false;
    if (Data.empty() || m_HasNoBody)
      co_return true;
    if (!m_IsHttp11)
      co_return co_await sendAll(Data);
    m_Frame.clear();
    std::array<char, 16> Size;
    const auto End =
        std::to_chars(Size.data(), Size.data() + Size.size(), Data.size(), 16);
    m_Frame.append(Size.data(), End.ptr).append("\r\n");
    m_Frame.append(Data).append("\r\n");
    co_return co_await sendAll(m_Frame);
  }

  asio::awaitable<bool> end() override {
    if (!m_Started || m_Ended || m_Failed)
      co_return false;
    bool IsSent = true;
    if (m_IsHttp11 && !m_HasNoBody)
      IsSent = co_await sendAll("0\r\n\r\n");
    m_Ended = IsSent;
    co_return IsSent;
  }

  void abort() override {
    m_Failed = true;
    beast::error_code Ignored;
    if (m_IsHttp11)
      m_Conn.m_Socket.shutdown(tcp::socket::shutdown_both, Ignored);
    else
      reset();
  }

  bool started() const override { return m_Started; }
  bool reserve(std::size_t Bytes) override {
    return m_Conn.holdBuffered(Bytes);
  }
  void onDisconnect(std::function<void()> Callback) override {
    m_OnDisconnect = std::move(Callback);
  }

  /// Sends an interim response to check whether the client is still there.
  /// Returns false if there is no need for further probes.
  bool probe() {
    if (m_Started || m_Failed || !m_IsHttp11)
      return false;
    boost::system::error_code Ec;
    const std::size_t Sent = m_Conn.m_Socket.write_some(
        asio::buffer(InterimResponse.data(), InterimResponse.size()), Ec);
    if (Sent == InterimResponse.size() || Ec == asio::error::would_block)
      return true;
    handleDisconnect();
    return false;
  }

  void handleDisconnect() {
    if (m_Ended || m_Failed)
      return;
    m_Failed = true;
    if (auto Callback = std::exchange(m_OnDisconnect, nullptr))
      Callback();
  }
  /// Whether the connection can serve another request.
  bool keepsConnection() const { return m_Ended && !m_Failed && m_KeepAlive; }

private:
  /// Decided with the answer's head, which tells the client. A request that has
  /// arrived by then is still answered on the connection.
  void decideKeepAlive() {
    const bool IsClosing = !m_IsClosing || *m_IsClosing;
    m_KeepAlive = m_KeepAlive && (!IsClosing || m_Conn.hasMore());
  }

  /// Closes the connection with a reset: a client that knows no chunks would
  /// take another end for that of the response.
  void reset() {
    beast::error_code Ignored;
    m_Conn.m_Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    m_Conn.m_Socket.close(Ignored);
  }

  /// Writes without waiting as much as the socket accepts, and waits only for
  /// the remainder.
  asio::awaitable<bool> sendAll(std::string_view Bytes) {
    boost::system::error_code Ec;
    const std::size_t Taken = m_Conn.m_Socket.write_some(
        asio::buffer(Bytes.data(), Bytes.size()), Ec);
    if (Ec == asio::error::would_block)
      Ec = {};
    if (!Ec && Taken < Bytes.size()) {
      m_Conn.m_Deadline.expiresAfter(m_WriteTimeout);
      std::tie(Ec, std::ignore) = co_await asio::async_write(
          m_Conn.m_Socket,
          asio::buffer(Bytes.data() + Taken, Bytes.size() - Taken),
          UseAwaitable);
      m_Conn.m_Deadline.pause();
    }
    m_Failed = static_cast<bool>(Ec);
    co_return !Ec;
  }

  Connection &m_Conn;
  std::string m_Frame; ///< reused, to avoid an allocation for each chunk
  std::chrono::milliseconds m_WriteTimeout;
  bool m_KeepAlive;
  bool m_IsHttp11;
  bool m_IsToHead;
  const std::atomic<bool> *m_IsClosing;
  bool m_HasNoBody = false; ///< of a response that was begun
  bool m_Started = false;
  bool m_Ended = false;
  bool m_Failed = false;
  std::function<void()> m_OnDisconnect;
};

} // namespace

namespace {

/// A request from its first bytes until its answer has ended, however it ends.
class OpenRequest {
public:
  OpenRequest(std::atomic<std::size_t> &Count, Connection &Conn)
      : m_Count(Count), m_Conn(Conn) {
    m_Conn.m_IsBusy = true;
    m_Count.fetch_add(1);
  }
  ~OpenRequest() {
    m_Count.fetch_sub(1);
    m_Conn.m_IsBusy = false;
  }
  OpenRequest(const OpenRequest &) = delete;
  OpenRequest &operator=(const OpenRequest &) = delete;

private:
  std::atomic<std::size_t> &m_Count;
  Connection &m_Conn;
};

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(IoThreads &Threads, HttpHandler Handler, HttpLimits Limits,
       HttpAdmission Admission)
      : m_Threads(Threads), m_Acceptor(Threads.control()),
        m_Handler(std::move(Handler)), m_Limits(Limits),
        m_Admission(std::move(Admission)) {
    if (!m_Admission.m_Clients)
      m_Admission.m_Clients = std::make_shared<Clients>(unlimitedClients());
  }

  asio::awaitable<void> acceptLoop() {
    auto Self = shared_from_this();
    while (m_Acceptor.is_open()) {
      auto [Ec, Socket] = co_await m_Acceptor.async_accept(
          m_Threads.nextWorker(), UseAwaitable);
      if (Ec == asio::error::operation_aborted ||
          Ec == asio::error::bad_descriptor)
        co_return;
      if (Ec) {
        asio::steady_timer Pause(co_await asio::this_coro::executor,
                                 std::chrono::milliseconds(50));
        co_await Pause.async_wait(UseAwaitable);
        continue;
      }
      begin(std::move(Socket));
    }
  }

  /// Serves a connection that was accepted.
  void begin(tcp::socket Socket) {
    boost::system::error_code Ec;
    Socket.set_option(tcp::no_delay(true), Ec);
    enableDeadPeerDetection(Socket);
    Socket.non_blocking(true, Ec);
    auto NewConn = std::make_shared<Connection>(std::move(Socket));
    if (!add(NewConn))
      return;
    asio::co_spawn(NewConn->m_Socket.get_executor(), serve(NewConn),
                   [Self = shared_from_this(), NewConn](std::exception_ptr) {
                     // Pending operations hold a reference to the connection
                     // and would keep its socket open.
                     boost::system::error_code Ignored;
                     NewConn->m_Socket.close(Ignored);
                     std::lock_guard Lock(Self->m_Mutex);
                     Self->m_Connections.erase(NewConn.get());
                   });
  }

  /// Serves the connections that wait to be accepted, and closes the port.
  void endAccepting() {
    boost::system::error_code Ec;
    m_Acceptor.non_blocking(true, Ec);
    while (!Ec && m_Acceptor.is_open()) {
      tcp::socket Socket = m_Acceptor.accept(m_Threads.nextWorker(), Ec);
      if (!Ec)
        begin(std::move(Socket));
    }
    m_Acceptor.close(Ec);
  }

  /// Closes connections without a request, but for those on which one has
  /// arrived.
  void closeIdle() {
    m_Draining = true;
    forEachConnection([](Connection &Conn) {
      boost::system::error_code Ignored;
      if (!Conn.m_IsBusy && !Conn.hasMore())
        Conn.m_Socket.cancel(Ignored);
    });
  }

  /// Applies the function to each connection on its own event loop.
  template <typename Function> void forEachConnection(Function Apply) {
    std::lock_guard Lock(m_Mutex);
    for (auto &[Key, Each] : m_Connections)
      if (const auto Open = Each.lock())
        asio::post(Open->m_Socket.get_executor(),
                   [Open, Apply] { Apply(*Open); });
  }

  bool add(const std::shared_ptr<Connection> &NewConn) {
    // One that was accepted just before the port was closed is still served.
    if (m_Stopped || !admit(NewConn))
      return false;
    NewConn->m_IsStopping = m_RefusesUnread;
    std::lock_guard Lock(m_Mutex);
    m_Connections.emplace(NewConn.get(), NewConn);
    return true;
  }

  bool admit(const std::shared_ptr<Connection> &NewConn) {
    boost::system::error_code Ec;
    const auto Remote = NewConn->m_Socket.remote_endpoint(Ec);
    if (Ec)
      return false; // The client has gone.
    const std::weak_ptr<Connection> Weak = NewConn;
    auto Session = m_Admission.m_Clients->open(
        m_Admission.m_Listener, formatEndpoint(Remote), [Weak] {
          if (const auto Conn = Weak.lock())
            asio::post(Conn->m_Socket.get_executor(),
                       [Conn] { Conn->evict(); });
        });
    if (!Session)
      return false;
    NewConn->m_Session.emplace(std::move(*Session));
    return true;
  }

  static std::string errorJson(const detail::ReceiveError &Why) {
    return "{\"error\":\"" + Why.m_Message + "\"}";
  }

  static HttpResponse responseTo(const detail::ReceiveError &Why) {
    if (Why.m_Reason == ClientRefusal::Stopping)
      return stoppingResponse();
    return Why.m_Status == StatusUnavailable
               ? noRoomResponse()
               : jsonResponse(Why.m_Status, errorJson(Why));
  }

  asio::awaitable<void> refuse(Connection &Conn, detail::ReceiveError Why) {
    // What was received is not kept while the client is told.
    Conn.m_Buffer = {};
    Conn.m_Session->hold(0);
    Conn.m_Session->enter(ClientPhase::Closing);
    if (Why.m_Status == 0)
      co_return;
    const bool IsEvicted = Why.m_Reason == ClientRefusal::Evicted;
    if (!IsEvicted) // Noted at the end of the connection.
      Conn.m_Session->noteRefusal(Why.m_Reason);
    HttpResponse Response = responseTo(Why);
    Responder Answer(Conn, RefusalTime, false);
    co_await Answer.send(std::move(Response));
    // One that was evicted has stalled: nothing more is on its way, and its
    // descriptor is counted no longer.
    if (!IsEvicted)
      co_await discardIncoming(Conn);
  }

  /// Reads on for a while, so that the client receives the last answer.
  static asio::awaitable<void> discardIncoming(Connection &Conn) {
    beast::error_code Ignored;
    Conn.m_Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    std::array<char, 4096> Sink;
    Conn.m_Deadline.expiresAfter(DiscardTime);
    for (std::size_t Read = 0; Read < DiscardBytes;) {
      auto [Ec, Bytes] = co_await Conn.m_Socket.async_read_some(
          asio::buffer(Sink), UseAwaitable);
      if (Ec)
        break;
      Read += Bytes;
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<Connection> Conn) {
    auto Self = shared_from_this();
    while (co_await serveNext(Conn))
      ;
    beast::error_code Ignored;
    Conn->m_Socket.shutdown(tcp::socket::shutdown_send, Ignored);
    if (Conn->m_IsEvicted)
      Conn->m_Session->noteRefusal(ClientRefusal::Evicted);
    else if (m_ClosesAfterAnswers) {
      Conn->m_Session->enter(ClientPhase::Closing);
      co_await discardIncoming(*Conn);
    }
  }

  /// Serves one request. Returns true if the connection can serve another.
  asio::awaitable<bool> serveNext(const std::shared_ptr<Connection> &Conn) {
    if (!co_await detail::waitForRequest(*Conn, m_Limits.m_IdleTimeout))
      co_return false;
    // Those in force when the request begins: they may have changed meanwhile.
    const HttpLimits Limits = m_Limits;
    const OpenRequest Open(m_OpenRequests, *Conn);
    Conn->m_Session->enter(ClientPhase::Receiving);
    Conn->m_IsReceiving = true;
    auto Received = co_await detail::receiveRequest(*Conn, Limits,
                                                    m_Admission.m_AcceptsBody);
    Conn->m_IsReceiving = false;
    Conn->m_Deadline.pause();
    bool CanReuse = false;
    if (Received.m_Error)
      co_await refuse(*Conn, std::move(*Received.m_Error));
    else
      CanReuse = co_await answer(Conn, std::move(Received));
    co_return CanReuse && (!m_Draining || Conn->hasMore()) &&
        !Conn->m_IsEvicted;
  }

  /// Handles one request. Returns true if the connection can serve another.
  asio::awaitable<bool> answer(std::shared_ptr<Connection> Conn,
                               ReceivedRequest Received) {
    const bool IsBodyRead = Received.m_Request.m_IsBodyRead;
    auto Answer = std::make_shared<Responder>(
        *Conn, m_Limits.m_WriteTimeout, Received.m_KeepAlive,
        Received.m_IsHttp11, Received.m_Request.m_Method == "HEAD",
        &m_ClosesAfterAnswers);
    Conn->m_IsAnswering = true;
    Conn->m_Session->enter(ClientPhase::Answering);
    watchForClose(Conn, Answer, Conn->m_Buffer);
    co_await handle(std::move(Received.m_Request), *Answer);
    Conn->m_IsAnswering = false;
    Conn->holdBuffered(0);
    Conn->m_Session->enter(IsBodyRead ? ClientPhase::Idle
                                      : ClientPhase::Closing);
    if (!IsBodyRead)
      co_await discardIncoming(*Conn);
    co_return Answer->keepsConnection();
  }

  asio::awaitable<void> handle(HttpRequest Request, Responder &Answer) {
    bool Threw = false;
    try {
      co_await m_Handler(std::move(Request), Answer);
    } catch (const std::exception &) {
      Threw = true;
    }
    if (Threw && !Answer.started())
      co_await Answer.send(jsonResponse(500, R"({"error":"internal error"})"));
    else if (!Answer.started())
      co_await Answer.send(
          jsonResponse(500, R"({"error":"no answer was given"})"));
  }

  /// Detects a client that disconnects while its request is being handled.
  void watchForClose(const std::shared_ptr<Connection> &Conn,
                     const std::shared_ptr<Responder> &Answer,
                     beast::flat_buffer &Buffer) {
    if (Buffer.size() != 0)
      return;
    std::weak_ptr<Responder> Weak = Answer;
    Conn->m_Socket.async_wait(
        tcp::socket::wait_read, [Self = shared_from_this(), Conn,
                                 Weak](const boost::system::error_code &Ec) {
          const auto Watched = Weak.lock();
          if (!Watched || Ec)
            return;
          char Byte = 0;
          boost::system::error_code Peek;
          const std::size_t Got = Conn->m_Socket.receive(
              asio::buffer(&Byte, 1), tcp::socket::message_peek, Peek);
          if (Peek == asio::error::would_block || Got > 0)
            return;
          const bool IsDisconnected = Peek && Peek != asio::error::eof;
          if (IsDisconnected || Self->m_Limits.m_HalfCloseIsDisconnect)
            return Watched->handleDisconnect();
          asio::co_spawn(Conn->m_Socket.get_executor(),
                         probeHalfClosed(Conn, Weak), asio::detached);
        });
  }

  /// Probes a client that closed its sending side, which may still be reading.
  /// A client must ignore interim responses; one that has closed its socket
  /// replies to them with a reset.
  static asio::awaitable<void> probeHalfClosed(std::shared_ptr<Connection> Conn,
                                               std::weak_ptr<Responder> Weak) {
    Conn->m_Socket.async_wait(
        tcp::socket::wait_error,
        [Conn, Weak](const boost::system::error_code &Ec) {
          const auto Watched = Weak.lock();
          if (Watched && !Ec)
            Watched->handleDisconnect();
        });
    asio::steady_timer Pause(Conn->m_Socket.get_executor());
    while (true) {
      {
        const auto Watched = Weak.lock();
        if (!Watched || !Watched->probe())
          co_return;
      }
      Pause.expires_after(ProbeInterval);
      co_await Pause.async_wait(UseAwaitable);
    }
  }

  IoThreads &m_Threads;
  tcp::acceptor m_Acceptor;
  HttpHandler m_Handler;
  HttpLimits m_Limits;
  HttpAdmission m_Admission;
  std::mutex m_Mutex;
  /// Each connection is owned by its serve() coroutine, so that it is destroyed
  /// with its own event loop.
  std::unordered_map<Connection *, std::weak_ptr<Connection>> m_Connections;
  std::atomic<bool> m_Draining{false}; ///< closes idle connections
  std::atomic<bool> m_Stopped{false};
  std::atomic<bool> m_ClosesAfterAnswers{false};
  std::atomic<bool> m_RefusesUnread{false};
  std::atomic<std::size_t> m_OpenRequests{0};
};

HttpServer::HttpServer(IoThreads &Threads, HttpHandler Handler,
                       HttpLimits Limits, HttpAdmission Admission)
    : m_Impl(std::make_shared<Impl>(Threads, std::move(Handler), Limits,
                                    std::move(Admission))) {}

HttpServer::~HttpServer() { stop(); }

Result<std::string> HttpServer::listen(const std::string &Address) {
  tcp::acceptor &Acceptor = m_Impl->m_Acceptor;
  const bool WasOpen = Acceptor.is_open();
  BOOST_LEAF_AUTO(Bound, openAcceptor(Acceptor, Address));
  if (!WasOpen)
    asio::co_spawn(Acceptor.get_executor(), m_Impl->acceptLoop(),
                   asio::detached);
  return Bound;
}

void HttpServer::setLimits(HttpLimits Limits) {
  asio::post(m_Impl->m_Acceptor.get_executor(),
             [Impl = m_Impl, Limits] { Impl->m_Limits = Limits; });
}

void HttpServer::closeAfterAnswers() { m_Impl->m_ClosesAfterAnswers = true; }

void HttpServer::refuseUnread() {
  m_Impl->m_RefusesUnread = true;
  m_Impl->forEachConnection([](Connection &Conn) { Conn.refuseUnread(); });
}

void HttpServer::drain() {
  m_Impl->m_ClosesAfterAnswers = true;
  asio::post(m_Impl->m_Acceptor.get_executor(), [Impl = m_Impl] {
    Impl->endAccepting();
    Impl->closeIdle();
  });
}

void HttpServer::stop() {
  m_Impl->m_Draining = true;
  m_Impl->m_Stopped = true;
  asio::post(m_Impl->m_Acceptor.get_executor(), [Impl = m_Impl] {
    boost::system::error_code Ignored;
    Impl->m_Acceptor.close(Ignored);
  });
  m_Impl->forEachConnection([](Connection &Conn) {
    boost::system::error_code Ignored;
    Conn.m_Socket.close(Ignored);
  });
}

std::size_t HttpServer::openRequests() const {
  return m_Impl->m_OpenRequests.load();
}

} // namespace deckpitch::net
