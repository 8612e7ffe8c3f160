// An entry's object in the platform's store: where it is reached, and what is
// to outlast all entries.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/request-fingerprint.h"
#include "direct/entry-peers.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch::direct {

/// A request that is refused since instances were lost under it.
struct RefusedRequest {
  RequestFingerprint m_Request;
  std::vector<std::uint64_t> m_Instances; ///< hashes of their ids
  std::uint64_t m_LostMs = 0; ///< the last of them, Unix milliseconds

  friend bool operator==(const RefusedRequest &,
                         const RefusedRequest &) = default;
};

struct EntryRecord {
  EntryAddress m_Address;
  std::vector<RefusedRequest> m_Refused;

  friend bool operator==(const EntryRecord &, const EntryRecord &) = default;
};

/// The object's value, and back. Errors: InvalidInput.
std::string formatEntry(const EntryRecord &Value);
Result<EntryRecord> parseEntry(std::string_view Name, std::string_view Json);

} // namespace deckpitch::direct
