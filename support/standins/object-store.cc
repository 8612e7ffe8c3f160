#include "standins/object-store.h"

#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch::standins {

namespace json = boost::json;

namespace {

/// Formats the fields of an object. The value is stored as JSON, so only kind
/// and name are quoted.
std::string objectFields(const StoredObject &Object) {
  std::string Out =
      "\"kind\":" + json::serialize(json::string(Object.m_Kind)) +
      ",\"name\":" + json::serialize(json::string(Object.m_Name)) +
      ",\"revision\":" + std::to_string(Object.m_Revision);
  if (!Object.m_Json.empty())
    Out += ",\"value\":" + Object.m_Json;
  return Out;
}

} // namespace

std::string formatObject(const StoredObject &Object) {
  return "{" + objectFields(Object) + "}";
}

std::string formatEvent(const HistoryEntry &Entry) {
  const std::string Type = Entry.m_Deleted ? "delete" : "put";
  return "{\"type\":\"" + Type + "\"," + objectFields(Entry.m_Object) + "}\n";
}

const StoredObject *ObjectStore::find(const std::string &Kind,
                                      const std::string &Name) const {
  const auto Objects = m_Kinds.find(Kind);
  if (Objects == m_Kinds.end())
    return nullptr;
  const auto Found = Objects->second.find(Name);
  return Found == Objects->second.end() ? nullptr : &Found->second;
}

std::uint64_t ObjectStore::add(HistoryEntry Entry) {
  m_History.push_back(std::move(Entry));
  if (m_History.size() > m_HistoryLimit)
    m_History.pop_front();
  return m_Revision;
}

std::uint64_t ObjectStore::put(const std::string &Kind, const std::string &Name,
                               std::string Json) {
  HistoryEntry Entry;
  if (const StoredObject *Previous = find(Kind, Name))
    Entry.m_Previous = *Previous;
  Entry.m_Object = {Kind, Name, ++m_Revision, std::move(Json)};
  m_Kinds[Kind].insert_or_assign(Name, Entry.m_Object);
  return add(std::move(Entry));
}

std::uint64_t ObjectStore::remove(const std::string &Kind,
                                  const std::string &Name) {
  HistoryEntry Entry;
  Entry.m_Deleted = true;
  if (const StoredObject *Previous = find(Kind, Name))
    Entry.m_Previous = *Previous;
  Entry.m_Object = {Kind, Name, ++m_Revision, ""};
  m_Kinds[Kind].erase(Name);
  return add(std::move(Entry));
}

std::uint64_t ObjectStore::clampRevision(std::uint64_t AsOf) const {
  const std::uint64_t Oldest = m_Revision - m_History.size();
  return std::clamp(AsOf, Oldest, m_Revision);
}

ObjectStore::ObjectsByName ObjectStore::objectsAsOf(const std::string &Kind,
                                                    std::uint64_t AsOf) const {
  const auto Found = m_Kinds.find(Kind);
  ObjectsByName Objects =
      Found == m_Kinds.end() ? ObjectsByName() : Found->second;
  for (auto Entry = m_History.rbegin(); Entry != m_History.rend(); ++Entry) {
    if (Entry->m_Object.m_Revision <= AsOf)
      break;
    if (Entry->m_Object.m_Kind != Kind)
      continue;
    if (Entry->m_Previous)
      Objects.insert_or_assign(Entry->m_Object.m_Name, *Entry->m_Previous);
    else
      Objects.erase(Entry->m_Object.m_Name);
  }
  return Objects;
}

std::optional<StoredObject> ObjectStore::findAsOf(const std::string &Kind,
                                                  const std::string &Name,
                                                  std::uint64_t AsOf) const {
  if (AsOf >= m_Revision) {
    const StoredObject *Current = find(Kind, Name);
    return Current ? std::optional(*Current) : std::nullopt;
  }
  const ObjectsByName Objects = objectsAsOf(Kind, AsOf);
  const auto Found = Objects.find(Name);
  return Found == Objects.end() ? std::nullopt : std::optional(Found->second);
}

std::vector<StoredObject> ObjectStore::listAsOf(const std::string &Kind,
                                                std::uint64_t AsOf) const {
  std::vector<StoredObject> Out;
  for (auto &[Name, Object] : objectsAsOf(Kind, AsOf))
    Out.push_back(Object);
  return Out;
}

const HistoryEntry *ObjectStore::entry(std::uint64_t Revision) const {
  if (m_History.empty())
    return nullptr;
  const std::uint64_t First = m_History.front().m_Object.m_Revision;
  if (Revision < First || Revision > m_Revision)
    return nullptr;
  return &m_History[Revision - First];
}

bool ObjectStore::canContinueFrom(std::uint64_t Revision) const {
  return Revision + m_History.size() >= m_Revision;
}

} // namespace deckpitch::standins
