#include "fake-platform.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch::test {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxValueBytes = std::size_t{1024} * 1024;

net::PlatformObject objectOf(const standins::StoredObject &From) {
  return {From.m_Kind, From.m_Name, {From.m_Revision}, From.m_Json};
}

net::PlatformEvent eventOf(const standins::HistoryEntry &From) {
  using Type = net::PlatformEvent::Type;
  return {From.m_Deleted ? Type::Delete : Type::Put, objectOf(From.m_Object)};
}

} // namespace

FakePlatform::FakePlatform(asio::io_context &Io) : m_Changed(Io) {
  m_Changed.expires_at(asio::steady_timer::time_point::max());
}

void FakePlatform::setOutage(bool On) {
  m_Outage = On;
  m_Changed.cancel();
}

std::optional<Error> FakePlatform::readFault() {
  ++m_Calls;
  if (m_Outage)
    return Error{ErrorCode::Unavailable, "outage"};
  return std::nullopt;
}

std::optional<Error> FakePlatform::writeFault(const std::string &Kind,
                                              const std::string &Name,
                                              Revision Expected) {
  ++m_Calls;
  if (m_Outage)
    return Error{ErrorCode::Timeout, "outage"};
  const standins::StoredObject *Current = m_Store.find(Kind, Name);
  if (Expected.m_Value == 0 && !Current)
    return std::nullopt;
  if (!Current)
    return Error{ErrorCode::NotFound, "no such object"};
  if (Current->m_Revision != Expected.m_Value)
    return Error{ErrorCode::Conflict, "another write came first"};
  return std::nullopt;
}

Outcome<Revision> FakePlatform::finishWrite(std::uint64_t At) {
  m_Changed.cancel();
  if (std::exchange(m_LoseNextAnswer, false))
    return Error{ErrorCode::Timeout, "the answer is lost"};
  return Revision{At};
}

Outcome<Revision> FakePlatform::put(const std::string &Kind,
                                    const std::string &Name,
                                    const std::string &Json) {
  boost::json::error_code Ec;
  const boost::json::value Value = boost::json::parse(Json, Ec);
  if (Ec)
    return Error{ErrorCode::InvalidInput, "the value is not JSON"};
  if (Json.size() > MaxValueBytes)
    return Error{ErrorCode::InvalidInput, "the value is too large"};
  return finishWrite(m_Store.put(Kind, Name, boost::json::serialize(Value)));
}

asio::awaitable<Outcome<net::PlatformObject>>
FakePlatform::get(std::string Kind, std::string Name) {
  if (const auto Fault = readFault())
    co_return *Fault;
  const standins::StoredObject *Found = m_Store.find(Kind, Name);
  if (!Found)
    co_return Error{ErrorCode::NotFound, "no such object"};
  co_return objectOf(*Found);
}

asio::awaitable<Outcome<net::PlatformList>>
FakePlatform::list(std::string Kind) {
  if (const auto Fault = readFault())
    co_return *Fault;
  net::PlatformList Out{{m_Store.revision()}, {}};
  for (const auto &Each : m_Store.listAsOf(Kind, m_Store.revision()))
    Out.m_Items.push_back(objectOf(Each));
  co_return Out;
}

asio::awaitable<Outcome<Revision>>
FakePlatform::update(net::PlatformObject Object) {
  if (const auto Fault =
          writeFault(Object.m_Kind, Object.m_Name, Object.m_Revision))
    co_return *Fault;
  co_return put(Object.m_Kind, Object.m_Name, Object.m_Json);
}

asio::awaitable<Outcome<Revision>>
FakePlatform::create(std::string Kind, std::string Name, std::string Json) {
  if (const auto Fault = writeFault(Kind, Name, {}))
    co_return *Fault;
  co_return put(Kind, Name, Json);
}

asio::awaitable<Outcome<Revision>>
FakePlatform::remove(std::string Kind, std::string Name, Revision Expected) {
  if (const auto Fault = writeFault(Kind, Name, Expected))
    co_return *Fault;
  co_return finishWrite(m_Store.remove(Kind, Name));
}

asio::awaitable<Error>
FakePlatform::watch(std::vector<std::string> Kinds, Revision Since,
                    std::function<bool(net::PlatformEvent)> OnEvent) {
  if (const auto Fault = readFault())
    co_return *Fault;
  const Error EndedByCallback{ErrorCode::Unavailable,
                              "the watch was ended here"};
  std::uint64_t Sent = Since.m_Value;
  while (!m_Outage) {
    if (!m_Store.canContinueFrom(Sent))
      co_return Error{ErrorCode::NotFound, "too old to continue from"};
    while (Sent < m_Store.revision()) {
      const standins::HistoryEntry &Next = *m_Store.entry(++Sent);
      const bool Wanted = std::find(Kinds.begin(), Kinds.end(),
                                    Next.m_Object.m_Kind) != Kinds.end();
      if (Wanted && !OnEvent(eventOf(Next)))
        co_return EndedByCallback;
    }
    net::PlatformEvent Bookmark{net::PlatformEvent::Type::Bookmark,
                                {{}, {}, {Sent}, {}}};
    if (!OnEvent(std::move(Bookmark)))
      co_return EndedByCallback;
    co_await m_Changed.async_wait(asio::as_tuple(asio::use_awaitable));
  }
  co_return Error{ErrorCode::Unavailable, "outage"};
}

asio::awaitable<Outcome<std::vector<net::PlatformInstance>>>
FakePlatform::instances() {
  if (const auto Fault = readFault())
    co_return *Fault;
  co_return m_Instances;
}

} // namespace deckpitch::test
