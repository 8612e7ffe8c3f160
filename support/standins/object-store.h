// Versioned objects of the platform stand-in with a bounded history of writes.
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

/// One write: the object that it produced and the one that it replaced.
struct HistoryEntry {
  bool m_Deleted = false;
  StoredObject m_Object;
  std::optional<StoredObject> m_Previous;
};

std::string formatEvent(const HistoryEntry &Entry);

/// Gives each write the next revision. The bounded history serves watches that
/// continue from a revision and reads as of an earlier one.
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

  /// Returns the revision nearest to AsOf that the history still covers.
  std::uint64_t clampRevision(std::uint64_t AsOf) const;
  std::optional<StoredObject> findAsOf(const std::string &Kind,
                                       const std::string &Name,
                                       std::uint64_t AsOf) const;
  std::vector<StoredObject> listAsOf(const std::string &Kind,
                                     std::uint64_t AsOf) const;
  /// Returns the entry of a revision, or null if it is compacted or does not
  /// exist yet.
  const HistoryEntry *entry(std::uint64_t Revision) const;
  /// Returns false if events after the revision are compacted.
  bool canContinueFrom(std::uint64_t Revision) const;
  /// Drops the history, so that watches cannot continue from older revisions.
  void compact() { m_History.clear(); }

private:
  using ObjectsByName = std::map<std::string, StoredObject>;

  /// Undoes the writes after AsOf on a copy of the current objects.
  ObjectsByName objectsAsOf(const std::string &Kind, std::uint64_t AsOf) const;
  std::uint64_t add(HistoryEntry Entry);

  std::size_t m_HistoryLimit;
  std::uint64_t m_Revision = 0;
  std::map<std::string, ObjectsByName> m_Kinds;
  std::deque<HistoryEntry> m_History;
};

} // namespace deckpitch::standins
