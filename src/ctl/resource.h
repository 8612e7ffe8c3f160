// Declared objects in the operators' tool: parsing and comparison.
#pragma once

#include "deckpitch/error.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch::ctl {

/// A declared object, read from a file or received from an entry.
struct Resource {
  std::string m_Kind; ///< "pools", "organisations" or "upstreams"
  std::string m_Name;
  std::uint64_t m_Revision = 0; ///< 0: unknown, or the object does not exist
  boost::json::value m_Value;

  friend bool operator==(const Resource &, const Resource &) = default;
};

/// Parses {"kind": ..., "value": {"name": ...}} or an array of these, in JSON
/// with comments. Errors: InvalidInput, listing every problem.
Result<std::vector<Resource>> parseResources(std::string_view Json);

/// Parses an object as entries send it. Errors: CorruptData.
Result<Resource> parseReceived(std::string_view Json);

/// Returns the value with all defaults filled in, so that equivalent
/// declarations compare equal. A value that this release cannot parse is
/// returned unchanged.
boost::json::value normalised(const std::string &Kind,
                              const boost::json::value &Value);

/// One top-level field in which a conflicting write differs.
struct Difference {
  std::string m_Field;
  std::string m_Base;    ///< JSON as first read; empty: absent or not read
  std::string m_Current; ///< JSON in force; empty: absent
  std::string m_Wanted;  ///< JSON to be written; empty: absent

  friend bool operator==(const Difference &, const Difference &) = default;
};

/// Returns the fields in which the three values are not all the same. Without a
/// base, compares only the current and the wanted value.
std::vector<Difference> differencesOf(const boost::json::value &Base,
                                      const boost::json::value &Current,
                                      const boost::json::value &Wanted);

} // namespace deckpitch::ctl
