// An entry's object in the platform's store: its addresses, and state that must
// survive a restart of all entries.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/fleet.h"
#include "deckpitch/request-fingerprint.h"
#include "direct/entry-peers.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch::direct {

/// A harmful request: refused, since instances were lost while they ran it.
struct RefusedRequest {
  RequestFingerprint m_Request;
  std::vector<std::uint64_t> m_Instances; ///< hashes of the lost instances' ids
  std::uint64_t m_LostMs = 0; ///< when the last was lost, Unix milliseconds

  friend bool operator==(const RefusedRequest &,
                         const RefusedRequest &) = default;
};

/// When a version of weights was declared, as seen by an entry that read the
/// store before and after. Entries that start later would count its bound from
/// their start.
struct StoredDeclaration {
  DeclaredWeights m_Declared;
  std::uint64_t m_SinceMs = 0; ///< Unix milliseconds

  friend bool operator==(const StoredDeclaration &,
                         const StoredDeclaration &) = default;
};

struct EntryRecord {
  EntryAddress m_Address;
  std::vector<RefusedRequest> m_Refused;
  std::vector<StoredDeclaration> m_Declared;

  friend bool operator==(const EntryRecord &, const EntryRecord &) = default;
};

/// Format and parse the object's value. Errors: InvalidInput.
std::string formatEntry(const EntryRecord &Value);
Result<EntryRecord> parseEntry(std::string_view Name, std::string_view Json);

} // namespace deckpitch::direct
