// A process's replica of the declarations, which accepts only newer versions.
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

/// The kinds of objects that every process replicates.
inline constexpr std::string_view PoolsKind = "pools";
inline constexpr std::string_view OrganisationsKind = "organisations";
inline constexpr std::string_view UpstreamsKind = "upstreams";
inline constexpr std::string_view AssignmentsKind = "assignments";
const std::vector<std::string> &replicatedKinds();

/// A version of an object; a deletion is a version too.
struct DeclaredObject {
  std::string m_Kind;
  std::string m_Name;
  Revision m_Revision;
  bool m_Deleted = false;
  std::string m_Json;

  friend bool operator==(const DeclaredObject &,
                         const DeclaredObject &) = default;
};

/// An update from one replica to another: all objects of the sender that are
/// newer than m_Since. The sender is complete up to m_Revision.
struct DeclarationUpdate {
  Revision m_Since;
  Revision m_Revision;
  bool m_Whole = false;       ///< objects not included here do not exist
  std::uint64_t m_Digest = 0; ///< over all objects of the sender
  std::vector<DeclaredObject> m_Objects;

  friend bool operator==(const DeclarationUpdate &,
                         const DeclarationUpdate &) = default;
};

/// Stores each object, by kind and name, at the newest revision ever received.
/// No order or repetition of inputs reverts an object to an older version.
class DeclarationStore {
public:
  /// The effect of an input.
  enum class Effect {
    None,    ///< nothing new
    Changed, ///< the snapshot has changed
    Gap,     ///< refused, since preceding changes are missing: request them
  };

  /// Applies a list from the platform: all objects of a kind as of a revision.
  /// Of the platform's inputs only this completes a kind; missing objects have
  /// been deleted.
  Effect applyList(const std::string &Kind, Revision AsOf,
                   const std::vector<DeclaredObject> &Items);
  /// Applies a watch event. Events may be repeated, reordered or dropped, so
  /// they do not make a kind complete.
  Effect applyEvent(const DeclaredObject &Object);
  /// Applies an update from another replica.
  Effect applyUpdate(const DeclarationUpdate &Update);

  /// Returns all changes that a replica complete up to Have may lack, or
  /// everything if deletions that old are no longer kept.
  DeclarationUpdate changesSince(Revision Have) const;
  /// Returns an update without objects, which advances the revision of a
  /// replica with the same digest.
  DeclarationUpdate revisionUpdate() const;
  /// Returns everything, for a replica that differs in spite of its revision.
  DeclarationUpdate whole() const;

  /// The revision up to which the replica is complete.
  Revision revision() const;
  /// The newest revision of any object; may exceed revision().
  Revision newest() const { return m_Newest; }
  /// Digest of all objects; equal on replicas with the same object versions.
  std::uint64_t digest() const { return m_Digest; }
  /// Whether every kind has been received from the platform or from a peer.
  bool filled() const { return m_Complete.size() >= replicatedKinds().size(); }
  const DeclaredObject *find(const std::string &Kind,
                             const std::string &Name) const;
  std::vector<DeclaredObject> list(const std::string &Kind) const;
  /// The number of versions that this release could not parse; the previous
  /// version of the object stays in force.
  std::size_t unreadable() const { return m_Unreadable; }

  const DeclarationSet &snapshot() const { return m_Snapshot; }

private:
  struct Key {
    std::string m_Kind;
    std::string m_Name;
    friend auto operator<=>(const Key &, const Key &) = default;
  };

  bool acceptIfNewer(const DeclaredObject &Object);
  bool applyWhole(const DeclarationUpdate &Update);
  bool deleteMissing(const std::string &Kind, Revision AsOf,
                     const std::vector<DeclaredObject> &Items);
  void updateSnapshot(const DeclaredObject &Object);
  void advance(const std::string &Kind, Revision To);
  void dropOldDeletions();

  std::map<Key, DeclaredObject> m_Objects;
  std::map<std::string, Revision> m_Complete;
  Revision m_DroppedUpTo; ///< deletions up to here may have been dropped
  std::uint64_t m_Digest = 0;
  Revision m_Newest;
  std::size_t m_Unreadable = 0;
  DeclarationSet m_Snapshot;
};

} // namespace deckpitch
