// What all stand-ins share: a loop and a server each, and switchable faults.
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

enum class Outage { None, Refuse, Hang };

/// Takes the known keys out of a document of switches; finish() names the
/// others.
class SwitchReader {
public:
  explicit SwitchReader(const boost::json::object &Faults) : m_Faults(Faults) {}

  void read(std::string_view Key, bool &Out);
  void read(std::string_view Key, std::uint64_t &Out);
  void read(std::string_view Key, std::chrono::milliseconds &Out);
  void read(std::string_view Key, std::vector<std::uint64_t> &Out);
  void read(std::string_view Key, Outage &Out);
  /// A number of times, or true for always.
  void times(std::string_view Key, std::uint64_t &Out);
  /// The faults of the document itself, empty when good.
  std::string finish();

private:
  const boost::json::value *take(std::string_view Key);
  void refuse(std::string_view Key);

  const boost::json::object &m_Faults;
  std::vector<std::string> m_Taken;
  std::string m_Problems;
};

/// Notices when the client of one request goes away.
class GoneFlag {
public:
  explicit GoneFlag(net::HttpResponder &Answer)
      : m_Gone(std::make_shared<bool>(false)) {
    Answer.onDisconnect([Gone = m_Gone] { *Gone = true; });
  }
  bool gone() const { return *m_Gone; }

private:
  std::shared_ptr<bool> m_Gone;
};

asio::awaitable<void> pause(std::chrono::milliseconds Length);

/// The last part of a path below a prefix; empty when it is not below it.
std::string below(std::string_view Path, std::string_view Prefix);

net::HttpResponse errorResponse(unsigned Status, std::string_view Message);
net::HttpResponse jsonObjectResponse(unsigned Status,
                                     const boost::json::object &Value);
/// The body as a JSON object; empty optional when it is none.
const boost::json::object *asObject(const boost::json::value &Value);
boost::json::value parseBody(const std::string &Body);

/// One stand-in: everything of it runs on one loop, so it needs no locks.
class StandIn {
public:
  explicit StandIn(net::HttpLimits Limits = {});
  virtual ~StandIn();
  StandIn(const StandIn &) = delete;
  StandIn &operator=(const StandIn &) = delete;

  virtual std::string_view kind() const = 0;
  /// Listens and starts; gives the bound address.
  Result<std::string> start(const std::string &Address);
  void stop();

protected:
  virtual asio::awaitable<void> serve(net::HttpRequest Request,
                                      net::HttpResponder &Answer) = 0;
  /// Calls below /_standin/ that only this kind has; false: none such.
  virtual asio::awaitable<bool> control(const net::HttpRequest &,
                                        net::HttpResponder &) {
    co_return false;
  }
  /// Replaces all faults.
  virtual void setFaults(SwitchReader &Faults) = 0;
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
