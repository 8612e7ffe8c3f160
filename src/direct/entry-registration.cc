#include "direct/entry-registration.h"

#include "daemon/clock.h"
#include "direct/store-updates.h"
#include "net/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

/// Kind of the objects through which entries find each other.
const std::string EntryKind = "deckpitch-entries";
/// Interval between reads of the stored entries; hellos cover the time between.
constexpr Duration ListInterval = std::chrono::seconds(20);
/// Interval between attempts after a failed call to the store.
constexpr Duration RetryInterval = milliseconds(500);
/// Minimum number of entries assumed until the store has listed them.
constexpr std::size_t EntriesBeforeList = 64;
/// Declarations that a record holds: bounds of earlier ones are long past.
constexpr std::size_t MaxDeclared = 8;

} // namespace

void EntryRegistration::start() { asio::co_spawn(m_Io, run(), asio::detached); }

void EntryRegistration::stop() {
  m_Stopped = true;
  m_Wake.cancel();
}

void EntryRegistration::recordChanged() {
  m_IsWritten = false;
  m_Wake.cancel();
}

std::size_t EntryRegistration::entriesThatRetry() const {
  const std::size_t Known = m_Peers.knownCount();
  return m_HasListed ? Known : std::max(Known, EntriesBeforeList);
}

std::string EntryRegistration::ownRecord() const {
  return formatEntry({m_Peers.own(), m_Harmful.toStore(), m_Declared});
}

/// Returns false if the record holds the declaration already.
bool EntryRegistration::addDeclared(const StoredDeclaration &Seen) {
  const bool IsKnown = std::any_of(m_Declared.begin(), m_Declared.end(),
                                   [&](const StoredDeclaration &Each) {
                                     return Each.m_Declared == Seen.m_Declared;
                                   });
  if (IsKnown)
    return false;
  m_Declared.push_back(Seen);
  if (m_Declared.size() > MaxDeclared)
    m_Declared.erase(m_Declared.begin());
  return true;
}

void EntryRegistration::setDeclared(const std::vector<DatedWeights> &Seen) {
  const std::uint64_t UnixNow = daemon::unixMs();
  bool IsChanged = false;
  for (const DatedWeights &Each : Seen) {
    const std::uint64_t AgeMs = ageMs(Each.m_Since, now());
    IsChanged = addDeclared({Each.m_Declared, UnixNow - AgeMs}) || IsChanged;
  }
  if (IsChanged)
    recordChanged();
}

void EntryRegistration::addListed(const net::PlatformObject &Record) {
  const auto Known =
      outcomeOf([&] { return parseEntry(Record.m_Name, Record.m_Json); });
  if (!Known)
    return logUnreadable(Record.m_Name, Known.error().m_Message);
  m_Unreadable.noteReadable(Record.m_Name);
  m_Peers.addListed(Known->m_Address);
  m_Harmful.receive(Known->m_Refused, Record.m_Name);
  const std::uint64_t UnixNow = daemon::unixMs();
  for (const StoredDeclaration &Each : Known->m_Declared) {
    // The clock may have been set back since.
    const std::uint64_t AgeMs = UnixNow - std::min(Each.m_SinceMs, UnixNow);
    m_OnDeclared({Each.m_Declared, now() - milliseconds(AgeMs)});
    if (Record.m_Name == m_Peers.own().m_Id.m_Text)
      addDeclared(Each);
  }
}

void EntryRegistration::logUnreadable(const std::string &Name,
                                      const std::string &Fault) {
  const std::string Shortened = shortened(Fault);
  if (m_Unreadable.note(Name, Shortened))
    net::log(Event::EntryUnreadable, {{"entry", Name}, {"error", Shortened}});
}

/// Writes this entry's record; true if the store holds the current record.
asio::awaitable<bool> EntryRegistration::writeOwnRecord() {
  const std::string &Name = m_Peers.own().m_Id.m_Text;
  const auto Created = co_await m_Store.create(EntryKind, Name, ownRecord());
  if (Created)
    co_return true;
  if (Created.error().m_Code != ErrorCode::Conflict)
    co_return false;
  auto Stored = co_await m_Store.get(EntryKind, Name);
  if (!Stored)
    co_return false;
  // Written before this start: merged, so that nothing stored is lost.
  addListed(*Stored);
  const std::string Json = ownRecord();
  if (Stored->m_Json == Json)
    co_return true;
  Stored->m_Json = Json;
  co_return (co_await m_Store.update(std::move(*Stored))).has_value();
}

asio::awaitable<bool> EntryRegistration::listRecords() {
  const auto List = co_await m_Store.list(EntryKind);
  if (!List)
    co_return false;
  m_HasListed = true;
  for (const net::PlatformObject &Each : List->m_Items)
    addListed(Each);
  for (const net::UnreadableObject &Each : List->m_Unreadable)
    logUnreadable(Each.m_Name, Each.m_Fault);
  co_return true;
}

/// An entry lists all others once, and then learns of new ones from their own
/// hellos. The first of each data centre lists them again, for all the others:
/// hellos may be lost.
bool EntryRegistration::mustList() const {
  const TimePoint Now = now();
  return !m_HasListed || m_Peers.ownRank(Now).m_All == 0;
}

asio::awaitable<void> EntryRegistration::run() {
  TimePoint NextList{};
  while (!m_Stopped) {
    if (!m_IsWritten) {
      m_IsWritten = true; // Reset if the record changes meanwhile.
      const bool IsDone = co_await writeOwnRecord();
      m_IsWritten = m_IsWritten && IsDone;
    }
    if (now() >= NextList && mustList()) {
      const bool IsListed = co_await listRecords();
      NextList = now() + (IsListed ? ListInterval : RetryInterval);
    } else if (now() >= NextList) {
      NextList = now() + ListInterval;
    }
    m_Wake.expires_after(m_IsWritten ? NextList - now() : RetryInterval);
    co_await m_Wake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

} // namespace deckpitch::direct
