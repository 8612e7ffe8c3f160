// Base of all stand-ins: an event loop, an HTTP server and faults that can be
// switched at run time.
#pragma once

#include "net/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch::standins {

namespace asio = boost::asio;

/// How a stand-in fails all requests: with 503, or without an answer.
enum class Outage { None, Refuse, Hang };

/// Reads fault switches from a JSON object. finish() reports unknown keys and
/// values of the wrong type.
class FaultReader {
public:
  explicit FaultReader(const boost::json::object &Faults) : m_Faults(Faults) {}

  void read(std::string_view Key, bool &Out);
  void read(std::string_view Key, std::uint64_t &Out);
  void read(std::string_view Key, std::chrono::milliseconds &Out);
  void read(std::string_view Key, std::vector<std::uint64_t> &Out);
  void read(std::string_view Key, Outage &Out);
  /// Reads a number of calls to affect, or a boolean: true for all, false for
  /// none.
  void readCount(std::string_view Key, std::uint64_t &Out);
  /// Returns the problems of the document, or an empty string if it is valid.
  std::string finish();

private:
  const boost::json::value *findKey(std::string_view Key);
  void reportWrongType(std::string_view Key);

  const boost::json::object &m_Faults;
  std::vector<std::string> m_KnownKeys;
  std::string m_Problems;
};

/// Records whether the client of one request has disconnected.
class DisconnectFlag {
public:
  explicit DisconnectFlag(net::HttpResponder &Answer)
      : m_Disconnected(std::make_shared<bool>(false)) {
    Answer.onDisconnect([Flag = m_Disconnected] { *Flag = true; });
  }
  bool disconnected() const { return *m_Disconnected; }

private:
  std::shared_ptr<bool> m_Disconnected;
};

asio::awaitable<void> sleepFor(std::chrono::milliseconds Length);

/// Returns the part of a path after a prefix, or an empty string if the path
/// does not start with it.
std::string pathAfter(std::string_view Path, std::string_view Prefix);

net::HttpResponse errorResponse(unsigned Status, std::string_view Message);
net::HttpResponse jsonObjectResponse(unsigned Status,
                                     const boost::json::object &Value);
/// Returns the value as an object, or null if it is none.
const boost::json::object *objectOrNull(const boost::json::value &Value);
/// Parses a body as JSON. Returns null if it is invalid.
boost::json::value parseBody(const std::string &Body);

/// One stand-in. All of its code runs on one event loop, so it needs no locks.
class StandIn {
public:
  explicit StandIn(net::HttpLimits Limits = {});
  virtual ~StandIn();
  StandIn(const StandIn &) = delete;
  StandIn &operator=(const StandIn &) = delete;

  virtual std::string_view kind() const = 0;
  /// Listens on the address, starts the event loop and returns the bound
  /// address.
  Result<std::string> start(const std::string &Address);
  void stop();

protected:
  virtual asio::awaitable<void> serve(net::HttpRequest Request,
                                      net::HttpResponder &Answer) = 0;
  /// Handles the requests under /_standin/ that are specific to this kind.
  /// Returns false if there is no such path.
  virtual asio::awaitable<bool> control(const net::HttpRequest &,
                                        net::HttpResponder &) {
    co_return false;
  }
  /// Replaces all faults; those without a switch are reset.
  virtual void setFaults(FaultReader &Faults) = 0;
  virtual boost::json::object counters() const = 0;

  net::IoThreads m_Threads{0};

private:
  asio::awaitable<void> handle(net::HttpRequest Request,
                               net::HttpResponder &Answer);
  net::HttpResponse replaceFaults(const std::string &Body);

  net::HttpServer m_Server;
};

struct EngineOptions {
  std::uint32_t m_Slots = 2;
  std::uint32_t m_Concurrency = 8;
  std::uint32_t m_QueueLimit = 1024;
  std::uint64_t m_StagingBytes = 0;
  bool m_StrictFencing = false;
};

struct StoreOptions {
  bool m_IsStore = false;
  std::uint64_t m_RequestsPerSecond = 0; ///< 0: unlimited
};

std::unique_ptr<StandIn> makePlatform(std::size_t HistoryLimit);
std::unique_ptr<StandIn> makeOrigin(StoreOptions Options);
std::unique_ptr<StandIn> makeEngine(EngineOptions Options);
std::unique_ptr<StandIn> makeService();

} // namespace deckpitch::standins
