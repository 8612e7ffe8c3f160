// Counts the executions of each call.
#pragma once

#include "net/http.h"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace deckpitch::standins {

/// Identifies a call by its Idempotency-Key, or by its X-Request-Id if it has
/// no key.
class Executions {
public:
  /// Counts an execution and returns the number of executions of the call,
  /// including this one.
  std::uint64_t record(const net::HttpRequest &Request) {
    ++m_Total;
    return ++m_Counts[callKey(Request)];
  }

  static std::string callKey(const net::HttpRequest &Request) {
    const std::string_view Key = Request.m_Headers.find("Idempotency-Key");
    return std::string(Key.empty() ? Request.m_Headers.find("X-Request-Id")
                                   : Key);
  }

  std::uint64_t total() const { return m_Total; }

  boost::json::array list() const {
    boost::json::array Out;
    for (const auto &[Key, Count] : m_Counts)
      Out.push_back(boost::json::object{{"key", Key}, {"count", Count}});
    return Out;
  }

private:
  std::map<std::string, std::uint64_t> m_Counts;
  std::uint64_t m_Total = 0;
};

} // namespace deckpitch::standins
