// What one process applied in its life, in order, for checks and for operators.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace deckpitch {

/// One object's switch to another revision, or its deletion.
struct AppliedChange {
  std::uint64_t m_Order = 0; ///< counts from 1 in each life
  Duration m_At{};           ///< by the monotonic clock, since the life began
  std::string m_Object;      ///< "kind/name"
  Revision m_Revision;       ///< 0: deleted
  Revision m_Complete;       ///< of the snapshot that brought it

  friend bool operator==(const AppliedChange &,
                         const AppliedChange &) = default;
};

/// Compares each published snapshot with the one before; it does not rest on
/// the rules that let objects into the snapshot.
class AppliedHistory {
public:
  explicit AppliedHistory(std::size_t Most) : m_Most(Most) {}

  void note(Duration At, const DeclarationSet &Published);
  /// The newest changes, the oldest of them first.
  const std::deque<AppliedChange> &changes() const { return m_Changes; }
  /// All changes ever; more than changes() holds when old ones were dropped.
  std::uint64_t total() const { return m_Total; }

private:
  void add(Duration At, const std::string &Object, Revision To,
           Revision Complete);

  std::size_t m_Most;
  std::uint64_t m_Total = 0;
  std::map<std::string, Revision> m_InForce;
  std::deque<AppliedChange> m_Changes;
};

} // namespace deckpitch
