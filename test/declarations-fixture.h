// What every process of a cluster applies, and the operators' side of changes.
#pragma once

#include "cluster.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::test {

struct Written {
  unsigned m_Status = 0;
  std::uint64_t m_Revision = 0;
};

/// Writes pool "chat" of model "m"; Expected 0 creates it.
Written putPool(Cluster &To, const std::string &Version, std::uint64_t Expected,
                std::size_t Entry = 0);

/// One module's dump; null when the process does not answer.
boost::json::value moduleDump(const Node &Of, const char *Module);

/// The entry that holds the lease of that module, if any one answers so.
std::optional<std::size_t> leaseHolder(Cluster &Of, const char *Module,
                                       std::optional<std::size_t> Except = {});

/// Follows what every process applies. Each process keeps the history of its
/// life; before one is killed, endLife() takes it over.
class History {
public:
  explicit History(Cluster &Of) : m_Of(Of) {}

  /// Waits until every process applies the pool at this revision, complete.
  bool everywhere(std::uint64_t Revision);
  /// The same for these processes only.
  bool at(const std::vector<Node *> &Which, std::uint64_t Revision);
  /// Takes over what this life applied; false when it does not answer.
  bool endLife(const Node &Of);
  /// Every process answers with a history that has no gap, in which each
  /// object's revision grows at each step and completeness never shrinks; and
  /// no life applied a pool below what the life before it had.
  testing::AssertionResult grew();

private:
  using Newest = std::map<std::string, std::uint64_t>;

  static std::uint64_t inForceAt(const Node &Of);
  testing::AssertionResult check(const std::string &Instance,
                                 const boost::json::value &Told,
                                 Newest &Objects) const;

  Cluster &m_Of;
  std::map<std::string, Newest> m_Before; ///< by instance: earlier lives
  std::vector<std::string> m_Faults;
};

} // namespace deckpitch::test
