// Coroutine-based HTTP/1.1 server and client. Boost.Beast is included only by
// the .cc files.
#pragma once

#include "deckpitch/error.h"
#include "net/clients.h"
#include "net/io-threads.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace deckpitch::net {

namespace asio = boost::asio;

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

/// HTTP headers in their original order. Names are case-insensitive.
struct HttpHeaders {
  std::vector<HttpHeader> m_List;

  /// Returns the value of the first header of that name, or an empty view.
  std::string_view find(std::string_view Name) const;
  void add(std::string Name, std::string Value) {
    m_List.push_back({std::move(Name), std::move(Value)});
  }
};

struct HttpRequest {
  std::string m_Method = "GET";
  std::string m_Target = "/";
  HttpHeaders m_Headers;
  std::string m_Body;
  /// False if the server did not read the body, see HttpAdmission. Such a
  /// request must be answered without being run.
  bool m_IsBodyRead = true;

  /// Returns the target without its query string.
  std::string_view path() const;
  /// Returns the percent-decoded value of a query parameter, or an empty
  /// string.
  std::string query(std::string_view Name) const;
};

struct HttpResponse {
  unsigned m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
};

HttpResponse jsonResponse(unsigned Status, std::string Json);
/// The answer to a request for which there is no memory, see
/// HttpResponder::reserve().
HttpResponse noRoomResponse();
/// The answer to a request that was not received before the end of the process.
HttpResponse stoppingResponse();

/// Writes the response to one request. Once the client has disconnected, every
/// call returns false or has no effect.
class HttpResponder {
public:
  virtual ~HttpResponder() = default;
  /// Sends a complete response.
  virtual asio::awaitable<bool> send(HttpResponse Response) = 0;
  /// Starts a chunked response, which is continued with write() and finished
  /// with end(). A client of HTTP/1.0 gets no chunks: the end of the connection
  /// is the end of its response.
  virtual asio::awaitable<bool> begin(unsigned Status, HttpHeaders Headers) = 0;
  virtual asio::awaitable<bool> write(std::string_view Data) = 0;
  virtual asio::awaitable<bool> end() = 0;
  /// Shuts the connection down, so that the client detects an incomplete
  /// response; with a reset if the client knows no chunks.
  virtual void abort() = 0;
  virtual bool started() const = 0;
  /// Charges the client for an answer of that size until the request has ended.
  /// False if there is no memory for it: the handler answers with less.
  virtual bool reserve(std::size_t Bytes) = 0;
  /// Sets the callback that is invoked, at most once, if the client disconnects
  /// before the end of the response.
  virtual void onDisconnect(std::function<void()> Callback) = 0;
};

using HttpHandler =
    std::function<asio::awaitable<void>(HttpRequest, HttpResponder &)>;

struct HttpLimits {
  std::size_t m_HeaderBytes = std::size_t{16} * 1024;
  std::size_t m_BodyBytes = std::size_t{4} * 1024 * 1024;
  std::chrono::milliseconds m_HeaderTimeout{
      10'000}; ///< to receive a complete request
  std::chrono::milliseconds m_IdleTimeout{60'000};  ///< between requests
  std::chrono::milliseconds m_WriteTimeout{30'000}; ///< for each write
  /// Treats a client that closes its sending side as disconnected. Otherwise
  /// the response is still sent, and interim responses (100 Continue) probe
  /// whether the client is still there.
  bool m_HalfCloseIsDisconnect = false;
};

/// A body of up to this size is read before HttpAdmission::m_AcceptsBody.
inline constexpr std::size_t SmallBodyBytes = std::size_t{4} * 1024;

/// Which clients a server admits, and whose bodies it reads.
struct HttpAdmission {
  /// Shared with the other listeners of the process; null: no limits.
  std::shared_ptr<Clients> m_Clients;
  Listener m_Listener = Listener::Callers;
  /// Whether the body of a request is worth reading, given its head. If not,
  /// the handler is called without it, and the connection ends with its answer.
  std::function<bool(const HttpRequest &Head)> m_AcceptsBody;
};

/// An HTTP/1.1 server. Each connection is served on one worker and processes
/// one request at a time, so that responses keep the order of their requests.
class HttpServer {
public:
  HttpServer(IoThreads &Threads, HttpHandler Handler, HttpLimits Limits = {},
             HttpAdmission Admission = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on "ip:port" and returns the bound address. No effect on a server
  /// that listens already. Errors: InvalidInput; Unavailable if another call
  /// may succeed.
  Result<std::string> listen(const std::string &Address);
  /// Sets the limits for requests received from now on.
  void setLimits(HttpLimits Limits);
  /// From now on, closes each connection with its next response that no further
  /// request has arrived after; new connections are still accepted.
  void closeAfterAnswers();
  /// Refuses requests that are still being received, and later ones that do not
  /// arrive at once.
  void refuseUnread();
  /// Refuses new connections and closes each open one after its current
  /// response, or at once if it is idle. Requests that have arrived are
  /// answered, also on connections that were not accepted yet.
  void drain();
  /// Closes the listening socket and all connections immediately.
  void stop();
  std::size_t openRequests() const;

  struct Impl;

private:
  std::shared_ptr<Impl> m_Impl;
};

/// Bound on the time of a body that is read whole.
inline constexpr std::chrono::milliseconds MaxBodyTime{120'000};

struct CallLimits {
  std::chrono::milliseconds m_ConnectTimeout{1'000};
  std::chrono::milliseconds m_FirstByte{
      30'000}; ///< to send the request, and again to read the headers
  std::chrono::milliseconds m_ReadTimeout{30'000}; ///< for each piece of a body
  /// For the whole body, however steadily its pieces arrive. Without a value
  /// open() sets no bound, and call() sets MaxBodyTime.
  std::optional<std::chrono::milliseconds> m_BodyTimeout;
  std::size_t m_BodyBytes = std::size_t{64} * 1024 * 1024;
  /// A pooled connection that was idle for longer is not reused: servers close
  /// idle connections, and a request sent on one that was just closed may or
  /// may not have been processed. Zero: none is reused.
  std::chrono::milliseconds m_MaxIdle{30'000};
  /// Whether the connection is pooled for later calls. Disable it for servers
  /// that accept few connections and have many callers.
  bool m_KeepsConnection = true;
  /// Whether a GET is retried if the server had already closed the pooled
  /// connection it was sent on.
  bool m_RetriesGet = true;
};

/// How the end of a response's body is told.
enum class BodyFraming {
  Delimited, ///< by a length or chunks: a body that breaks off is an error
  UntilClose ///< by the end of the connection, as a crash ends it too
};

/// A response whose body is read in pieces. Destroying it before the end of
/// the body closes the connection, which signals the cancellation to the
/// server.
class HttpStream {
public:
  virtual ~HttpStream() = default;
  virtual unsigned status() const = 0;
  virtual const HttpHeaders &headers() const = 0;
  virtual BodyFraming framing() const = 0;
  /// Whether nothing was sent on the connection before the request. Otherwise
  /// the response may be a late one to an earlier request.
  virtual bool isFirstOnConnection() const = 0;
  /// Reads the next piece, which is empty at the end of the response. With
  /// BodyFraming::UntilClose that end is only returned if another connection
  /// shows that the server's process has not crashed, which takes a round trip.
  /// Errors: Timeout if the response is not complete, or may not be.
  virtual asio::awaitable<Outcome<std::string>> read() = 0;
  /// Discards the rest of a short body, so that its connection can be used
  /// again. Errors: Timeout if the body is longer than the bytes, or does not
  /// end within the time.
  virtual asio::awaitable<Outcome<bool>>
  discardRest(std::size_t MaxBytes, std::chrono::milliseconds Limit) = 0;
  /// Discards the rest of the response and reads the head of the next one on
  /// the connection, within the time. Errors: Timeout if there is none, or if
  /// the rest is too long.
  virtual asio::awaitable<Outcome<bool>>
  readNext(std::chrono::milliseconds Limit) = 0;
  /// Sets how long each later read waits for data.
  virtual void setReadTimeout(std::chrono::milliseconds Limit) = 0;
  /// Cancels a pending read. Must be called on the thread that reads.
  virtual void cancel() = 0;
};

/// Cancels one call, also while it waits for the response headers. Must be used
/// on the event loop that makes the call, and must outlive the call.
class CallCancel {
public:
  void cancel() {
    m_Cancelled = true;
    if (const auto Abort = std::exchange(m_Abort, nullptr))
      Abort();
  }
  bool cancelled() const { return m_Cancelled; }
  /// Sets how cancel() aborts the operation that the call is waiting for.
  void onCancel(std::function<void()> Abort) { m_Abort = std::move(Abort); }

private:
  bool m_Cancelled = false;
  std::function<void()> m_Abort;
};

/// An HTTP/1.1 client with a connection pool for each event loop: a call runs
/// entirely on the loop of the coroutine that makes it. The client never
/// retries a call, except for a GET on a pooled connection that the server had
/// already closed. Errors: Unavailable if the request cannot have reached the
/// server, Timeout if it may have.
class HttpClient {
public:
  HttpClient();
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  asio::awaitable<Outcome<HttpResponse>>
  call(std::string Address, HttpRequest Request, CallLimits Limits = {});
  asio::awaitable<Outcome<std::unique_ptr<HttpStream>>>
  open(std::string Address, HttpRequest Request, CallLimits Limits = {},
       CallCancel *Cancel = nullptr);

  struct Impl;

private:
  std::shared_ptr<Impl> m_Impl;
};

/// Makes one call on an io_context of its own and blocks until it completes.
/// Meant for tools and tests.
Outcome<HttpResponse> callAndWait(const std::string &Address,
                                  HttpRequest Request, CallLimits Limits = {});

} // namespace deckpitch::net
