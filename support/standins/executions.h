// Records how often each call was executed.
#pragma once

#include "net/http.h"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace deckpitch::standins {

/// Counts by Idempotency-Key, or by X-Request-Id without one.
class Executions {
public:
  /// Gives how often the call was executed, this time included.
  std::uint64_t record(const net::HttpRequest &Request) {
    ++m_Total;
    return ++m_Counts[keyOf(Request)];
  }

  static std::string keyOf(const net::HttpRequest &Request) {
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
