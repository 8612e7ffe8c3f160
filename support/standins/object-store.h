// The platform stand-in's objects with their whole history of writes.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::standins {

struct StoredObject {
  std::string m_Kind;
  std::string m_Name;
  std::uint64_t m_Revision = 0;
  std::string m_Json;
};

std::string formatObject(const StoredObject &Object);

/// One write: what it left, and what stood there before.
struct HistoryEntry {
  bool m_Deleted = false;
  StoredObject m_Object;
  std::optional<StoredObject> m_Before;
};

std::string formatEvent(const HistoryEntry &Entry);

/// Each write has the next revision. Keeps a bounded history, from which
/// watches continue and stale reads are answered.
class ObjectStore {
public:
  explicit ObjectStore(std::size_t HistoryLimit)
      : m_HistoryLimit(HistoryLimit) {}

  std::uint64_t revision() const { return m_Revision; }
  const StoredObject *find(const std::string &Kind,
                           const std::string &Name) const;
  std::uint64_t put(const std::string &Kind, const std::string &Name,
                    std::string Json);
  std::uint64_t remove(const std::string &Kind, const std::string &Name);

  /// The nearest revision to AsOf that can still be answered.
  std::uint64_t clampRevision(std::uint64_t AsOf) const;
  std::optional<StoredObject> findAsOf(const std::string &Kind,
                                       const std::string &Name,
                                       std::uint64_t AsOf) const;
  std::vector<StoredObject> listAsOf(const std::string &Kind,
                                     std::uint64_t AsOf) const;
  /// The entry of that revision; null when it is compacted or to come.
  const HistoryEntry *entry(std::uint64_t Revision) const;
  /// False when events after that revision are compacted.
  bool canContinueFrom(std::uint64_t Revision) const;
  /// Forgets the history up to now, so that older watches cannot continue.
  void compact() { m_History.clear(); }

private:
  using ObjectsByName = std::map<std::string, StoredObject>;

  ObjectsByName kindAsOf(const std::string &Kind, std::uint64_t AsOf) const;
  std::uint64_t add(HistoryEntry Entry);

  std::size_t m_HistoryLimit;
  std::uint64_t m_Revision = 0;
  std::map<std::string, ObjectsByName> m_Kinds;
  std::deque<HistoryEntry> m_History;
};

} // namespace deckpitch::standins
