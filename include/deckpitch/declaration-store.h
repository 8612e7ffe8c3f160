// One process's replica of the declarations: only newer versions get in.
#pragma once

#include "deckpitch/declaration.h"
#include "deckpitch/error.h"
#include "deckpitch/id.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace deckpitch {

/// The kinds that every process replicates.
inline constexpr std::string_view PoolsKind = "pools";
inline constexpr std::string_view OrganisationsKind = "organisations";
inline constexpr std::string_view UpstreamsKind = "upstreams";
inline constexpr std::string_view AssignmentsKind = "assignments";
const std::vector<std::string> &replicatedKinds();

/// One version of one object; a deletion is a version too.
struct DeclaredObject {
  std::string m_Kind;
  std::string m_Name;
  Revision m_Revision;
  bool m_Deleted = false;
  std::string m_Json;

  friend bool operator==(const DeclaredObject &,
                         const DeclaredObject &) = default;
};

/// What one replica tells another: every object newer than m_Since that the
/// sender has. The sender is complete up to m_Revision.
struct DeclarationUpdate {
  Revision m_Since;
  Revision m_Revision;
  bool m_Whole = false;       ///< objects not named here do not exist
  std::uint64_t m_Digest = 0; ///< of all objects that the sender has
  std::vector<DeclaredObject> m_Objects;

  friend bool operator==(const DeclarationUpdate &,
                         const DeclarationUpdate &) = default;
};

/// Objects by kind and name, each at the newest revision that was ever seen.
/// No input in any order or number takes an object back to an older version.
class DeclarationStore {
public:
  /// What an input did.
  enum class Effect {
    None,    ///< nothing new
    Changed, ///< the snapshot is another one
    Gap,     ///< refused: changes in between are missing, so request them
  };

  /// A list that the platform answered: the whole kind as of a revision. This
  /// alone makes a kind complete; objects that are missing were deleted.
  Effect applyList(const std::string &Kind, Revision AsOf,
                   const std::vector<DeclaredObject> &Items);
  /// An event of a watch. It may be repeated, out of order or the last one
  /// before some that were dropped, so it says nothing of completeness.
  Effect applyEvent(const DeclaredObject &Object);
  /// What another replica sent.
  Effect applyUpdate(const DeclarationUpdate &Update);

  /// All that a replica complete up to Have may lack; whole when deletions
  /// that old are forgotten here.
  DeclarationUpdate changesSince(Revision Have) const;
  /// Tells that the sender is complete up to its revision; enough for a
  /// replica with the same digest.
  DeclarationUpdate completion() const;
  /// Everything, for a replica that differs in spite of its revision.
  DeclarationUpdate whole() const;

  /// All changes up to this revision are in.
  Revision revision() const;
  /// The newest revision of any object; it may be past revision().
  Revision newest() const { return m_Newest; }
  /// Equal at replicas that hold the same versions of the same objects.
  std::uint64_t digest() const { return m_Digest; }
  /// False until anything was learnt from the platform or from a peer.
  bool filled() const { return m_Complete.size() >= replicatedKinds().size(); }
  const DeclaredObject *find(const std::string &Kind,
                             const std::string &Name) const;
  std::vector<DeclaredObject> list(const std::string &Kind) const;
  /// Objects whose newest version this release cannot read; the version
  /// before stays in force.
  std::size_t unreadable() const { return m_Unreadable; }

  const DeclarationSet &snapshot() const { return m_Snapshot; }

private:
  struct Key {
    std::string m_Kind;
    std::string m_Name;
    friend auto operator<=>(const Key &, const Key &) = default;
  };

  bool accept(const DeclaredObject &Object);
  bool applyWhole(const DeclarationUpdate &Update);
  bool deleteMissing(const std::string &Kind, Revision AsOf,
                     const std::vector<DeclaredObject> &Items);
  void switchParsed(const DeclaredObject &Object);
  void advance(const std::string &Kind, Revision To);
  void forgetOldDeletions();

  std::map<Key, DeclaredObject> m_Objects;
  std::map<std::string, Revision> m_Complete;
  Revision m_ForgottenUpTo; ///< deletions up to here may be forgotten
  std::uint64_t m_Digest = 0;
  Revision m_Newest;
  std::size_t m_Unreadable = 0;
  DeclarationSet m_Snapshot;
};

} // namespace deckpitch
