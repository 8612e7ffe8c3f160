// Reads JSON documents into aggregates, gathering every fault.
#pragma once

#include "deckpitch/error.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch {

/// Parses JSON with comments and trailing commas. Errors: InvalidInput naming
/// line and column.
Result<boost::json::value> parseJson(std::string_view Text);

/// Loads the problems and fails with InvalidInput listing them all.
boost::leaf::error_id failWith(Problems Found);

/// One line for each problem.
std::string formatProblems(const Problems &Found);

/// Takes known keys out of one object; finish() reports those left over.
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
  void optional(std::string_view Key, std::uint32_t &Out, std::uint32_t Least,
                std::uint32_t Most);
  void optional(std::string_view Key, std::uint64_t &Out, std::uint64_t Least,
                std::uint64_t Most);
  void optional(std::string_view Key, double &Out, double Least, double Most);
  /// A number of milliseconds.
  void optional(std::string_view Key, std::chrono::milliseconds &Out,
                std::chrono::milliseconds Least,
                std::chrono::milliseconds Most);
  /// One of the given words; gives its index.
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
  /// Reports every key that nobody asked for, unless they are ignored.
  void finish();

private:
  const boost::json::value *take(std::string_view Key);
  std::string pathOf(std::string_view Key) const;

  const boost::json::object *m_Object = nullptr;
  std::string m_Path;
  Problems *m_Found;
  std::vector<std::string> m_Taken;
  UnknownKeys m_Unknown;
};

} // namespace deckpitch
