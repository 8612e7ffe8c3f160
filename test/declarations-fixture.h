// Writes declarations to a cluster as an operator does, and checks what each
// of its processes applies.
#pragma once

#include "cluster.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::test {

struct PutResult {
  unsigned m_Status = 0;
  std::uint64_t m_Revision = 0;
};

/// Writes pool "chat" of model "m" if its revision is Expected; 0 creates it.
PutResult putPool(Cluster &To, const std::string &Version,
                  std::uint64_t Expected, std::size_t Entry = 0);

/// Returns the dump of one module; null if the process does not answer.
boost::json::value moduleDump(const Node &Of, const char *Module);

/// Returns an entry that reports holding the lease of the module, if any.
std::optional<std::size_t> leaseHolder(Cluster &Of, const char *Module,
                                       std::optional<std::size_t> Except = {});

/// Checks the declarations that every process applies. A process keeps only the
/// history of its current incarnation, so call recordIncarnation() before
/// killing one.
class AppliedHistory {
public:
  explicit AppliedHistory(Cluster &Of) : m_Of(Of) {}

  /// Waits until every process applies the pool at this revision or a later
  /// one, from a complete state.
  bool awaitEverywhere(std::uint64_t Revision);
  /// Waits as awaitEverywhere() does, for these processes only.
  bool at(const std::vector<Node *> &Which, std::uint64_t Revision);
  /// Records the history of the current incarnation; returns false if the
  /// process does not answer.
  bool recordIncarnation(const Node &Of);
  /// Checks that every process answers with a history without gaps, in which
  /// the revision of each object grows at each step and completeness never
  /// decreases, and that no incarnation applied an older revision of a pool
  /// than the incarnation before it.
  testing::AssertionResult isMonotonic();

private:
  using LatestRevisions = std::map<std::string, std::uint64_t>;

  static std::uint64_t appliedRevision(const Node &Of);
  testing::AssertionResult check(const std::string &Instance,
                                 const boost::json::value &History,
                                 LatestRevisions &Objects) const;

  Cluster &m_Of;
  std::map<std::string, LatestRevisions> m_EarlierIncarnations; ///< by instance
  std::vector<std::string> m_Violations;
};

} // namespace deckpitch::test
