// Declared objects as the operators' tool handles them.
#pragma once

#include "deckpitch/error.h"

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch::ctl {

/// One object of a file or of an entry.
struct Resource {
  std::string m_Kind; ///< "pools", "organisations" or "upstreams"
  std::string m_Name;
  std::uint64_t m_Revision = 0; ///< 0: not known, or not there yet
  boost::json::value m_Value;

  friend bool operator==(const Resource &, const Resource &) = default;
};

/// Reads {"kind": ..., "value": {"name": ...}} or an array of these; JSON with
/// comments. Errors: InvalidInput naming every fault.
Result<std::vector<Resource>> parseResources(std::string_view Json);

/// Reads an object as entries send it. Errors: CorruptData.
Result<Resource> parseReceived(std::string_view Json);

/// The value with every default filled in, so that equal declarations compare
/// equal; a value that this release cannot read stays as it is.
boost::json::value normalised(const std::string &Kind,
                              const boost::json::value &Value);

/// One top-level field in which a conflicting write differs.
struct Difference {
  std::string m_Field;
  std::string m_Base;    ///< JSON as first read; empty: not there or not read
  std::string m_Current; ///< JSON in force; empty: not there
  std::string m_Wanted;  ///< JSON asked for; empty: not given

  friend bool operator==(const Difference &, const Difference &) = default;
};

/// The fields in which the three values are not all the same. Without a base,
/// only the current and the wanted value are compared.
std::vector<Difference> differencesOf(const boost::json::value &Base,
                                      const boost::json::value &Current,
                                      const boost::json::value &Wanted);

} // namespace deckpitch::ctl
