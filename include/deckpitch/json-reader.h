// Reads JSON documents into aggregates and collects all faults.
#pragma once

#include "deckpitch/error.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch {

/// Parses JSON with comments and trailing commas. Errors: InvalidInput naming
/// line and column.
Result<boost::json::value> parseJson(std::string_view Text);

/// Fails with an InvalidInput error that lists all problems, and loads them.
boost::leaf::error_id failWith(Problems Found);

/// Formats the problems, one per line.
std::string formatProblems(const Problems &Found);

/// Reads the known keys of a JSON object; finish() reports all others.
///
///   JsonObjectReader Reader(Value, "", Found);
///   Reader.optional("share", Share, 1, 1000);
///   Reader.finish();
class JsonObjectReader {
public:
  JsonObjectReader(const boost::json::value &Value, std::string Path,
                   Problems &Found, UnknownKeys Unknown = UnknownKeys::Refuse);

  bool has(std::string_view Key) const;
  void required(std::string_view Key, std::string &Out);
  void optional(std::string_view Key, std::string &Out);
  void optional(std::string_view Key, bool &Out);
  void optional(std::string_view Key, std::uint32_t &Out, std::uint32_t Min,
                std::uint32_t Max);
  void optional(std::string_view Key, std::uint64_t &Out, std::uint64_t Min,
                std::uint64_t Max);
  void optional(std::string_view Key, double &Out, double Min, double Max);
  /// A number of milliseconds.
  void optional(std::string_view Key, std::chrono::milliseconds &Out,
                std::chrono::milliseconds Min, std::chrono::milliseconds Max);
  /// A number of the given units, whole or with a fraction, rounded down to
  /// milliseconds.
  void duration(std::string_view Key, std::chrono::milliseconds &Out,
                std::chrono::milliseconds Unit, std::chrono::milliseconds Min,
                std::chrono::milliseconds Max);
  /// A number, whole or with a fraction, rounded down.
  void rounded(std::string_view Key, std::uint32_t &Out, std::uint32_t Min,
               std::uint32_t Max);
  /// An object whose values are all strings.
  void optional(std::string_view Key, std::map<std::string, std::string> &Out);
  /// Reads one of the given words and stores its index.
  void choice(std::string_view Key, std::size_t &Out,
              const std::vector<std::string_view> &Words,
              bool IsRequired = false);
  void object(std::string_view Key,
              const std::function<void(JsonObjectReader &)> &Read,
              UnknownKeys Unknown = UnknownKeys::Refuse);
  void array(std::string_view Key,
             const std::function<void(const boost::json::value &,
                                      const std::string &Path)> &ReadEach);
  /// Reports a fault found by the caller.
  void problem(std::string_view Key, std::string Expected);
  /// Reports all keys that were not read, unless unknown keys are ignored.
  void finish();

private:
  const boost::json::value *takeValue(std::string_view Key);
  std::string pathOf(std::string_view Key) const;

  const boost::json::object *m_Object = nullptr;
  std::string m_Path;
  Problems *m_Problems;
  std::vector<std::string> m_ReadKeys;
  UnknownKeys m_Unknown;
};

} // namespace deckpitch
