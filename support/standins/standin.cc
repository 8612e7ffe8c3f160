#include "standins/standin.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <limits>

namespace deckpitch::standins {

namespace json = boost::json;

namespace {

constexpr std::string_view ControlPrefix = "/_standin/";

} // namespace

const json::value *FaultReader::findKey(std::string_view Key) {
  m_KnownKeys.emplace_back(Key);
  return m_Faults.if_contains(Key);
}

void FaultReader::reportWrongType(std::string_view Key) {
  m_Problems += std::string(Key) + " has the wrong type; ";
}

void FaultReader::read(std::string_view Key, bool &Out) {
  const json::value *Found = findKey(Key);
  if (!Found)
    return;
  if (!Found->is_bool())
    return reportWrongType(Key);
  Out = Found->get_bool();
}

void FaultReader::read(std::string_view Key, std::uint64_t &Out) {
  const json::value *Found = findKey(Key);
  if (!Found)
    return;
  boost::system::error_code Ec;
  const auto Number = Found->to_number<std::uint64_t>(Ec);
  if (Ec)
    return reportWrongType(Key);
  Out = Number;
}

void FaultReader::read(std::string_view Key, std::chrono::milliseconds &Out) {
  std::uint64_t Number = static_cast<std::uint64_t>(Out.count());
  read(Key, Number);
  Out = std::chrono::milliseconds(Number);
}

void FaultReader::read(std::string_view Key, std::vector<std::uint64_t> &Out) {
  const json::value *Found = findKey(Key);
  if (!Found)
    return;
  if (!Found->is_array())
    return reportWrongType(Key);
  for (const json::value &Each : Found->get_array()) {
    boost::system::error_code Ec;
    Out.push_back(Each.to_number<std::uint64_t>(Ec));
    if (Ec)
      return reportWrongType(Key);
  }
}

void FaultReader::read(std::string_view Key, Outage &Out) {
  const json::value *Found = findKey(Key);
  if (!Found)
    return;
  if (Found->is_bool())
    Out = Found->get_bool() ? Outage::Refuse : Outage::None;
  else if (*Found == "hang")
    Out = Outage::Hang;
  else
    reportWrongType(Key);
}

void FaultReader::readCount(std::string_view Key, std::uint64_t &Out) {
  const json::value *Found = m_Faults.if_contains(Key);
  if (!Found || !Found->is_bool())
    return read(Key, Out);
  findKey(Key);
  Out = Found->get_bool() ? std::numeric_limits<std::uint64_t>::max() : 0;
}

std::string FaultReader::finish() {
  for (const json::key_value_pair &Each : m_Faults) {
    const std::string Key(Each.key());
    if (std::find(m_KnownKeys.begin(), m_KnownKeys.end(), Key) ==
        m_KnownKeys.end())
      m_Problems += Key + " is unknown; ";
  }
  return m_Problems;
}

asio::awaitable<void> sleepFor(std::chrono::milliseconds Length) {
  if (Length.count() <= 0)
    co_return;
  asio::steady_timer Timer(co_await asio::this_coro::executor, Length);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

std::string pathAfter(std::string_view Path, std::string_view Prefix) {
  if (!Path.starts_with(Prefix))
    return {};
  return std::string(Path.substr(Prefix.size()));
}

net::HttpResponse errorResponse(unsigned Status, std::string_view Message) {
  return jsonObjectResponse(Status, {{"error", Message}});
}

net::HttpResponse jsonObjectResponse(unsigned Status,
                                     const json::object &Value) {
  return net::jsonResponse(Status, json::serialize(Value));
}

json::value parseBody(const std::string &Body) {
  boost::system::error_code Ec;
  json::value Value = json::parse(Body, Ec);
  return Ec ? json::value() : Value;
}

const json::object *objectOrNull(const json::value &Value) {
  return Value.if_object();
}

StandIn::StandIn(net::HttpLimits Limits)
    : m_Server(
          m_Threads,
          [this](net::HttpRequest Request, net::HttpResponder &Answer) {
            return handle(std::move(Request), Answer);
          },
          Limits) {}

StandIn::~StandIn() { stop(); }

Result<std::string> StandIn::start(const std::string &Address) {
  BOOST_LEAF_AUTO(Bound, m_Server.listen(Address));
  m_Threads.start();
  return Bound;
}

void StandIn::stop() {
  m_Server.stop();
  m_Threads.stop();
}

net::HttpResponse StandIn::replaceFaults(const std::string &Body) {
  const json::value Value = parseBody(Body);
  const json::object *Object = objectOrNull(Value);
  if (!Object)
    return errorResponse(400, "expected a JSON object");
  FaultReader Reader(*Object);
  setFaults(Reader);
  const std::string Problems = Reader.finish();
  if (!Problems.empty())
    return errorResponse(422, Problems);
  return net::jsonResponse(200, "{}");
}

asio::awaitable<void> StandIn::handle(net::HttpRequest Request,
                                      net::HttpResponder &Answer) {
  const std::string Path(Request.path());
  if (!Path.starts_with(ControlPrefix)) {
    co_await serve(std::move(Request), Answer);
    co_return;
  }
  if (Path == "/_standin/faults" && Request.m_Method == "PUT") {
    co_await Answer.send(replaceFaults(Request.m_Body));
    co_return;
  }
  if (Path == "/_standin/counters" && Request.m_Method == "GET") {
    co_await Answer.send(jsonObjectResponse(200, counters()));
    co_return;
  }
  const bool Known = co_await control(Request, Answer);
  if (!Known)
    co_await Answer.send(errorResponse(404, "no such switch"));
}

} // namespace deckpitch::standins
