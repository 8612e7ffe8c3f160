// HTTP/1.1 server and client as coroutines; Beast stays in the .cc files.
#pragma once

#include "deckpitch/error.h"
#include "net/io-threads.h"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
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

/// Headers in order; names compare without case.
struct HttpHeaders {
  std::vector<HttpHeader> m_List;

  /// The first value of that name, or empty.
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

  /// The target without its query.
  std::string_view path() const;
  /// The decoded value of a query parameter, or empty.
  std::string query(std::string_view Name) const;
};

struct HttpResponse {
  unsigned m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
};

HttpResponse jsonResponse(unsigned Status, std::string Json);

/// Writes the answer to one request. Every call returns false, or does
/// nothing, once the client is gone.
class HttpResponder {
public:
  virtual ~HttpResponder() = default;
  /// Sends a whole answer.
  virtual asio::awaitable<bool> send(HttpResponse Response) = 0;
  /// Starts a chunked answer; then write() and end().
  virtual asio::awaitable<bool> begin(unsigned Status, HttpHeaders Headers) = 0;
  virtual asio::awaitable<bool> write(std::string_view Data) = 0;
  virtual asio::awaitable<bool> end() = 0;
  /// Breaks the connection: the client sees that the answer is not whole.
  virtual void abort() = 0;
  virtual bool started() const = 0;
  /// Calls back, at most once, when the client goes away before the answer's
  /// end.
  virtual void onGone(std::function<void()> Callback) = 0;
};

using HttpHandler =
    std::function<asio::awaitable<void>(HttpRequest, HttpResponder &)>;

struct HttpLimits {
  std::size_t m_HeaderBytes = std::size_t{16} * 1024;
  std::size_t m_BodyBytes = std::size_t{4} * 1024 * 1024;
  std::chrono::milliseconds m_HeaderTimeout{
      10'000}; ///< for a whole request to arrive
  std::chrono::milliseconds m_IdleTimeout{60'000};  ///< between requests
  std::chrono::milliseconds m_WriteTimeout{30'000}; ///< without progress
  std::size_t m_Connections = 20'000;
  /// A client that closes its sending side wants no answer any more. Without
  /// it the answer is still sent, and probed for with interim responses.
  bool m_HalfClosedIsGone = false;
};

/// Serves each connection on one worker. A connection answers one request at
/// a time, so answers cannot be exchanged.
class HttpServer {
public:
  HttpServer(IoThreads &Threads, HttpHandler Handler, HttpLimits Limits = {});
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens on "ip:port"; gives the bound address.
  Result<std::string> listen(const std::string &Address);
  /// For requests that come from now on.
  void setLimits(HttpLimits Limits);
  /// Takes new connections still, but closes each after its next answer.
  void closeAfterAnswers();
  /// Refuses new connections and closes each connection after its answer.
  void drain();
  /// Closes everything at once.
  void stop();
  std::size_t openRequests() const;

  struct Impl;

private:
  std::shared_ptr<Impl> m_Impl;
};

struct CallLimits {
  std::chrono::milliseconds m_Connect{1'000};
  std::chrono::milliseconds m_FirstByte{
      30'000}; ///< request sent to headers read
  std::chrono::milliseconds m_BetweenBytes{30'000};
  std::size_t m_BodyBytes = std::size_t{64} * 1024 * 1024;
  /// A kept connection that rested longer is not used: servers drop idle ones,
  /// and what was sent on one that was just dropped may or may not have run.
  std::chrono::milliseconds m_MostIdle{30'000};
  /// Whether the connection is kept for later calls. Not to servers that take
  /// few connections from many callers.
  bool m_KeepsConnection = true;
  /// A GET on a kept connection that turned out closed is sent again.
  bool m_RepeatsGet = true;
};

/// An answer whose body is read piece by piece. Dropping it before its end
/// closes the connection, which tells the server that nobody listens.
class HttpStream {
public:
  virtual ~HttpStream() = default;
  virtual unsigned status() const = 0;
  virtual const HttpHeaders &headers() const = 0;
  /// The next piece; empty at the end of a whole answer.
  virtual asio::awaitable<Outcome<std::string>> read() = 0;
  /// How long the next reads wait for bytes.
  virtual void setBetweenBytes(std::chrono::milliseconds Limit) = 0;
  /// Ends a pending read; on the thread that reads.
  virtual void cancel() = 0;
};

/// Ends one call from outside, also while it waits for its answer's head. Used
/// on the loop that makes the call, and outlives the call.
class CallCancel {
public:
  void cancel() {
    m_Cancelled = true;
    if (const auto Abort = std::exchange(m_Abort, nullptr))
      Abort();
  }
  bool cancelled() const { return m_Cancelled; }
  /// What cancel() does to the step of the call that is under way.
  void onCancel(std::function<void()> Abort) { m_Abort = std::move(Abort); }

private:
  bool m_Cancelled = false;
  std::function<void()> m_Abort;
};

/// Keeps connections for reuse, apart for each loop: a call runs wholly on the
/// loop of the coroutine that makes it. A call is never repeated by the client,
/// but for a GET on a kept connection that turned out closed. Errors:
/// Unavailable when the request cannot have reached the server, Timeout when it
/// may have.
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

/// Runs one call on an io_context of its own; for tools and tests.
Outcome<HttpResponse> callAndWait(const std::string &Address,
                                  HttpRequest Request, CallLimits Limits = {});

} // namespace deckpitch::net
