// The declaration changes that a process has applied since its start, for
// checks and for operators.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace deckpitch {

/// The change of one object to another revision, or its deletion.
struct AppliedChange {
  std::uint64_t m_Order = 0; ///< counts from 1 in each incarnation
  Duration m_At{};           ///< time since the process started
  std::string m_Object;      ///< "kind/name"
  Revision m_Revision;       ///< 0: deleted
  Revision m_Complete;       ///< of the snapshot that contained the change

  friend bool operator==(const AppliedChange &,
                         const AppliedChange &) = default;
};

/// Records changes by comparing each published snapshot with the previous one.
/// It is independent of the rules by which objects enter the snapshot, so it
/// also shows violations of them.
class AppliedHistory {
public:
  explicit AppliedHistory(std::size_t MaxChanges) : m_MaxChanges(MaxChanges) {}

  void record(Duration At, const DeclarationSet &Published);
  /// The most recent changes, oldest first.
  const std::deque<AppliedChange> &changes() const { return m_Changes; }
  /// The number of all changes, including those dropped from changes().
  std::uint64_t total() const { return m_Total; }

private:
  void add(Duration At, const std::string &Object, Revision To,
           Revision Complete);

  std::size_t m_MaxChanges;
  std::uint64_t m_Total = 0;
  std::map<std::string, Revision> m_InForce;
  std::deque<AppliedChange> m_Changes;
};

} // namespace deckpitch
