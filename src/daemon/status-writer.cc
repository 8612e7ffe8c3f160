#include "daemon/status-writer.h"

#include "daemon/resources-json.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace deckpitch::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *StatusKind = "status";
/// Not a valid pool name, so it cannot collide with a pool's status.
constexpr const char *MembersName = "~members";
/// Changes within this interval are combined into one write.
constexpr std::chrono::seconds WriteInterval{5};

std::string membersJson(const MembershipView &View) {
  json::array Addresses;
  for (const auto &[Id, Each] : View.m_Members)
    if (Each.m_State != MemberState::Gone &&
        !Each.m_Addresses.m_Control.empty())
      Addresses.emplace_back(Each.m_Addresses.m_Control);
  return json::serialize(json::object{{"control", std::move(Addresses)}});
}

std::vector<std::string> readAddresses(const std::string &Json) {
  json::error_code Ec;
  const json::value Value = json::parse(Json, Ec);
  const json::value *List = !Ec && Value.is_object()
                                ? Value.get_object().if_contains("control")
                                : nullptr;
  std::vector<std::string> Out;
  if (!List || !List->is_array())
    return Out;
  for (const json::value &Each : List->get_array())
    if (Each.is_string())
      Out.emplace_back(Each.get_string());
  return Out;
}

} // namespace

StatusWriter::StatusWriter(Process &In, const LeaseKeeper &Lease)
    : m_Process(In), m_Lease(Lease), m_Timer(In.m_Threads.control()) {}

void StatusWriter::start() {
  asio::co_spawn(m_Process.m_Threads.control(), run(), asio::detached);
}

void StatusWriter::stop() {
  m_Stopping = true;
  m_Timer.cancel();
}

asio::awaitable<void> StatusWriter::run() {
  co_await readMembers();
  while (!m_Stopping) {
    m_Timer.expires_after(WriteInterval);
    co_await m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!m_Stopping && m_Lease.held())
      co_await writeAll();
    else
      m_Written.clear();
  }
}

asio::awaitable<void> StatusWriter::readMembers() {
  const auto Got = co_await m_Process.m_Platform.get(StatusKind, MembersName);
  if (Got)
    m_Process.m_RememberedAddresses.publish(
        std::make_shared<const std::vector<std::string>>(
            readAddresses(Got->m_Json)));
}

asio::awaitable<void> StatusWriter::writeAll() {
  const auto Set = m_Process.m_Declarations.load();
  const auto View = m_Process.m_Membership.load();
  for (const auto &[Id, Each] : Set->m_Pools)
    co_await writeOne(Id.m_Text,
                      json::serialize(toJson(Each, statusOf(Each, *View))));
  co_await writeOne(MembersName, membersJson(*View));
}

asio::awaitable<void> StatusWriter::writeOne(std::string Name,
                                             std::string Json) {
  Written &Of = m_Written[Name];
  if (m_Stopping || !m_Lease.held() || (Of.m_IsKnown && Of.m_Json == Json))
    co_return;
  if (!Of.m_IsKnown) {
    const auto Got = co_await m_Process.m_Platform.get(StatusKind, Name);
    if (!Got && Got.error().m_Code != ErrorCode::NotFound)
      co_return;
    Of.m_IsKnown = true;
    Of.m_KnownRevision = Got ? Got->m_Revision : Revision();
    Of.m_Json = Got ? Got->m_Json : std::string();
    if (Of.m_Json == Json)
      co_return;
  }
  Outcome<Revision> Wrote = Revision();
  if (Of.m_KnownRevision.m_Value == 0)
    Wrote = co_await m_Process.m_Platform.create(StatusKind, Name, Json);
  else {
    net::PlatformObject Object{StatusKind, Name, Of.m_KnownRevision, Json};
    Wrote = co_await m_Process.m_Platform.update(std::move(Object));
  }
  ++m_Writes;
  Of.m_IsKnown = Wrote.has_value();
  if (!Wrote)
    co_return;
  Of.m_KnownRevision = *Wrote;
  Of.m_Json = std::move(Json);
}

json::object StatusWriter::dump() const {
  return {{"objects", m_Written.size()}, {"writes", m_Writes}};
}

} // namespace deckpitch::daemon
